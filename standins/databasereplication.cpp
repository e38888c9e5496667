#include "core/error.h"
#include "core/json.h"
#include "standins/databaseserver.h"
#include "standins/databasesupport.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

/// Journal, log pulls and delayed application of DatabaseServer.
namespace endiveshore::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

// Longest time for which a log pull waits for new entries. Keeps the reported lag of an idle replica near
// LongPollMs.
constexpr std::int64_t LongPollMs = 100;
constexpr auto PullTimeout = 1s;
constexpr std::int64_t PullRetryIntervalMs = 30;

}

void DatabaseServer::openJournal()
{
    if (this->options.journalFile.empty()) {
        return;
    }
    std::ifstream previousJournal(this->options.journalFile);
    std::string line;
    while (std::getline(previousJournal, line)) {
        boost::leaf::result<json::object> record = core::parseJsonObject(line);
        if (!record) {
            // The previous process ended while it wrote this record, before it answered the change.
            continue;
        }
        this->state.restore(*record);
    }
    previousJournal.close();
    this->journal.open(this->options.journalFile, std::ios::app);
    if (!this->journal) {
        throw core::Error(core::ResultCode::InvalidSetting, "cannot write " + this->options.journalFile);
    }
    // Ends the line of a record that was only partly written.
    this->journal << std::endl;
    this->state.setJournal([this](const json::object &record) {
        // Flushing to the kernel is enough without fsync: tests end only the process, not the host.
        this->journal << record << std::endl;
    });
}

DatabaseServer::Answer DatabaseServer::log(const Request &request, const net::HttpHeaders &, Connection &)
{
    const std::int64_t term = core::jsonInteger(request, "term");
    const std::int64_t received = core::jsonInteger(request, "received");
    const json::array *history = core::jsonArray(request, "term_starts");
    const std::vector<TermStart> termStarts
        = history != nullptr ? termStartsFromJson(*history) : std::vector<TermStart>();
    const std::int64_t deadline = nowMs() + core::jsonInteger(request, "timeout_ms");
    while (true) {
        LogBatch batch;
        const Refusal refusal = this->state.readLog(term, received, termStarts, nowMs(), batch);
        if (refusal != Refusal::None) {
            co_return this->refuse(refusal);
        }
        if (!batch.entries.empty() || batch.common != received || nowMs() >= deadline) {
            co_return net::jsonResponse(200, batch.toJson());
        }
        co_await this->waitForChange(deadline);
    }
}

void DatabaseServer::restartPull()
{
    ++this->pullGeneration;
    // A pull that waits for an unresponsive former primary would delay the first pull from the new primary by the
    // pull's timeout.
    this->pullConnection.close();
}

net::awaitable<void> DatabaseServer::pullLog()
{
    net::HttpClientConnection &connection = this->pullConnection;
    std::uint64_t generation = 0;
    std::int64_t pulledPosition = 0;
    std::vector<TermStart> history;
    bool hasPullPosition = false;
    while (true) {
        if (this->state.isPrimary() || this->state.primaryAddress().empty() || this->state.isFenced()) {
            connection.close();
            hasPullPosition = false;
            co_await this->waitForChange(nowMs() + LongPollMs);
            continue;
        }
        if (generation != this->pullGeneration || !hasPullPosition) {
            // Batches that are still delayed belong to the previous pull position; receiveBatch() drops them, because
            // their generation is no longer current.
            generation = ++this->pullGeneration;
            pulledPosition = this->state.received();
            history = this->state.log().termStarts();
            hasPullPosition = true;
            connection.close();
        }
        std::string failure;
        try {
            if (!connection.isOpen()) {
                connection = net::HttpClientConnection(this->context.get_executor());
                const net::TcpEndpoint endpoint = net::parseEndpoint(this->state.primaryAddress());
                co_await connection.connect(endpoint, PullTimeout);
            }
            net::HttpRequest request = net::jsonRequest("/log",
                                                        json::object{{"term", this->state.term()},
                                                                     {"received", pulledPosition},
                                                                     {"term_starts", termStartsToJson(history)},
                                                                     {"timeout_ms", LongPollMs}});
            const net::HttpResponse response = co_await connection.exchange(std::move(request), PullTimeout);
            if (response.status == 200 && generation == this->pullGeneration) {
                const json::object body = parseBody(response.body);
                LogBatch batch = LogBatch::fromJson(body);
                pulledPosition = batch.common + static_cast<std::int64_t>(batch.entries.size());
                history = batch.termStarts;
                asio::co_spawn(this->context,
                               this->receiveBatch(std::move(batch), generation, this->options.replicationDelayMs),
                               asio::detached);
                continue;
            }
        } catch (const core::Error &error) {
            failure = error.message;
        }
        co_await this->sleep(PullRetryIntervalMs);
    }
}

net::awaitable<void> DatabaseServer::receiveBatch(LogBatch batch, std::uint64_t generation, std::int64_t delayMs)
{
    co_await this->sleep(delayMs);
    if (generation != this->pullGeneration) {
        co_return;
    }
    if (!this->state.append(batch)) {
        ++this->pullGeneration;
        co_return;
    }
    this->notifyChange();
    if (this->options.applyDelayMs <= 0) {
        this->state.apply(this->state.received());
        co_return;
    }
    asio::co_spawn(
        this->context, this->applyAfterDelay(this->state.received(), this->options.applyDelayMs), asio::detached);
}

net::awaitable<void> DatabaseServer::applyAfterDelay(std::int64_t position, std::int64_t delayMs)
{
    co_await this->sleep(delayMs);
    this->state.apply(position);
}

}
