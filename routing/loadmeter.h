#pragma once

#include "routing/serverload.h"

#include <cstdint>
#include <map>
#include <optional>

namespace endiveshore::routing {

/// Measures the load of one backend server at its home, from the statements that the home sends. Answers a server that
/// is slow but alive or that reports to be healthy while its statements fail or hang. Does no I/O.
class LoadMeter
{
public:
    using StatementId = std::uint64_t;

    /// Records that a unit of work has arrived for the server.
    void arrive();

    /// Records that a unit left the queue without being sent to the server.
    void leave();

    /// Records that a statement was sent to the server.
    StatementId begin(core::TimePoint now);

    /// Records the end of a statement. @p succeeded is false if the server failed it or did not answer.
    void end(StatementId statement, bool succeeded, core::TimePoint now);

    /// Records a connection or a command of the proxy that failed.
    void fail(core::TimePoint now);

    /// Samples the queue, in which @p waiting units wait for @p slots. To be called at regular, short intervals.
    void sample(unsigned slots, std::size_t waiting, core::TimePoint now);

    /// The load at @p now; nothing if the server is about idle and answers as usual.
    std::optional<ServerLoad> load(core::TimePoint now) const;

private:
    struct Running
    {
        core::TimePoint startedAt;
        bool countsAsFailed = false;
    };

    void count(bool failed, core::TimePoint now);

    std::map<StatementId, Running> running;
    StatementId last = 0;
    int arrived = 0; ///< Units since the last sample that have not left the queue.
    double arrivalRate = 0; ///< Moving average, in units per millisecond and slot.
    double failing = 0; ///< Moving average of the statements that failed.
    double recentTime = 0; ///< Moving average of the run time, in milliseconds.
    double usualTime = 0; ///< As recentTime, over many more statements.
    double waitTime = 0; ///< Expected wait for a slot at the last sample, in milliseconds.
    core::TimePoint sampledAt;
    core::TimePoint failingAt; ///< Last change of `failing`.
    std::uint64_t timed = 0; ///< Statements whose run time was measured.
    core::TimePoint timedAt; ///< Last change of `recentTime`.
};

}
