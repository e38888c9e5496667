#pragma once

#include "core/time.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <functional>

namespace endiveshore::gateway {

/// Runs @p context in short turns, with @p afterTurn after each, until @p done. Fails the test after five seconds.
inline void runUntil(
    boost::asio::io_context &context, const std::function<bool()> &done, const std::function<void()> &afterTurn = [] {})
{
    constexpr std::chrono::milliseconds Turn{5};
    constexpr std::chrono::seconds Limit{5};
    const core::TimePoint deadline = core::Clock::now() + Limit;
    while (!done() && core::Clock::now() < deadline) {
        context.restart();
        context.run_for(Turn);
        afterTurn();
    }
    EXPECT_TRUE(done());
}

}
