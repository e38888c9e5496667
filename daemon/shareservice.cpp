#include "daemon/shareservice.h"

#include "core/error.h"
#include "core/hashing.h"
#include "core/json.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace endiveshore::daemon {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

// A lease is renewed four times in its period, so that the loss of one message does not end the lease.
constexpr int RenewalsPerLease = 4;
constexpr std::size_t IncarnationBytes = 6;

std::uint64_t randomSeed()
{
    return core::stableHash(core::randomHex(sizeof(std::uint64_t)));
}

}

/// A caller that waits for a token. Its timer is cancelled when the outcome is known.
struct ShareService::Waiter
{
    explicit Waiter(const net::Executor &executor)
        : timer(executor, core::TimePoint::max())
    {
    }

    asio::steady_timer timer;
    bool finished = false;
    bool served = false;
};

/// Rate share of one workspace: the tokens held by this daemon, and the allocator's state if this daemon allocates.
struct ShareService::Share
{
    Share(const net::Executor &executor,
          const std::string &workspace,
          const std::string &identity,
          limits::ShareLimits limits,
          const ShareServiceOptions &options)
        : workspace(workspace)
        , holder(workspace, identity, options.holder)
        , allocator(limits, randomSeed(), options.allocator)
        , lease(options.leasePeriod)
        , wake(executor)
    {
    }

    std::string workspace;
    limits::ShareHolder holder;
    limits::ShareAllocator allocator;
    limits::AllocatorLease lease;
    asio::steady_timer wake;
    std::map<limits::ShareHolder::WaiterId, std::shared_ptr<Waiter>> waiters;
    limits::ShareHolder::WaiterId lastWaiter = 0;
    bool removed = false;
};

ShareService::ShareService(net::Executor executor, ShareServiceOptions options, ShareServiceCallbacks callbacks)
    : executor(std::move(executor))
    , options(std::move(options))
    , callbacks(std::move(callbacks))
    , identity(this->options.memberId + "/" + core::randomHex(IncarnationBytes))
    , endorsements(this->options.leasePeriod, core::Clock::now())
{
}

ShareService::~ShareService() = default;

void ShareService::start()
{
    asio::co_spawn(this->executor, this->renewLeases(), asio::detached);
}

void ShareService::stop()
{
    asio::post(this->executor, [self = this->shared_from_this()] { self->stopOnExecutor(); });
}

void ShareService::setLimits(std::map<std::string, limits::ShareLimits> limits)
{
    asio::post(this->executor,
               [self = this->shared_from_this(), limits = std::move(limits)] { self->applyLimits(limits); });
}

net::awaitable<void> ShareService::acquire(std::string workspace, core::TimePoint deadline)
{
    const auto self = this->shared_from_this();
    auto work = this->acquireOnExecutor(std::move(workspace), deadline);
    co_await asio::co_spawn(this->executor, std::move(work), asio::use_awaitable);
}

net::awaitable<json::object> ShareService::serve(json::object request)
{
    const auto self = this->shared_from_this();
    auto work = this->handleOnExecutor(std::move(request));
    json::object answer = co_await asio::co_spawn(this->executor, std::move(work), asio::use_awaitable);
    co_return answer;
}

json::object ShareService::handle(const json::object &request)
{
    const core::TimePoint now = core::Clock::now();
    if (const json::object *body = core::jsonObject(request, "share")) {
        const limits::ShareRequest message = core::valueOrThrow([&] { return limits::shareRequestFromJson(*body); });
        const auto found = this->shares.find(message.workspace);
        if (found == this->shares.end()) {
            const limits::ShareGrant refusal{
                .sequence = message.sequence, .retryAfter = this->options.allocator.refusedRetry, .refused = true};
            return {{"grant", limits::toJson(refusal)}};
        }
        return {{"grant", limits::toJson(found->second->allocator.handle(message, now))}};
    }
    if (const json::object *body = core::jsonObject(request, "endorse")) {
        const limits::EndorsementRequest message
            = core::valueOrThrow([&] { return limits::endorsementRequestFromJson(*body); });
        json::array endorsed;
        for (const std::string &workspace : message.workspaces) {
            // Only configured workspaces are recorded, which bounds the memory.
            if (this->shares.contains(workspace) && this->endorsements.endorse(workspace, message.allocator, now)) {
                endorsed.emplace_back(workspace);
            }
        }
        return {{"endorsed", std::move(endorsed)}};
    }
    throw core::Error(core::ResultCode::MalformedRequest, "the request must contain the field share or endorse");
}

