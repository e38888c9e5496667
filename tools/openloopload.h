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

/// Requests of one kind at a fixed rate.
struct RequestStream
{
    std::string name;
    std::string key; ///< Key of the workspace.
    double requestsPerSecond = 0;
    double firstDaemonShare = 0; ///< Share of requests sent to the first daemon; the rest is spread evenly.
    std::function<boost::json::object(std::uint64_t index)> body; ///< Body of POST /v1/statements.
};

struct OpenLoopLoadOptions
{
    std::string service;
    std::vector<int> daemonPorts;
    std::vector<RequestStream> streams;
    core::TimePoint origin; ///< Times in the records count from here.
    core::Milliseconds duration{};
    core::Milliseconds timeout{2'000}; ///< Of one request.
    std::uint64_t seed = 1;
};

/// One request of an OpenLoopLoad, without its result.
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

/// Sends requests at a fixed rate, however long the answers take. Each request uses a connection that is idle at that
/// moment, or a new one.
class OpenLoopLoad : public std::enable_shared_from_this<OpenLoopLoad>
{
public:
    OpenLoopLoad(net::Executor executor, OpenLoopLoadOptions options);

    /// Runs until the duration is over or stop() was called, and all requests have ended.
    net::awaitable<void> run();

    /// Ends the load early. To be called on the executor's thread.
    void stop();

    const std::vector<RequestRecord> &records() const;

    /// Requests that were not sent because too many of their stream waited for an answer.
    std::uint64_t dropped() const;

private:
    using ClientPool = std::vector<std::unique_ptr<CallerClient>>;

    net::awaitable<void> runStream(std::size_t stream);
    net::awaitable<void> send(std::size_t stream, std::uint64_t index, int port);
    std::int64_t sinceOrigin() const;

    net::Executor executor;
    OpenLoopLoadOptions options;
    std::vector<RequestRecord> finished;
    std::map<std::pair<std::size_t, int>, ClientPool> idle; ///< By stream and port.
    std::vector<std::size_t> pending; ///< By stream.
    std::size_t runningStreams = 0;
    std::uint64_t notSent = 0;
    bool stopped = false;
};

}
