#pragma once

#include "net/asyncio.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>

#include <future>
#include <thread>

namespace endiveshore::tools {

/// Runs an event loop for load generation on its own thread, so that the calling thread can inject faults during the
/// load.
class LoadThread
{
public:
    LoadThread()
        : context(1)
        , work(boost::asio::make_work_guard(this->context))
        , thread([this] { this->context.run(); })
    {
    }

    ~LoadThread()
    {
        this->work.reset();
        this->context.stop();
        this->thread.join();
    }

    LoadThread(const LoadThread &) = delete;
    LoadThread &operator=(const LoadThread &) = delete;

    net::Executor executor()
    {
        return this->context.get_executor();
    }

    /// Starts @p task on the event loop. The future completes with the task and rethrows its exception.
    std::future<void> spawn(net::awaitable<void> task)
    {
        return boost::asio::co_spawn(this->context, std::move(task), boost::asio::use_future);
    }

    template<typename Function>
    void post(Function function)
    {
        boost::asio::post(this->context, std::move(function));
    }

private:
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::thread thread;
};

}