json::object ShareService::status()
{
    const core::TimePoint now = core::Clock::now();
    json::object result;
    for (const auto &[workspace, share] : this->shares) {
        json::object entry{{"held", share->holder.held(now)},
                           {"waiting", share->holder.waiting()},
                           {"allocating", share->allocator.mayGrant(now)}};
        if (share->allocator.mayGrant(now)) {
            entry["available"] = share->allocator.available(now);
            entry["outstanding"] = share->allocator.outstanding(now);
        }
        result[workspace] = std::move(entry);
    }
    return result;
}

net::awaitable<void> ShareService::acquireOnExecutor(std::string workspace, core::TimePoint deadline)
{
    const auto self = this->shared_from_this();
    const auto found = this->shares.find(workspace);
    if (this->stopped || found == this->shares.end()) {
        throw core::Error(core::ResultCode::RateExceeded, "no rate is in force for workspace " + workspace);
    }
    const std::shared_ptr<Share> share = found->second;
    const limits::ShareHolder::WaiterId id = ++share->lastWaiter;
    const auto acquisition = share->holder.acquire(id, deadline, core::Clock::now());
    if (acquisition == limits::ShareHolder::Acquisition::Refused) {
        throw core::Error(core::ResultCode::RateExceeded, "too many callers wait for the rate of " + workspace);
    }
    if (acquisition == limits::ShareHolder::Acquisition::Taken) {
        this->advance(share);
        co_return;
    }
    const auto waiter = std::make_shared<Waiter>(this->executor);
    share->waiters.emplace(id, waiter);
    this->advance(share);
    if (!waiter->finished) {
        boost::system::error_code cancelled;
        co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
    if (!waiter->served) {
        throw core::Error(core::ResultCode::RateExceeded, "the rate of workspace " + workspace + " is used up");
    }
}

net::awaitable<json::object> ShareService::handleOnExecutor(json::object request)
{
    co_return this->handle(request);
}

net::awaitable<void> ShareService::renewLeases()
{
    const auto self = this->shared_from_this();
    asio::steady_timer timer(this->executor);
    while (!this->stopped) {
        // Each witness receives one request for all workspaces that it is to endorse.
        std::map<std::string, limits::EndorsementRequest> requests;
        if (this->callbacks.seesMajority()) {
            const std::vector<std::string> members = this->callbacks.members();
            for (const auto &[workspace, share] : this->shares) {
                if (this->callbacks.allocatorOf(workspace) != this->options.memberId) {
                    continue;
                }
                for (const std::string &witness : limits::witnessesOf(workspace, members).members) {
                    requests[witness].workspaces.push_back(workspace);
                }
            }
        }
        for (auto &[witness, request] : requests) {
            request.allocator = this->identity;
            asio::co_spawn(this->executor, this->requestEndorsement(witness, std::move(request)), asio::detached);
        }
        timer.expires_after(this->options.leasePeriod / RenewalsPerLease);
        boost::system::error_code cancelled;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
}

net::awaitable<void> ShareService::requestEndorsement(std::string member, limits::EndorsementRequest request)
{
    const auto self = this->shared_from_this();
    const core::TimePoint requestedAt = core::Clock::now();
    json::object answer;
    try {
        json::object message{{"endorse", limits::toJson(request)}};
        answer = co_await this->exchange(member, std::move(message));
    } catch (const core::Error &) {
        // Without an answer, the member counts as not endorsing.
        co_return;
    }
    const json::array *endorsed = core::jsonArray(answer, "endorsed");
    if (endorsed == nullptr || this->stopped) {
        co_return;
    }
    const std::vector<std::string> members = this->callbacks.members();
    for (const json::value &workspace : *endorsed) {
        if (!workspace.is_string()) {
            continue;
        }
        const json::string &name = workspace.get_string();
        const auto found = this->shares.find(std::string_view(name.data(), name.size()));
        if (found == this->shares.end()) {
            continue;
        }
        Share &share = *found->second;
        share.lease.recordEndorsement(member, requestedAt);
        share.allocator.extendLease(share.lease.heldUntil(limits::witnessesOf(found->first, members)),
                                    core::Clock::now());
    }
}

net::awaitable<void> ShareService::sendRequest(std::shared_ptr<Share> share, limits::ShareRequest request)
{
    const auto self = this->shared_from_this();
    std::string member = this->callbacks.allocatorOf(request.workspace);
    try {
        json::object message{{"share", limits::toJson(request)}};
        const json::object answer = co_await this->exchange(std::move(member), std::move(message));
        const json::object *body = core::jsonObject(answer, "grant");
        if (body == nullptr) {
            throw core::Error(core::ResultCode::MalformedRequest, "the answer contains no grant");
        }
        const limits::ShareGrant grant = core::valueOrThrow([&] { return limits::shareGrantFromJson(*body); });
        share->holder.onGrant(grant, core::Clock::now());
    } catch (const core::Error &) {
        share->holder.onFailure(request.sequence, core::Clock::now());
    }
    this->advance(share);
}

net::awaitable<json::object> ShareService::exchange(std::string member, json::object request)
{
    if (member == this->options.memberId) {
        co_return this->handle(request);
    }
    json::object answer = co_await this->callbacks.exchange(std::move(member), std::move(request));
    // The peer exchange may complete on another executor.
    co_await asio::post(this->executor, asio::use_awaitable);
    co_return answer;
}

void ShareService::advance(const std::shared_ptr<Share> &share)
{
    const core::TimePoint now = core::Clock::now();
    for (const limits::ShareHolder::WaiterId id : share->holder.takeServed()) {
        this->finishWaiter(*share, id, true);
    }
    for (const limits::ShareHolder::WaiterId id : share->holder.takeExpired(now)) {
        this->finishWaiter(*share, id, false);
    }
    if (this->stopped || share->removed) {
        return;
    }
    if (const std::optional<limits::ShareRequest> request = share->holder.nextRequest(now)) {
        asio::co_spawn(this->executor, this->sendRequest(share, *request), asio::detached);
    }
    const std::optional<core::TimePoint> wake = share->holder.nextWake(now);
    if (!wake) {
        share->wake.cancel();
        return;
    }
    share->wake.expires_at(*wake);
    share->wake.async_wait([weak = this->weak_from_this(), share](const boost::system::error_code &cancelled) {
        const auto self = weak.lock();
        if (self && !cancelled) {
            self->advance(share);
        }
    });
}

void ShareService::finishWaiter(Share &share, limits::ShareHolder::WaiterId id, bool served)
{
    const auto found = share.waiters.find(id);
    if (found == share.waiters.end()) {
        return;
    }
    found->second->finished = true;
    found->second->served = served;
    found->second->timer.cancel();
    share.waiters.erase(found);
}

void ShareService::applyLimits(const std::map<std::string, limits::ShareLimits> &limits)
{
    if (this->stopped) {
        return;
    }
    for (const auto &[workspace, limit] : limits) {
        const auto found = this->shares.find(workspace);
        if (found != this->shares.end()) {
            found->second->allocator.setLimits(limit, core::Clock::now());
            continue;
        }
        this->shares.emplace(workspace,
                             std::make_shared<Share>(this->executor, workspace, this->identity, limit, this->options));
    }
    std::erase_if(this->shares, [this, &limits](const auto &entry) {
        if (limits.contains(entry.first)) {
            return false;
        }
        entry.second->removed = true;
        this->refuseWaiters(*entry.second);
        return true;
    });
}

void ShareService::stopOnExecutor()
{
    this->stopped = true;
    for (const auto &[workspace, share] : this->shares) {
        share->allocator.endLease();
        share->wake.cancel();
        this->refuseWaiters(*share);
    }
}

void ShareService::refuseWaiters(Share &share)
{
    while (!share.waiters.empty()) {
        this->finishWaiter(share, share.waiters.begin()->first, false);
    }
}

}
