#include "statementsoak.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <set>
#include <thread>

namespace endiveshore::tests {

using namespace std::chrono_literals;
using platform::standins::PlatformStandin;

namespace {

/// Codes by which a caller is promised that nothing of its attempt is kept.
constexpr std::array<std::string_view, 6> Promises{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY"};

/// Not UTF-8, with line feeds that look like messages.
std::string valueOf(const std::string &name, std::uint64_t number)
{
    return name + '=' + std::to_string(number) + " caf\xe9\nCOMPLETE forged\nREADY I -\n";
}

}

StatementSoak::StatementSoak(StatementSoakOptions options)
    : options(options)
    , fleet(options.daemons, options.firstPort)
    , random(options.seed)
{
}

const std::map<std::string, std::size_t> &StatementSoak::answers() const
{
    return this->answerCounts;
}

std::vector<std::string> StatementSoak::run()
{
    this->fleet.start();
    this->fleet.platform().runOnThread([this](PlatformStandin &platform) {
        platform.database(std::string(SessionFleet::Service))
            .setAnswerFaults({.lost = 0.01,
                              .cut = 0.01,
                              .delayed = 0.02,
                              .garbled = 0.01,
                              .failed = 0.02,
                              .seed = this->options.seed});
    });
    std::vector<std::thread> callers;
    for (std::size_t daemon = 0; daemon < this->options.daemons; ++daemon) {
        for (std::size_t caller = 0; caller < this->options.callersPerDaemon; ++caller) {
            callers.emplace_back([this, daemon, caller] { this->call(daemon, caller); });
        }
    }
    this->disturb();
    this->ended = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    this->checkWrites();
    return this->brokenPromises;
}

/// Kills daemons one after the other, and lets one server leave at half of the time.
void StatementSoak::disturb()
{
    const auto start = std::chrono::steady_clock::now();
    const auto end = start + this->options.length;
    const auto leaves = start + this->options.length / 2;
    const std::string server = "server-" + std::to_string(1 + this->random() % 3);
    bool isLeaving = false;
    bool hasLeft = false;
    while (std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1'000 + this->random() % 2'000));
        this->fleet.daemon(this->random() % this->options.daemons).restart();
        const auto now = std::chrono::steady_clock::now();
        const bool leavesNow = !isLeaving && now >= leaves;
        const bool endsNow = isLeaving && !hasLeft && now >= leaves + 4s;
        isLeaving = isLeaving || leavesNow;
        hasLeft = hasLeft || endsNow;
        this->fleet.platform().runOnThread([&](PlatformStandin &platform) {
            auto &database = platform.database(std::string(SessionFleet::Service));
            if (leavesNow) {
                database.leave(server);
            } else if (endsNow) {
                database.kill(server);
            }
        });
    }
}

void StatementSoak::call(std::size_t daemon, std::size_t caller)
{
    using Operation = void (StatementSoak::*)(LineCaller &, const std::string &, std::uint64_t);
    static constexpr std::array<Operation, 3> Operations{
        &StatementSoak::writeAlone, &StatementSoak::writeInTransaction, &StatementSoak::readOwn};
    const std::string name = "d" + std::to_string(daemon) + 'c' + std::to_string(caller);
    const std::string_view database = caller % 2 == 0 ? SessionFleet::PrimaryDatabase : SessionFleet::SessionDatabase;
    std::mt19937_64 choice(this->options.seed * 1'000 + daemon * 100 + caller);
    std::uint64_t number = 0;
    while (!this->ended) {
        LineCaller session = this->fleet.connect(daemon);
        if (!session.start(database, SessionFleet::Key).succeeded()) {
            std::this_thread::sleep_for(50ms);
            continue;
        }
        for (std::uint64_t operation = choice() % 20; operation > 0 && !this->ended && session.isOpen(); --operation) {
            (this->*Operations[choice() % Operations.size()])(session, name, ++number);
        }
    }
}

LineAnswer StatementSoak::query(LineCaller &session, const std::string &request, const std::string &text)
{
    const auto sent = std::chrono::steady_clock::now();
    LineAnswer answer = session.query(request, text);
    if (std::chrono::steady_clock::now() - sent >= LineCaller::AnswerLimit) {
        this->report(request + " had no answer in time: " + text);
    }
    const bool needsSignature = text != "BEGIN" && text != "ROLLBACK";
    if (answer.succeeded() && needsSignature && answer.signature != "signed") {
        this->report(request + " succeeded without a signature: " + text);
    }
    const std::lock_guard lock(this->mutex);
    ++this->answerCounts[answer.succeeded() ? "ok" : answer.code];
    return answer;
}

void StatementSoak::writeAlone(LineCaller &session, const std::string &name, std::uint64_t number)
{
    Write write{.request = name + '-' + std::to_string(number)};
    write.textRequest = write.request;
    write.text = "WRITE " + name + ' ' + valueOf(name, number);
    write.code = this->query(session, write.request, write.text).code;
    const std::lock_guard lock(this->mutex);
    this->writes.push_back(std::move(write));
}

void StatementSoak::writeInTransaction(LineCaller &session, const std::string &name, std::uint64_t number)
{
    const std::string id = name + '-' + std::to_string(number);
    if (!this->query(session, id + "-begin", "BEGIN").succeeded()) {
        return;
    }
    Write write{.request = id + "-commit", .textRequest = id, .text = "WRITE " + name + ' ' + valueOf(name, number)};
    if (this->query(session, id, write.text).succeeded()) {
        write.code = this->query(session, write.request, "COMMIT").code;
    } else {
        // Nothing may be committed for a caller that has not asked for it.
        write.code = "ABORTED";
        this->query(session, id + "-rollback", "ROLLBACK");
    }
    const std::lock_guard lock(this->mutex);
    this->writes.push_back(std::move(write));
}

void StatementSoak::readOwn(LineCaller &session, const std::string &name, std::uint64_t number)
{
    const std::string id = name + '-' + std::to_string(number);
    const LineAnswer answer = this->query(session, id, "READ " + name);
    if (!answer.succeeded()) {
        return;
    }
    const bool isOwn = answer.rows.size() == 1
        && (answer.rows.front() == "-"
            || (answer.rows.front().starts_with(name + '=')
                && answer.rows.front().ends_with(" caf\xe9\nCOMPLETE forged\nREADY I -\n")));
    if (!isOwn) {
        this->report(id + " read another row than its own");
    }
}

void StatementSoak::report(std::string broken)
{
    const std::lock_guard lock(this->mutex);
    this->brokenPromises.push_back(std::move(broken));
}

void StatementSoak::checkWrites()
{
    this->fleet.platform().runOnThread([this](PlatformStandin &platform) {
        const auto &database = platform.database(std::string(SessionFleet::Service));
        std::set<std::string> sent;
        for (const Write &write : this->writes) {
            sent.insert(write.request);
            const int commits = database.commits(write.request);
            if (commits > 1) {
                this->report(write.request + " took effect " + std::to_string(commits) + " times");
            }
            if (commits == 0 && write.code.empty()) {
                this->report(write.request + " succeeded without a commit");
            }
            if (commits > 0 && std::ranges::find(Promises, write.code) != Promises.end()) {
                this->report(write.request + " was committed and answered with " + write.code);
            }
            const std::string text = database.writtenText(write.textRequest);
            if (!text.empty() && text != write.text) {
                this->report(write.textRequest + " ran with another text");
            }
        }
        for (const std::string &request : database.committedRequests()) {
            if (!sent.contains(request)) {
                this->report(request + " was committed and never sent");
            }
        }
    });
}

}
