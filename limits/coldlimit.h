#pragma once

#include "limits/tokenbucket.h"

namespace endiveshore::limits {

/// Bound on the statements that a cold server, one that has just started, gets in one second from all daemons together:
/// `ratePerSecond * excess + slack`.
struct ColdBound
{
    double ratePerSecond = 0; ///< 0 if the service names none; then nothing is limited.
    double excess = 0; ///< 0 if the settings name none; then nothing is limited.
    double slack = 0;

    bool operator==(const ColdBound &) const = default;
};

/// Limits one daemon's statements to a cold server. Only the home of the server sends any, at most half of the bound in
/// one second, so that a former and a new home that overlap, or two sides of a partition with a home each, stay within
/// it together. A daemon that becomes the home, and the home when the server turns cold, wait for one second first.
/// Does no I/O.
class ColdLimit
{
public:
    ColdLimit();

    /// @p coldUntil is the time at which the server is warm, as far as it has said.
    void update(const ColdBound &newBound, bool isHomeNow, core::TimePoint coldUntil, core::TimePoint now);

    /// The server could not be reached. It may have restarted, which it tells some time later only.
    void recordUnreachable(core::TimePoint now);

    /// True if the server was unreachable a moment ago.
    bool isSuspected(core::TimePoint now) const;

    /// True if statements are limited now.
    bool isLimited(core::TimePoint now) const;

    /// True if this daemon may not send any statement, however long it waits.
    bool refuses(core::TimePoint now) const;

    /// True if a statement may be sent now.
    bool mayTake(core::TimePoint now);

    /// Records a statement that is sent.
    void take(core::TimePoint now);

private:
    ShareLimits ownLimits() const;
    void waitIfLimited(bool wasLimited, core::TimePoint now);

    ColdBound bound;
    bool isHome = false;
    core::TimePoint coldUntil;
    core::TimePoint suspectedUntil; ///< A server that was unreachable counts as cold until then.
    core::TimePoint readyAt;
    TokenBucket bucket;
};

}
