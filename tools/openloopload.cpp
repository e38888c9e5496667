#include "tools/openloopload.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace endiveshore::tools {

namespace asio = boost::asio;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr core::Milliseconds EndPollInterval{10};
// Limits the connections that one stream opens while a server does not respond.
constexpr std::size_t PendingLimit = 400;

}

OpenLoopLoad::OpenLoopLoad(net::Executor executor, OpenLoopLoadOptions options)
    : executor(std::move(executor))
    , options(std::move(options))
    , pending(this->options.streams.size(), 0)
{
}

net::awaitable<void> OpenLoopLoad::run()
{
    const std::shared_ptr<OpenLoopLoad> self = this->shared_from_this();
    this->runningStreams = this->options.streams.size();
    for (std::size_t stream = 0; stream < this->options.streams.size(); ++stream) {
        asio::co_spawn(this->executor, this->runStream(stream), asio::detached);
    }
    asio::steady_timer timer(this->executor);
    const auto busy = [](std::size_t count) { return count > 0; };
    while (this->runningStreams > 0 || std::any_of(this->pending.begin(), this->pending.end(), busy)) {
        timer.expires_after(EndPollInterval);
        co_await timer.async_wait(UseTuple);
    }
}

void OpenLoopLoad::stop()
{
    this->stopped = true;
}

const std::vector<RequestRecord> &OpenLoopLoad::records() const
{
    return this->finished;
}

std::uint64_t OpenLoopLoad::dropped() const
{
    return this->notSent;
}

net::awaitable<void> OpenLoopLoad::runStream(std::size_t stream)
{
    const std::shared_ptr<OpenLoopLoad> self = this->shared_from_this();
    const RequestStream &settings = this->options.streams[stream];
    std::mt19937_64 random(this->options.seed * 1000 + stream);
    std::uniform_real_distribution<double> share(0, 1);
    std::uniform_int_distribution<std::size_t> anyPort(0, this->options.daemonPorts.size() - 1);
    const auto interval
        = std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(1 / settings.requestsPerSecond));
    const core::TimePoint start = core::Clock::now();
    const core::TimePoint end = start + this->options.duration;
    core::TimePoint next = start + std::chrono::duration_cast<core::Duration>(interval * share(random));
    asio::steady_timer timer(this->executor);
    for (std::uint64_t index = 0; !this->stopped && next < end; ++index, next += interval) {
        timer.expires_at(next);
        co_await timer.async_wait(UseTuple);
        const bool first = share(random) < settings.firstDaemonShare;
        const int port = first ? this->options.daemonPorts.front() : this->options.daemonPorts[anyPort(random)];
        if (this->pending[stream] >= PendingLimit) {
            ++this->notSent;
            continue;
        }
        ++this->pending[stream];
        asio::co_spawn(this->executor, this->send(stream, index, port), asio::detached);
    }
    --this->runningStreams;
}

net::awaitable<void> OpenLoopLoad::send(std::size_t stream, std::uint64_t index, int port)
{
    const std::shared_ptr<OpenLoopLoad> self = this->shared_from_this();
    const RequestStream &settings = this->options.streams[stream];
    ClientPool &pool = this->idle[{stream, port}];
    std::unique_ptr<CallerClient> client;
    if (pool.empty()) {
        client = std::make_unique<CallerClient>(this->executor, this->options.service, settings.key);
    } else {
        client = std::move(pool.back());
        pool.pop_back();
    }
    RequestRecord record{.stream = stream, .index = index, .startUs = this->sinceOrigin()};
    boost::json::object body = settings.body(index);
    const CallerAnswer answer = co_await client->statement(port, std::move(body), this->options.timeout);
    record.endUs = this->sinceOrigin();
    record.outcome = answer.outcome;
    record.code = answer.code;
    record.term = answer.term;
    record.position = answer.position;
    record.role = answer.role;
    this->finished.push_back(std::move(record));
    pool.push_back(std::move(client));
    --this->pending[stream];
}

std::int64_t OpenLoopLoad::sinceOrigin() const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(core::Clock::now() - this->options.origin).count();
}

}
