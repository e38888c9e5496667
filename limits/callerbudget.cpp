#include "limits/callerbudget.h"

#include <algorithm>
#include <array>
#include <limits>

namespace endiveshore::limits {

namespace {

constexpr std::size_t Mebibyte = 1'024 * 1'024;
/// Memory of a VM whose settings do not name it.
constexpr std::size_t DefaultMemory = 1'024 * Mebibyte;
/// Part of the VM's memory for what sessions hold. The rest is for the daemon's own state, the connections themselves,
/// and the answers that servers are sending.
constexpr std::size_t MemoryDivisor = 3;
/// Descriptors that the platform reserves for files.
constexpr std::size_t FileDescriptors = 200;
/// Sockets for servers, other daemons and the platform: a sixteenth of all, and at least this many.
constexpr std::size_t SmallestSocketReserve = 48;
constexpr std::size_t SocketReserveDivisor = 16;
constexpr core::Milliseconds StartTimeout{30'000};
constexpr core::Milliseconds MessageTimeout{60'000};
constexpr core::Milliseconds WriteTimeout{60'000};
/// Sessions with larger charges leave an eighth of the memory to others.
constexpr std::size_t LargeCharge = 64 * 1'024;
constexpr std::size_t SmallShareDivisor = 8;
/// One session may keep values in an eighth of the memory, so that it can still be served, which takes copies of them.
constexpr std::size_t KeptShareDivisor = 8;
/// Interval between checks of the timeouts, which visit all sessions.
constexpr core::Milliseconds OverdueInterval{1'000};

struct TimeoutRow
{
    CallerPhase phase;
    core::Duration CallerLimits::*timeout;
    CloseReason reason;
};

constexpr std::array Timeouts{
    TimeoutRow{CallerPhase::Starting, &CallerLimits::startTimeout, CloseReason::StartTimeout},
    TimeoutRow{CallerPhase::Receiving, &CallerLimits::messageTimeout, CloseReason::MessageTimeout},
    TimeoutRow{CallerPhase::Sending, &CallerLimits::writeTimeout, CloseReason::WriteTimeout},
};

bool holdsMore(const CallerAccount *left, const CallerAccount *right)
{
    return left->heldBytes() > right->heldBytes();
}

}

CallerLimits callerLimits(std::size_t memory, std::size_t descriptors)
{
    CallerLimits limits{.memory = (memory == 0 ? DefaultMemory : memory) / MemoryDivisor,
                        .sessions = std::numeric_limits<std::size_t>::max(),
                        .startTimeout = StartTimeout,
                        .messageTimeout = MessageTimeout,
                        .writeTimeout = WriteTimeout};
    if (descriptors != 0) {
        const std::size_t sockets = descriptors > FileDescriptors ? descriptors - FileDescriptors : 0;
        const std::size_t reserve = std::max(SmallestSocketReserve, sockets / SocketReserveDivisor);
        limits.sessions = sockets > reserve ? sockets - reserve : 1;
    }
    return limits;
}

bool CallerTotals::tryTake(std::size_t bytes, std::size_t limit)
{
    const std::size_t before = this->heldBytes.fetch_add(bytes, std::memory_order_relaxed);
    if (before + bytes <= limit) {
        return true;
    }
    this->heldBytes.fetch_sub(bytes, std::memory_order_relaxed);
    return false;
}

void CallerTotals::take(std::size_t bytes)
{
    this->heldBytes.fetch_add(bytes, std::memory_order_relaxed);
}

void CallerTotals::giveBack(std::size_t bytes)
{
    this->heldBytes.fetch_sub(bytes, std::memory_order_relaxed);
}

std::size_t CallerTotals::bytes() const
{
    return this->heldBytes.load(std::memory_order_relaxed);
}

void CallerTotals::addSession()
{
    this->openSessions.fetch_add(1, std::memory_order_relaxed);
}

void CallerTotals::removeSession()
{
    this->openSessions.fetch_sub(1, std::memory_order_relaxed);
}

std::size_t CallerTotals::sessions() const
{
    return this->openSessions.load(std::memory_order_relaxed);
}

std::string_view closeReasonName(CloseReason reason)
{
    constexpr std::array<std::string_view, CloseReasons> Names{
        "start_timeout", "message_timeout", "write_timeout", "memory", "sessions"};
    return Names[static_cast<std::size_t>(reason)];
}

std::string_view callerPhaseName(CallerPhase phase)
{
    constexpr std::array<std::string_view, 6> Names{"starting", "idle", "receiving", "waiting", "serving", "sending"};
    return Names[static_cast<std::size_t>(phase)];
}

CallerPhase CallerAccount::phase() const
{
    return this->currentPhase;
}

std::size_t CallerAccount::heldBytes() const
{
    return this->charged;
}

std::size_t CallerAccount::keptBytes() const
{
    return this->kept;
}

CallerBudget::CallerBudget(CallerLimits limits, std::shared_ptr<CallerTotals> totals)
    : limits(limits)
    , totals(std::move(totals))
{
}

bool CallerBudget::admit()
{
    if (this->totals->sessions() < this->limits.sessions) {
        return true;
    }
    if (this->fullAt == this->now) {
        return false;
    }
    CallerAccount *const closed = this->replaceable();
    if (closed == nullptr) {
        this->fullAt = this->now;
        return false;
    }
    closeAll({{.account = closed, .reason = CloseReason::Sessions}});
    return true;
}

CallerAccount *CallerBudget::replaceable() const
{
    CallerAccount *starting = nullptr;
    CallerAccount *idle = nullptr;
    for (CallerAccount *const account : this->accounts) {
        const core::Duration time = this->stalledFor(*account);
        if (account->judged || this->holdsTransaction(*account)) {
            continue;
        }
        CallerAccount *&oldest = account->currentPhase == CallerPhase::Starting ? starting : idle;
        const bool isCandidate = (account->currentPhase == CallerPhase::Starting && time >= StallTime)
            || (account->currentPhase == CallerPhase::Idle && time >= IdleTime);
        if (isCandidate && (oldest == nullptr || account->progressAt < oldest->progressAt)) {
            oldest = account;
        }
    }
    return starting != nullptr ? starting : idle;
}

void CallerBudget::add(CallerAccount &account)
{
    account.index = this->accounts.size();
    account.progressAt = this->now;
    this->accounts.push_back(&account);
    this->totals->addSession();
}

void CallerBudget::remove(CallerAccount &account)
{
    std::erase(this->waiters, &account);
    this->totals->giveBack(account.charged);
    account.charged = account.transient = account.kept = 0;
    this->accounts[account.index] = this->accounts.back();
    this->accounts[account.index]->index = account.index;
    this->accounts.pop_back();
    this->totals->removeSession();
}

void CallerBudget::enter(CallerAccount &account, CallerPhase phase)
{
    if (account.currentPhase != phase) {
        account.currentPhase = phase;
        account.progressAt = this->now;
        account.moved = 0;
    }
}

void CallerBudget::setTransaction(CallerAccount &account, std::optional<core::Duration> idleTimeout)
{
    account.transactionIdleTimeout = idleTimeout;
}

bool CallerBudget::holdsTransaction(const CallerAccount &account) const
{
    return account.transactionIdleTimeout && this->stalledFor(account) < *account.transactionIdleTimeout;
}

void CallerBudget::move(CallerAccount &account, std::size_t bytes)
{
    account.moved += bytes;
    if (account.moved >= ProgressBytes && account.currentPhase != CallerPhase::Starting) {
        account.moved = 0;
        account.progressAt = this->now;
    }
}

std::size_t CallerBudget::chargeOf(std::size_t bytes)
{
    return bytes <= Allowance ? 0 : bytes;
}

std::size_t CallerBudget::limitFor(std::size_t charge) const
{
    return charge > LargeCharge ? this->limits.memory - this->limits.memory / SmallShareDivisor : this->limits.memory;
}

bool CallerBudget::tryCharge(CallerAccount &account, std::size_t transient, std::size_t kept)
{
    const std::size_t charge = chargeOf(transient + kept);
    if (charge > account.charged && !this->totals->tryTake(charge - account.charged, this->limitFor(charge))) {
        return false;
    }
    if (charge > account.charged) {
        account.charged = charge;
    }
    this->charge(account, transient, kept);
    return true;
}

void CallerBudget::charge(CallerAccount &account, std::size_t transient, std::size_t kept)
{
    const std::size_t charge = chargeOf(transient + kept);
    if (charge > account.charged) {
        this->totals->take(charge - account.charged);
    } else if (charge < account.charged) {
        this->totals->giveBack(account.charged - charge);
    }
    account.charged = charge;
    account.transient = transient;
    account.kept = kept;
}

bool CallerBudget::tryHold(CallerAccount &account, std::size_t transient)
{
    return this->tryCharge(account, transient, account.kept);
}

void CallerBudget::hold(CallerAccount &account, std::size_t transient)
{
    this->charge(account, transient, account.kept);
}

bool CallerBudget::tryKeep(CallerAccount &account, std::size_t growth)
{
    const std::size_t kept = account.kept + growth;
    if (kept > Allowance && kept > this->limits.memory / KeptShareDivisor) {
        return false;
    }
    if (!this->tryCharge(account, account.transient, kept)) {
        this->notePressure();
        return false;
    }
    return true;
}

void CallerBudget::dropKept(CallerAccount &account, std::size_t bytes)
{
    this->charge(account, account.transient, account.kept - std::min(account.kept, bytes));
}

void CallerBudget::wait(CallerAccount &account, std::size_t transient)
{
    this->enter(account, CallerPhase::Waiting);
    account.wanted = transient;
    this->waiters.push_back(&account);
}

void CallerBudget::notePressure()
{
    this->pressedUntil = this->now + StallTime;
}

core::Duration CallerBudget::stalledFor(const CallerAccount &account) const
{
    return this->now - account.progressAt;
}

void CallerBudget::tick(core::TimePoint time)
{
    this->now = time;
    if (this->now - this->overdueCheckedAt >= OverdueInterval) {
        this->overdueCheckedAt = this->now;
        this->closeOverdue();
    }
    if (!this->waiters.empty()) {
        this->serveWaiters();
    }
    if (!this->waiters.empty() || this->now < this->pressedUntil) {
        this->relievePressure();
    }
}

void CallerBudget::serveWaiters()
{
    std::vector<CallerAccount *> resumed;
    std::vector<CallerAccount *> refused;
    std::vector<CallerAccount *> remaining;
    bool blocked = false;
    for (CallerAccount *const account : this->waiters) {
        // Large messages do not overtake each other.
        const bool isLarge = account->wanted > LargeCharge;
        const bool isHeld = !(isLarge && blocked) && this->tryHold(*account, account->wanted);
        blocked = blocked || (isLarge && !isHeld);
        if (isHeld) {
            resumed.push_back(account);
        } else if (this->stalledFor(*account) >= LongestWait) {
            refused.push_back(account);
        } else {
            remaining.push_back(account);
        }
    }
    this->waiters = std::move(remaining);
    for (CallerAccount *const account : resumed) {
        account->apply(CallerVerdict::Resume, CloseReason::Memory);
    }
    for (CallerAccount *const account : refused) {
        account->apply(CallerVerdict::Refuse, CloseReason::Memory);
    }
}

void CallerBudget::closeOverdue()
{
    std::vector<Closing> closings;
    for (CallerAccount *const account : this->accounts) {
        for (const TimeoutRow &row : Timeouts) {
            if (account->currentPhase == row.phase && !account->judged
                && this->stalledFor(*account) >= this->limits.*row.timeout) {
                closings.push_back({.account = account, .reason = row.reason});
            }
        }
    }
    closeAll(closings);
}

std::vector<CallerAccount *> CallerBudget::stalled(bool waiting) const
{
    std::vector<CallerAccount *> found;
    for (CallerAccount *const account : this->accounts) {
        const bool isIdleTransaction = account->currentPhase == CallerPhase::Idle && this->holdsTransaction(*account);
        if (account->judged || account->charged == 0 || account->currentPhase == CallerPhase::Serving
            || isIdleTransaction || (account->currentPhase == CallerPhase::Waiting) != waiting
            || this->stalledFor(*account) < StallTime) {
            continue;
        }
        found.push_back(account);
    }
    std::ranges::sort(found, holdsMore);
    return found;
}

void CallerBudget::relievePressure()
{
    std::size_t missing = 1;
    if (!this->waiters.empty()) {
        const CallerAccount &first = *this->waiters.front();
        const std::size_t charge = chargeOf(first.wanted + first.kept);
        const std::size_t needed = this->totals->bytes() + charge - std::min(charge, first.charged);
        missing = std::max<std::size_t>(1, needed - std::min(needed, this->limitFor(charge)));
    }
    // Sessions that wait are not to blame as long as others stall.
    std::vector<CallerAccount *> candidates = this->stalled(false);
    if (candidates.empty()) {
        candidates = this->stalled(true);
    }
    std::vector<Closing> closings;
    for (CallerAccount *const account : candidates) {
        if (missing == 0) {
            break;
        }
        missing -= std::min(missing, account->charged);
        closings.push_back({.account = account, .reason = CloseReason::Memory});
    }
    closeAll(closings);
}

void CallerBudget::closeAll(const std::vector<Closing> &closings)
{
    for (const auto &[account, reason] : closings) {
        account->judged = true;
        this->charge(*account, 0, 0);
        std::erase(this->waiters, account);
        account->apply(CallerVerdict::Close, reason);
    }
}

std::size_t CallerBudget::heldBytes() const
{
    return this->totals->bytes();
}

}
