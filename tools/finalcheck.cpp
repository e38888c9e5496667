#include "tools/finalcheck.h"

#include "core/json.h"
#include "net/httpclient.h"
#include "tools/deploymentaddress.h"
#include "tools/historychecker.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace endiveshore::tools {

namespace json = boost::json;

namespace {

constexpr std::size_t DatabaseCount = 3;
constexpr std::size_t ServerCount = 3;
constexpr std::size_t LinesPerViolation = 5;
constexpr core::Milliseconds ReadTimeout{3'000};

/// Reads @p key at a backend server; term 0 accepts a server of any term. Opens @p connection if it is closed.
net::awaitable<json::object>
readKey(net::HttpClientConnection &connection, net::TcpEndpoint endpoint, const std::string &key)
{
    if (!connection.isOpen()) {
        co_await connection.connect(endpoint, ReadTimeout);
    }
    const json::object body{{"term", 0}, {"read_only", true}, {"statement", json::object{{"op", "get"}, {"key", key}}}};
    net::HttpRequest request = net::jsonRequest("/statement", body);
    const net::HttpResponse response = co_await connection.exchange(std::move(request), ReadTimeout);
    if (response.status != 200) {
        throw core::Error(core::ResultCode::Internal, "final read: HTTP status " + std::to_string(response.status));
    }
    co_return core::valueOrThrow([&response] { return core::parseJsonObject(response.body); });
}

}

FinalCheck::FinalCheck(MeasureContext &context)
    : context(context)
{
}

void FinalCheck::run(json::object &figures)
{
    const std::vector<HistoryEvent> state = this->readFinalState();
    const std::pair<std::string_view, std::vector<std::string> HistoryReport::*> lists[] = {
        {"lost_writes", &HistoryReport::lostWrites},
        {"doubled_writes", &HistoryReport::doubledWrites},
        {"stale_session_reads", &HistoryReport::staleSessionReads},
        {"false_not_run", &HistoryReport::falseNotRun},
        {"crossed_answers", &HistoryReport::crossedAnswers},
        {"split_transactions", &HistoryReport::splitTransactions},
        {"term_violations", &HistoryReport::termViolations},
    };
    std::map<std::string_view, std::size_t> counts;
    std::uint64_t events = 0;
    std::uint64_t acknowledged = 0;
    for (std::vector<HistoryEvent> history : this->context.histories) {
        events += history.size();
        std::set<std::string> keys;
        for (const HistoryEvent &event : history) {
            keys.insert(event.key);
            keys.insert(event.secondKey);
            const bool write = event.kind != EventKind::Read;
            acknowledged += write && event.outcome == EventOutcome::Done ? 1 : 0;
        }
        for (const HistoryEvent &event : state) {
            if (keys.contains(event.key)) {
                history.push_back(event);
            }
        }
        const HistoryReport report = checkHistory(history);
        for (const auto &[name, list] : lists) {
            counts[name] += (report.*list).size();
            for (std::size_t line = 0; line < std::min((report.*list).size(), LinesPerViolation); ++line) {
                this->context.addNote(std::string(name) + ": " + (report.*list)[line]);
            }
        }
    }
    for (const auto &[name, list] : lists) {
        figures[name] = counts[name];
    }
    figures["requests_checked"] = events;
    figures["acknowledged_writes"] = acknowledged;
    for (std::size_t database = 0; database < DatabaseCount; ++database) {
        for (std::size_t server = 0; server < ServerCount; ++server) {
            if (this->context.deployment.server(database, server).isRunning()) {
                this->context.readLedger(database, server);
            }
        }
    }
    figures["slot_violations"] = this->context.slotViolations;
    figures["connection_violations"] = this->context.connectionViolations;
    figures["keys_seen_by_servers"] = this->context.keysSeen;
}

std::vector<HistoryEvent> FinalCheck::readFinalState()
{
    std::set<std::string> keys;
    for (const std::vector<HistoryEvent> &history : this->context.histories) {
        for (const HistoryEvent &event : history) {
            keys.insert(event.key);
            keys.insert(event.secondKey);
        }
    }
    keys.erase(std::string());
    std::vector<HistoryEvent> state;
    for (std::size_t database = 0; database < DatabaseCount; ++database) {
        const int primary = this->context.primaryOf(database);
        if (primary < 0) {
            this->context.addNote("final_state: " + this->context.deployment.databaseName(database)
                                  + " has no primary");
            continue;
        }
        const net::TcpEndpoint endpoint
            = deploymentEndpoint(this->context.deployment.databasePort(database, static_cast<std::size_t>(primary)));
        boost::asio::io_context loop(1);
        net::HttpClientConnection connection(loop.get_executor());
        for (const std::string &key : keys) {
            if (databaseOfKey(key) != this->context.deployment.databaseName(database)) {
                continue;
            }
            loop.restart();
            auto read = boost::asio::co_spawn(loop, readKey(connection, endpoint, key), boost::asio::use_future);
            loop.run();
            const json::object answer = read.get();
            HistoryEvent event;
            event.kind = EventKind::Final;
            event.outcome = EventOutcome::Done;
            event.key = key;
            const json::value *values = answer.if_contains("result");
            if (values != nullptr && values->is_array()) {
                for (const json::value &value : values->as_array()) {
                    event.seen.emplace_back(value.is_string() ? value.as_string().c_str() : json::serialize(value));
                }
            }
            state.push_back(std::move(event));
        }
    }
    return state;
}

}
