#pragma once

#include "core/time.h"
#include "net/asyncio.h"
#include "tools/callerclient.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace endiveshore::tools {

/// Stream of requests at a fixed rate, all with the same key.
struct RequestStream
{
    std::string name;
    std::string key; ///< API key of the workspace.
    double requestsPerSecond = 0;
    /// Share of requests sent to the first daemon. Each other request goes to a random daemon, which may be the first.
    double firstDaemonShare = 0;
    /// Returns the body of POST /v1/statements for the request number @p index.
    std::function<boost::json::object(std::uint64_t index)> body;
};

struct OpenLoopLoadOptions
{
    std::string service;
    std::vector<int> daemonPorts;
    std::vector<RequestStream> streams;
    core::TimePoint origin; ///< Zero point of the times in the records.
    core::Milliseconds duration{};
    core::Milliseconds timeout{2'000}; ///< Timeout of one request.
    std::uint64_t seed = 1;
};

/// Outcome and times of one request of an OpenLoopLoad; the result is not kept.
struct RequestRecord
{
    std::size_t stream = 0;
    std::uint64_t index = 0;
    std::int64_t startUs = 0;
    std::int64_t endUs = 0;
    core::Outcome outcome = core::Outcome::Unknown;
    int code = 0;
    std::uint64_t term = 0;
    std::uint64_t position = 0;
    std::string role;
};

/// Open-loop load: sends requests at a fixed rate, independent of the response times. Each request uses an idle
/// connection of its stream and daemon, or a new one if none is idle.
class OpenLoopLoad : public std::enable_shared_from_this<OpenLoopLoad>
{
public:
    OpenLoopLoad(net::Executor executor, OpenLoopLoadOptions options);

    /// Sends requests until the duration is over or stop() is called, then waits for the pending responses.
    net::awaitable<void> run();

    /// Stops sending requests before the duration is over. Must be called on the thread of the executor.
    void stop();

    const std::vector<RequestRecord> &records() const;

    /// Number of requests that were not sent because their stream had reached the limit of pending requests.
    std::uint64_t dropped() const;

private:
    using ClientPool = std::vector<std::unique_ptr<CallerClient>>;

    net::awaitable<void> runStream(std::size_t stream);
    net::awaitable<void> send(std::size_t stream, std::uint64_t index, int port);
    std::int64_t sinceOrigin() const;

    net::Executor executor;
    OpenLoopLoadOptions options;
    std::vector<RequestRecord> finished;
    std::map<std::pair<std::size_t, int>, ClientPool> idle; ///< Idle clients by stream and daemon port.
    std::vector<std::size_t> pending; ///< Number of pending requests by stream.
    std::size_t runningStreams = 0;
    std::uint64_t notSent = 0;
    bool stopped = false;
};

}
