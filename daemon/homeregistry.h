#pragma once

#include "daemon/serverhome.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace endiveshore::daemon {

/// The server homes that one traffic thread owns. Follows the fleet view: creates a home when this daemon becomes the
/// home of a server. When another daemon becomes the home, retires the former home: waits until its calls and
/// transactions have ended or a timeout passes, then closes the former home.
class HomeRegistry
{
public:
    /// Returns true if this traffic thread owns the queue of the server.
    using Ownership = std::function<bool(const std::string &serverKey)>;

    /// Returns true if the daemon's homes are valid now: @p homeEpoch is current and the home lease has not expired.
    using HomeCheck = std::function<bool(std::uint64_t homeEpoch)>;

    /// Called for each placement decision, for the log.
    using DecisionSink
        = std::function<void(const std::string &serverKey, std::string_view decision, std::string_view reason)>;

    /// Called when all work of a former home has ended, so that the new home need not wait.
    using ReleaseSink = std::function<void(const std::string &serverKey)>;

    HomeRegistry(net::Executor executor,
                 std::string memberId,
                 Ownership ownership,
                 HomeCheck homeCheck,
                 SlotQueue::WaitObserver observer,
                 DecisionSink decisionSink,
                 ReleaseSink releaseSink);

    void setView(std::shared_ptr<const FleetView> view);

    net::awaitable<StatementAnswer> execute(StatementCall call);
    net::awaitable<StatementAnswer> transact(TransactionStep step, StatementCall call);

    /// Number of running calls and open transactions at all homes, retiring ones included.
    std::size_t activeOperations() const;

    const std::unordered_map<std::string, std::shared_ptr<ServerHome>> &homes() const;

private:
    net::awaitable<void> retire(std::string serverKey, std::shared_ptr<ServerHome> home);
    std::shared_ptr<ServerHome> homeFor(const StatementCall &call, core::Outcome outcomeIfNotOpen) const;
    bool isHome(const std::string &serverKey) const;

    net::Executor executor;
    std::string memberId;
    Ownership ownership;
    HomeCheck homeCheck;
    SlotQueue::WaitObserver observer;
    DecisionSink decisionSink;
    ReleaseSink releaseSink;
    std::shared_ptr<const FleetView> view;
    std::unordered_map<std::string, std::shared_ptr<ServerHome>> owned;
    std::vector<std::shared_ptr<ServerHome>> retiring; ///< Former homes whose calls or transactions have not ended.
};

}
