#include "tools/historychecker.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace endiveshore::tools {

namespace {

using ValueCounts = std::unordered_map<std::string, int>;

std::string describe(const HistoryEvent &event)
{
    return std::string(eventKindName(event.kind)) + " of session " + event.session + " on " + event.key + " value "
        + event.value + " at " + std::to_string(event.startUs) + " us";
}

std::map<std::string, ValueCounts> finalStates(std::span<const HistoryEvent> events)
{
    std::map<std::string, ValueCounts> states;
    for (const HistoryEvent &event : events) {
        if (event.kind != EventKind::Final) {
            continue;
        }
        ValueCounts &counts = states[event.key];
        for (const std::string &value : event.seen) {
            ++counts[value];
        }
    }
    return states;
}

int countIn(const std::map<std::string, ValueCounts> &states, const std::string &key, const std::string &value)
{
    const auto state = states.find(key);
    if (state == states.end()) {
        return 0;
    }
    const auto count = state->second.find(value);
    return count == state->second.end() ? 0 : count->second;
}

void checkFinalState(std::span<const HistoryEvent> events, HistoryReport &report)
{
    const std::map<std::string, ValueCounts> states = finalStates(events);
    for (const HistoryEvent &event : events) {
        const bool transaction = event.kind == EventKind::Transaction;
        if ((event.kind != EventKind::Write && !transaction) || !states.contains(event.key)) {
            continue;
        }
        const int count = countIn(states, event.key, event.value);
        const int secondCount = transaction ? countIn(states, event.secondKey, event.value) : count;
        if (transaction && count != secondCount) {
            report.splitTransactions.push_back(describe(event));
        }
        const int maxCount = std::max(count, secondCount);
        if (event.outcome == EventOutcome::Done && std::min(count, secondCount) == 0) {
            report.lostWrites.push_back(describe(event));
        }
        if (maxCount > 1) {
            report.doubledWrites.push_back(describe(event));
        }
        if (event.outcome == EventOutcome::NotRun && maxCount > 0) {
            report.falseNotRun.push_back(describe(event));
        }
    }
}

void checkSessions(std::span<const HistoryEvent> events, HistoryReport &report)
{
    std::vector<const HistoryEvent *> ordered;
    for (const HistoryEvent &event : events) {
        if (event.kind != EventKind::Final && event.outcome == EventOutcome::Done) {
            ordered.push_back(&event);
        }
    }
    std::sort(ordered.begin(), ordered.end(), [](const HistoryEvent *left, const HistoryEvent *right) {
        return left->endUs < right->endUs;
    });
    // Acknowledged writes by session and key, in the order of their acknowledgements.
    std::map<std::pair<std::string, std::string>, std::vector<const HistoryEvent *>> writes;
    for (const HistoryEvent *event : ordered) {
        if (event->kind == EventKind::Write || event->kind == EventKind::Transaction) {
            writes[{event->session, event->key}].push_back(event);
            if (event->kind == EventKind::Transaction) {
                writes[{event->session, event->secondKey}].push_back(event);
            }
            continue;
        }
        const std::unordered_set<std::string> seen(event->seen.begin(), event->seen.end());
        for (const HistoryEvent *write : writes[{event->session, event->key}]) {
            if (write->endUs <= event->startUs && !seen.contains(write->value)) {
                report.staleSessionReads.push_back(describe(*event) + " misses " + write->value);
                break;
            }
        }
    }
}

void checkAnswers(std::span<const HistoryEvent> events, HistoryReport &report)
{
    std::unordered_map<std::string, std::set<std::string>> keysOfValue;
    for (const HistoryEvent &event : events) {
        if (event.kind == EventKind::Write || event.kind == EventKind::Transaction) {
            keysOfValue[event.value].insert(event.key);
            keysOfValue[event.value].insert(event.secondKey);
        }
    }
    for (const HistoryEvent &event : events) {
        if (event.kind != EventKind::Read && event.kind != EventKind::Final) {
            continue;
        }
        for (const std::string &value : event.seen) {
            const auto keys = keysOfValue.find(value);
            if (keys == keysOfValue.end() || !keys->second.contains(event.key)) {
                report.crossedAnswers.push_back(describe(event) + " holds " + value);
                break;
            }
        }
    }
}

void checkTerms(std::span<const HistoryEvent> events, HistoryReport &report)
{
    // Acknowledged writes by database, which is the part of the key before the first colon.
    std::map<std::string, std::vector<const HistoryEvent *>> writes;
    for (const HistoryEvent &event : events) {
        const bool write = event.kind == EventKind::Write || event.kind == EventKind::Transaction;
        if (write && event.outcome == EventOutcome::Done && event.term > 0) {
            writes[event.key.substr(0, event.key.find(':'))].push_back(&event);
        }
    }
    for (auto &[database, list] : writes) {
        std::sort(list.begin(), list.end(), [](const HistoryEvent *left, const HistoryEvent *right) {
            return left->endUs < right->endUs;
        });
        // All positions of a later term follow those of earlier terms. Once a write of a later term is acknowledged, a
        // write that starts afterwards must not be acknowledged in an earlier term. Writes with several attempts are
        // not checked.
        std::uint64_t highestTerm = 0;
        std::int64_t highestTermEnd = 0;
        for (const HistoryEvent *event : list) {
            if (event->term < highestTerm && event->startUs > highestTermEnd && event->attempts == 1) {
                report.termViolations.push_back(describe(*event) + " in term " + std::to_string(event->term));
            }
            if (event->term > highestTerm) {
                highestTerm = event->term;
                highestTermEnd = event->endUs;
            }
        }
    }
}

}

std::size_t HistoryReport::violations() const
{
    return this->lostWrites.size() + this->doubledWrites.size() + this->falseNotRun.size()
        + this->staleSessionReads.size() + this->crossedAnswers.size() + this->splitTransactions.size()
        + this->termViolations.size();
}

HistoryReport checkHistory(std::span<const HistoryEvent> events)
{
    HistoryReport report;
    checkFinalState(events, report);
    checkSessions(events, report);
    checkAnswers(events, report);
    checkTerms(events, report);
    return report;
}

}
