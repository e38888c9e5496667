#pragma once

#include "core/time.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace endiveshore::limits {

/// Limits for the callers of one process.
struct CallerLimits
{
    std::size_t memory = 0; ///< Bytes that all sessions may hold beyond their allowances.
    std::size_t sessions = 0; ///< Open connections of callers.
    core::Duration startTimeout{}; ///< From the connection to the first complete message.
    core::Duration messageTimeout{}; ///< For a half-sent message without progress.
    core::Duration writeTimeout{}; ///< For an answer without progress.

    bool operator==(const CallerLimits &) const = default;
};

/// Limits of callers on a VM with @p memory bytes and @p descriptors file descriptors; 0 for values that are unknown.
/// The timeouts keep their defaults.
CallerLimits callerLimits(std::size_t memory, std::size_t descriptors);

/// What all sessions of a process hold. Thread-safe.
class CallerTotals
{
public:
    /// Adds @p bytes if the sum stays within @p limit.
    bool tryTake(std::size_t bytes, std::size_t limit);
    void take(std::size_t bytes);
    void giveBack(std::size_t bytes);
    std::size_t bytes() const;

    void addSession();
    void removeSession();
    std::size_t sessions() const;

private:
    std::atomic<std::size_t> heldBytes = 0;
    std::atomic<std::size_t> openSessions = 0;
};

enum class CallerPhase {
    Starting, ///< No complete message has been received.
    Idle, ///< Between messages.
    Receiving, ///< A message has been received in part.
    Waiting, ///< For memory; nothing is read.
    Serving, ///< A statement is being run, within the timeouts of its route.
    Sending, ///< An answer has not been sent in full.
};

enum class CallerVerdict {
    Resume, ///< The memory that the session waits for is held by it now.
    Refuse, ///< The memory did not become available in time.
    Close,
};

enum class CloseReason {
    StartTimeout,
    MessageTimeout,
    WriteTimeout,
    Memory, ///< Others wait for memory that the session holds without progress.
    Sessions, ///< The connection is needed for a new session.
};

inline constexpr std::size_t CloseReasons = 5;

std::string_view closeReasonName(CloseReason reason);
std::string_view callerPhaseName(CallerPhase phase);

/// One session as the budget sees it. The session sets the phase through CallerBudget.
class CallerAccount
{
public:
    virtual ~CallerAccount() = default;

    /// Called by CallerBudget::tick() and CallerBudget::admit(). @p reason applies to CallerVerdict::Close.
    virtual void apply(CallerVerdict verdict, CloseReason reason) = 0;

    CallerPhase phase() const;
    std::size_t heldBytes() const;
    /// Bytes of session values and prepared statements.
    std::size_t keptBytes() const;

private:
    friend class CallerBudget;

    CallerPhase currentPhase = CallerPhase::Starting;
    std::optional<core::Duration> transactionIdleTimeout; ///< Of the open transaction; nothing without one.
    bool judged = false; ///< Refused or to be closed; no further verdict follows.
    std::size_t index = 0; ///< In the budget's list of sessions.
    std::size_t transient = 0; ///< Bytes of messages and answers.
    std::size_t kept = 0; ///< Bytes of session values and prepared statements.
    std::size_t charged = 0; ///< Part of them that exceeds the allowance.
    std::size_t wanted = 0; ///< Transient bytes that the session waits for.
    std::size_t moved = 0; ///< Bytes received or sent since `progressAt`.
    core::TimePoint progressAt;
};

/// Decides over the memory and the connections of the sessions of one traffic thread, which share the totals of the
/// process. When the memory is used up, sessions first wait, that is, nothing is read from their callers; then what is
/// new is refused; then the sessions are closed that hold most without progress.
class CallerBudget
{
public:
    /// Bytes that each session may hold without a charge. Small messages cost no shared state.
    static constexpr std::size_t Allowance = 4 * 1'024;
    /// A session that moves this many bytes, or completes a message or an answer, makes progress.
    static constexpr std::size_t ProgressBytes = 32 * 1'024;
    /// While others wait for memory, a session that makes no progress for this long may be closed.
    static constexpr core::Milliseconds StallTime{1'000};
    /// Longest wait for memory. Callers repeat what is refused within the deadlines of their operations.
    static constexpr core::Milliseconds LongestWait{2'000};
    /// While all connections are in use, a session that has been idle for this long may be closed.
    static constexpr core::Milliseconds IdleTime{10'000};

    CallerBudget(CallerLimits limits, std::shared_ptr<CallerTotals> totals);

    /// True if a new session may be added. If all connections are in use, a session is closed whose caller never
    /// started it or, if there is none, the one that has been idle for longest.
    bool admit();

    void add(CallerAccount &account);
    void remove(CallerAccount &account);

    void enter(CallerAccount &account, CallerPhase phase);
    /// Sets the time for which the open transaction of @p account may be idle; nothing without a transaction. Until
    /// then the session is not closed between its statements.
    void setTransaction(CallerAccount &account, std::optional<core::Duration> idleTimeout);

    /// Records that @p bytes have been received from or sent to the caller.
    void move(CallerAccount &account, std::size_t bytes);

    /// Changes the bytes that messages and answers of the session take. Returns false, and changes nothing, if the
    /// memory is used up.
    bool tryHold(CallerAccount &account, std::size_t transient);

    /// Like tryHold() for memory that is in use already, whatever the limit.
    void hold(CallerAccount &account, std::size_t transient);

    /// Adds @p growth to the bytes of session values and prepared statements. Returns false, and changes nothing, if
    /// the memory is used up, or if the session would keep more than its part of it.
    bool tryKeep(CallerAccount &account, std::size_t growth);
    void dropKept(CallerAccount &account, std::size_t bytes);

    /// The session waits until it may hold @p transient bytes, and then gets a verdict.
    void wait(CallerAccount &account, std::size_t transient);

    /// Something was refused because the memory is used up; stalled sessions are closed during the next StallTime.
    void notePressure();

    /// Resumes, refuses and closes sessions. To be called about every 25 ms.
    void tick(core::TimePoint now);

    std::size_t heldBytes() const;

private:
    /// A session that must be closed, and why.
    struct Closing
    {
        CallerAccount *account = nullptr;
        CloseReason reason = CloseReason::Memory;
    };

    static std::size_t chargeOf(std::size_t bytes);
    std::size_t limitFor(std::size_t charge) const;
    bool tryCharge(CallerAccount &account, std::size_t transient, std::size_t kept);
    void charge(CallerAccount &account, std::size_t transient, std::size_t kept);
    core::Duration stalledFor(const CallerAccount &account) const;
    /// True if the session has an open transaction that has not been idle for too long.
    bool holdsTransaction(const CallerAccount &account) const;
    void serveWaiters();
    void closeOverdue();
    void relievePressure();
    std::vector<CallerAccount *> stalled(bool waiting) const;
    CallerAccount *replaceable() const;
    /// Gives back the memory of the sessions, which they free as soon as their connections have ended.
    void closeAll(const std::vector<Closing> &closings);

    CallerLimits limits;
    std::shared_ptr<CallerTotals> totals;
    std::vector<CallerAccount *> accounts;
    std::vector<CallerAccount *> waiters; ///< In the order of their arrival.
    core::TimePoint now;
    core::TimePoint pressedUntil;
    core::TimePoint overdueCheckedAt;
    core::TimePoint fullAt; ///< When no session could be replaced; the answer holds until the time changes.
};

}
