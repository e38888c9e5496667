#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace endiveshore::failover {

/// Tracks the primary of each service from the roles that servers report and from promotions. Does no I/O.
class PrimaryTracker
{
public:
    /// Records the role that a server reports. @p revision orders the reports of a server; a report older than the
    /// latest known report is ignored.
    void reportRole(std::string_view service, std::string_view server, bool isPrimary, std::uint64_t revision);

    /// Removes a server, which is then no longer the primary, even if it was promoted.
    void remove(std::string_view service, std::string_view server);

    /// Records that a holder of the promotion duty has made @p server the primary. A promotion whose fence is not above
    /// that of the latest known promotion is ignored. Returns false if the promotion was ignored.
    bool reportPromotion(std::string_view service, std::string_view server, std::uint64_t fence);

    /// Records that the server itself has said that it is the primary. Holds until a later promotion, or until another
    /// server begins to report itself as primary.
    void reportPrimary(std::string_view service, std::string_view server);

    /// Records that the server itself has said that it is not the primary.
    void reportNotPrimary(std::string_view service, std::string_view server);

    /// Id of the primary; empty if none is known.
    std::string primaryOf(std::string_view service) const;

    struct Promotion
    {
        std::string server;
        std::uint64_t fence = 0;
    };

    /// Latest promotion of each service, by service.
    const std::map<std::string, Promotion, std::less<>> &promotions() const;

private:
    struct Report
    {
        bool isPrimary = false;
        std::uint64_t revision = 0;
        std::uint64_t claimedAt = 0; ///< Revision at which the server began to report itself as primary.
        bool denied = false; ///< Since claimedAt the server itself has said that it is not the primary.
    };

    struct Group
    {
        std::map<std::string, Report, std::less<>> servers;
        /// Promoted server, or server that has said that it is the primary. Takes precedence over reported roles; empty
        /// once another server begins to claim the role with a later report.
        std::string confirmedPrimary;
        std::uint64_t highestClaim = 0;
    };

    std::map<std::string, Group, std::less<>> groups;
    std::map<std::string, Promotion, std::less<>> latestPromotions;
};

}
