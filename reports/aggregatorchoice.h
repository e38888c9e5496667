#pragma once

#include "core/time.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::reports {

/// A daemon to which a report is sent.
struct ReportTarget
{
    std::string daemon;
    bool wantsDigest = false; ///< The daemon is asked for a digest.

    bool operator==(const ReportTarget &) const = default;
};

struct ReportPlan
{
    std::vector<ReportTarget> targets;
    /// No candidate before this daemon answers, so it takes the sums from its own ReportAggregator.
    bool aggregatesItself = false;
};

struct AggregatorChoiceOptions
{
    /// An aggregator that was asked and has not answered for this long is silent: the next one is asked as well. More
    /// than two report intervals, so that the loss of one datagram does not change the choice.
    core::Milliseconds answerTimeout{600};
    std::size_t maximumAsked = 4; ///< Aggregators asked at the same time.
};

/// Chooses the daemons of the own data centre to which a daemon sends its reports. The first candidate that answers is
/// asked for digests, and the next one gets the reports as well, so that its sums are complete when it has to take
/// over. Each daemon decides for itself whom it asks; two aggregators that answer at the same time only repeat the same
/// sums. Does no I/O and reads no clock.
class AggregatorChoice
{
public:
    explicit AggregatorChoice(AggregatorChoiceOptions options = {});

    /// Targets of the report that is sent @p now. @p candidates are the daemons of the data centre in order of
    /// preference, the same order at every daemon, including @p self.
    ReportPlan plan(std::span<const std::string> candidates, std::string_view self, core::TimePoint now);

    void digestReceived(std::string_view daemon, core::TimePoint now);

private:
    struct Aggregator
    {
        core::TimePoint askedSince; ///< Start of the present series of questions.
        core::TimePoint lastAsked;
        core::TimePoint lastAnswer; ///< TimePoint() if there was none.
    };

    /// Records that @p daemon is asked and returns true if its answer to earlier questions is overdue.
    bool isOverdue(const std::string &daemon, core::TimePoint now);

    AggregatorChoiceOptions options;
    std::map<std::string, Aggregator, std::less<>> aggregators; ///< Daemons that were asked, by id.
};

}
