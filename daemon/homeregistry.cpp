#include "daemon/homeregistry.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace endiveshore::daemon {

namespace asio = boost::asio;

namespace {

// A new home that receives no release waits 2.2 s. All work of the former home must have ended by then, so transactions
// that are still open after this timeout are aborted.
constexpr core::Milliseconds RetireTimeout{1'200};
constexpr core::Milliseconds RetirePollInterval{5};

}

HomeRegistry::HomeRegistry(net::Executor executor,
                           std::string memberId,
                           Ownership ownership,
                           HomeCheck homeCheck,
                           SlotQueue::WaitObserver observer,
                           DecisionSink decisionSink,
                           ReleaseSink releaseSink)
    : executor(std::move(executor))
    , memberId(std::move(memberId))
    , ownership(std::move(ownership))
    , homeCheck(std::move(homeCheck))
    , observer(std::move(observer))
    , decisionSink(std::move(decisionSink))
    , releaseSink(std::move(releaseSink))
{
}

void HomeRegistry::setView(std::shared_ptr<const FleetView> newView)
{
    this->view = std::move(newView);
    std::erase_if(this->owned, [this](const auto &item) {
        const auto home = this->view->homes.find(item.first);
        const bool isKnown = home != this->view->homes.end() && this->view->servers.contains(item.first);
        const bool isOwn = isKnown && home->second.own && home->second.actsFrom;
        if (isOwn && item.second->homeEpoch() == this->view->homeEpoch) {
            return false;
        }
        const std::string_view reason = !isKnown ? "server removed"
            : isOwn                              ? "this daemon was suspended"
                                                 : "another daemon is the home";
        this->decisionSink(item.first, "release_home", reason);
        this->retiring.push_back(item.second);
        asio::co_spawn(this->executor, this->retire(item.first, item.second), asio::detached);
        return true;
    });
    for (const auto &[key, home] : this->view->homes) {
        if (!home.own || !home.actsFrom || !this->ownership(key) || this->owned.contains(key)) {
            continue;
        }
        const auto server = this->view->servers.find(key);
        if (server == this->view->servers.end()) {
            continue;
        }
        ServerHomeOptions homeOptions;
        homeOptions.memberId = this->memberId;
        homeOptions.serverKey = key;
        homeOptions.server = server->second;
        homeOptions.homeEpoch = this->view->homeEpoch;
        homeOptions.holdsLease = [this, epoch = this->view->homeEpoch] { return this->homeCheck(epoch); };
        const auto check = [this, key = key] { return this->isHome(key); };
        this->owned.emplace(key, std::make_shared<ServerHome>(this->executor, homeOptions, check, this->observer));
        this->decisionSink(
            key, "become_home", *home.actsFrom > core::Clock::now() ? "taken over from another daemon" : "assigned");
    }
    for (const auto &[key, home] : this->owned) {
        home->update(*this->view);
    }
}

net::awaitable<void> HomeRegistry::retire(std::string serverKey, std::shared_ptr<ServerHome> home)
{
    const core::TimePoint end = core::Clock::now() + RetireTimeout;
    asio::steady_timer timer(this->executor);
    while (home->holdsLease() && home->activeOperations() > 0 && core::Clock::now() < end) {
        timer.expires_after(RetirePollInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    const bool drained = home->activeOperations() == 0;
    home->close();
    std::erase(this->retiring, home);
    if (drained) {
        this->releaseSink(serverKey);
    }
}

net::awaitable<StatementAnswer> HomeRegistry::execute(StatementCall call)
{
    const std::shared_ptr<ServerHome> home = this->homeFor(call, core::Outcome::NotRun);
    co_return co_await home->execute(std::move(call));
}

net::awaitable<StatementAnswer> HomeRegistry::transact(TransactionStep step, StatementCall call)
{
    // A transaction that is no longer open may have been committed by an earlier attempt whose answer was lost.
    const core::Outcome outcomeIfNotOpen
        = step == TransactionStep::Commit ? core::Outcome::Unknown : core::Outcome::NotRun;
    const std::shared_ptr<ServerHome> home = this->homeFor(call, outcomeIfNotOpen);
    co_return co_await home->transact(step, std::move(call));
}

std::size_t HomeRegistry::activeOperations() const
{
    std::size_t total = 0;
    for (const auto &[key, home] : this->owned) {
        total += home->activeOperations();
    }
    for (const std::shared_ptr<ServerHome> &home : this->retiring) {
        total += home->activeOperations();
    }
    return total;
}

const std::unordered_map<std::string, std::shared_ptr<ServerHome>> &HomeRegistry::homes() const
{
    return this->owned;
}

std::shared_ptr<ServerHome> HomeRegistry::homeFor(const StatementCall &call, core::Outcome outcomeIfNotOpen) const
{
    if (!call.transaction.empty()) {
        for (const auto &[key, home] : this->owned) {
            if (home->holdsTransaction(call.transaction)) {
                return home;
            }
        }
        for (const std::shared_ptr<ServerHome> &home : this->retiring) {
            if (home->holdsTransaction(call.transaction)) {
                return home;
            }
        }
        core::Error error(core::ResultCode::UnknownTransaction, "the transaction is not open");
        error.outcome = outcomeIfNotOpen;
        throw error;
    }
    const auto home = this->owned.find(call.server);
    if (home == this->owned.end()) {
        throw core::Error(core::ResultCode::NotHome, "this daemon is not the home of server " + call.server);
    }
    return home->second;
}

bool HomeRegistry::isHome(const std::string &serverKey) const
{
    const auto home = this->view->homes.find(serverKey);
    return home != this->view->homes.end() && home->second.own && this->homeCheck(this->view->homeEpoch);
}

}
