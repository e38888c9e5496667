#pragma once

#include "daemon/serverhome.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace endiveshore::daemon {

/// The server homes that one traffic thread owns. Follows the fleet view: creates a home when this daemon becomes the
/// home of a server and closes it once another daemon has taken over and its work has ended.
class HomeRegistry
{
public:
    /// Whether this traffic thread owns the queue of a server.
    using Ownership = std::function<bool(const std::string &serverKey)>;

    /// Checks that the daemon's homes are valid now: the epoch is current and the control thread is not paused.
    using HomeCheck = std::function<bool(std::uint64_t homeEpoch)>;

    /// One line per placement decision.
    using DecisionSink
        = std::function<void(const std::string &serverKey, std::string_view decision, std::string_view reason)>;

    /// Called when a former home has ended its work, so that the new home need not wait.
    using ReleaseSink = std::function<void(const std::string &serverKey)>;

    HomeRegistry(net::Executor executor,
                 std::string memberId,
                 Ownership ownership,
                 HomeCheck homeCheck,
                 SlotQueue::WaitObserver observer,
                 DecisionSink sink,
                 ReleaseSink releaseSink);

    void setView(std::shared_ptr<const FleetView> view);

    net::awaitable<StatementAnswer> execute(StatementCall call);
    net::awaitable<StatementAnswer> transact(TransactionStep step, StatementCall call);

    /// Calls running and transactions open at all homes.
    std::size_t activeOperations() const;

    const std::unordered_map<std::string, std::shared_ptr<ServerHome>> &homes() const;

private:
    net::awaitable<void> retire(std::string serverKey, std::shared_ptr<ServerHome> home);
    std::shared_ptr<ServerHome> homeFor(const StatementCall &call, core::Outcome unknownOutcome) const;
    bool isHome(const std::string &serverKey) const;

    net::Executor executor;
    std::string memberId;
    Ownership ownership;
    HomeCheck homeCheck;
    SlotQueue::WaitObserver observer;
    DecisionSink sink;
    ReleaseSink releaseSink;
    std::shared_ptr<const FleetView> view;
    std::unordered_map<std::string, std::shared_ptr<ServerHome>> owned;
    std::vector<std::shared_ptr<ServerHome>> retiring; ///< Former homes with calls or transactions left.
};

}
