#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace endiveshore::failover {

/// Which server leads each service, from the roles that servers report and from news of promotions. Pure.
class PrimaryTracker
{
public:
    /// The server reports its role. @p revision orders reports; an older one than known is ignored.
    void reportRole(std::string_view service, std::string_view server, bool isPrimary, std::uint64_t revision);

    /// The server has gone.
    void remove(std::string_view service, std::string_view server);

    /// A holder of the promotion duty has made @p server the primary. News with a lower fence than known are ignored.
    /// Returns true if they are new.
    bool reportPromotion(std::string_view service, std::string_view server, std::uint64_t fence);

    /// The server has said itself that it leads. It does until news of a promotion or a later claim.
    void reportPrimary(std::string_view service, std::string_view server);

    /// The server has said that it does not lead.
    void reportNotPrimary(std::string_view service, std::string_view server);

    /// Id of the primary; empty if none is known.
    std::string primaryOf(std::string_view service) const;

    struct Promotion
    {
        std::string server;
        std::uint64_t fence = 0;
    };

    /// The latest promotions by service.
    const std::map<std::string, Promotion, std::less<>> &promotions() const;

private:
    struct Report
    {
        bool isPrimary = false;
        std::uint64_t revision = 0;
        std::uint64_t claimedAt = 0; ///< Revision at which it began to claim the lead.
        bool denied = false; ///< It said itself that it does not lead since then.
    };

    struct Group
    {
        std::map<std::string, Report, std::less<>> servers;
        std::string confirmedPrimary; ///< Empty once its report or a later claim supersedes the news.
        std::uint64_t highestClaim = 0;
    };

    std::map<std::string, Group, std::less<>> groups;
    std::map<std::string, Promotion, std::less<>> latestPromotions;
};

}
