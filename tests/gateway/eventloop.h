#pragma once

#include "core/time.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <functional>

namespace endiveshore::gateway {

/// Runs @p context in steps of 5 ms, each followed by @p afterTurn, until @p done returns true. Fails the test after 5
/// s.
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
