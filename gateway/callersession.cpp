#include "gateway/callersession.h"

#include "core/error.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

#include <netinet/tcp.h>

namespace endiveshore::gateway {

namespace asio = boost::asio;
using pooling::Statement;
using pooling::StatementKind;
using pooling::UnitError;
using pooling::UnitKind;
using pooling::UnitOutcome;
using pooling::UnitResult;
using pooling::WorkUnit;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t MaxLineBytes = 1024 * 1024; ///< Largest message of the wire protocol.
/// Time for which the rest of a message that exceeds the limit is read and dropped.
constexpr std::chrono::milliseconds LongMessageLinger{1'000};
constexpr std::size_t DiscardBytes = 4096;
/// Largest input buffer that a session keeps between messages.
constexpr std::size_t IdleBufferBytes = 4096;
/// A connection whose peer acknowledges no data for this long is closed (TCP_USER_TIMEOUT).
constexpr int UserTimeoutMs = 10'000;
/// Workspace to which operations on open routes without a known key are charged.
constexpr std::string_view OpenWorkspace = "public";
/// Longest wait of a new session for the configuration of a daemon that has just started. Callers time out a start
/// after 2 s.
constexpr std::chrono::milliseconds ConfigurationTimeout{1'800};
constexpr std::chrono::milliseconds ConfigurationPollInterval{10};
/// Bytes of a session value or prepared statement beside its texts.
constexpr std::size_t KeptEntryBytes = 128;

std::size_t keptBytesOf(std::string_view name, std::string_view text)
{
    return KeptEntryBytes + name.size() + text.size();
}

}

CallerSession::CallerSession(asio::ip::tcp::socket socket, std::shared_ptr<SessionContext> context)
    : socket(std::move(socket))
    , context(std::move(context))
    , input(MaxLineBytes)
{
    boost::system::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    this->socket.set_option(UserTimeout(UserTimeoutMs), ignored);
    this->context->budget.add(*this);
}

CallerSession::~CallerSession()
{
    this->context->budget.remove(*this);
}

net::awaitable<void> CallerSession::serve()
{
    const std::shared_ptr<CallerSession> self = this->shared_from_this();
    limits::CallerBudget &budget = this->context->budget;
    bool open = true;
    while (open && !(this->closing && !this->transaction)) {
        std::optional<Received> received = co_await this->readLine();
        if (!received) {
            break;
        }
        this->receivedAt = core::Clock::now();
        this->busy = true;
        const bool refused = received->refused;
        CallerMessage message = this->context->protocol->decode(received->line);
        received.reset();
        if (message.kind == CallerMessageKind::Terminate) {
            break;
        }
        if (!this->started) {
            open = co_await this->start(message, refused);
            this->busy = false;
            continue;
        }
        const std::string request = message.statement.id;
        const bool mayRefuse = this->isSingleRead(message.statement);
        CallerReply reply = this->errorReply(CallerError::Malformed);
        if (refused) {
            reply = this->deny(CallerError::Overloaded, StatementKind::Malformed);
        } else if (message.kind == CallerMessageKind::Statement) {
            reply = co_await this->answer(std::move(message.statement));
        }
        budget.setTransaction(*this,
                              this->transaction
                                  ? std::optional<core::Duration>(this->transaction->context.transactionIdleTimeout)
                                  : std::nullopt);
        this->chargeRows(reply, mayRefuse);
        this->logRefusal(request, reply);
        std::string text = this->context->protocol->encode(reply);
        reply = {};
        budget.hold(*this, this->input.held() + text.capacity());
        open = co_await this->write(std::move(text));
        this->busy = false;
    }
    this->endTransaction();
    this->close();
}

net::awaitable<std::optional<CallerSession::Received>> CallerSession::readLine()
{
    limits::CallerBudget &budget = this->context->budget;
    while (true) {
        const net::LineDecoder::Step step = this->input.find();
        if (step == net::LineDecoder::Step::Line) {
            Received received;
            const std::size_t cost = this->input.held() + this->servingCost(this->input.lineBytes());
            bool held = budget.tryHold(*this, cost);
            if (!held) {
                held = co_await this->awaitMemory(cost);
            }
            received.refused = !held;
            if (!this->socket.is_open()) {
                co_return std::nullopt;
            }
            if (received.refused) {
                this->input.drop();
            } else {
                this->input.next(received.line);
            }
            this->input.shrink(IdleBufferBytes);
            budget.enter(*this, limits::CallerPhase::Serving);
            co_return received;
        }
        if (step == net::LineDecoder::Step::TooLong) {
            co_await this->refuseLongMessage();
            co_return std::nullopt;
        }
        const limits::CallerPhase phase = !this->started ? limits::CallerPhase::Starting
            : this->input.empty()                        ? limits::CallerPhase::Idle
                                                         : limits::CallerPhase::Receiving;
        if (this->input.empty()) {
            this->input.shrink(IdleBufferBytes);
        }
        const std::size_t needed = this->input.needed();
        bool held = budget.tryHold(*this, needed);
        if (!held) {
            held = co_await this->awaitMemory(needed);
        }
        if (!held) {
            co_return std::nullopt;
        }
        budget.enter(*this, phase);
        const std::span<char> space = this->input.prepare();
        auto [error, length]
            = co_await this->socket.async_read_some(asio::buffer(space.data(), space.size()), UseTuple);
        if (error) {
            co_return std::nullopt;
        }
        this->input.commit(length);
        budget.move(*this, length);
    }
}

net::awaitable<void> CallerSession::refuseLongMessage()
{
    const CallerProtocol &protocol = *this->context->protocol;
    this->input.clear();
    this->context->budget.hold(*this, 0);
    std::string text = this->started ? protocol.encode(this->errorReply(CallerError::Malformed))
                                     : protocol.encodeRefusedStart(CallerError::Malformed);
    co_await this->write(std::move(text));
    boost::system::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    asio::steady_timer limit(this->context->executor, LongMessageLinger);
    limit.async_wait([self = this->weak_from_this()](const boost::system::error_code &error) {
        const std::shared_ptr<CallerSession> session = error ? nullptr : self.lock();
        if (session != nullptr) {
            session->close();
        }
    });
    std::array<char, DiscardBytes> discarded; // NOLINT(cppcoreguidelines-pro-type-member-init)
    bool open = true;
    while (open) {
        auto [error, length] = co_await this->socket.async_read_some(asio::buffer(discarded), UseTuple);
        open = !error;
    }
}

net::awaitable<bool> CallerSession::write(std::string text)
{
    limits::CallerBudget &budget = this->context->budget;
    budget.enter(*this, limits::CallerPhase::Sending);
    std::size_t sent = 0;
    while (sent < text.size()) {
        auto [error, length]
            = co_await this->socket.async_write_some(asio::buffer(text.data() + sent, text.size() - sent), UseTuple);
        if (error) {
            co_return false;
        }
        sent += length;
        budget.move(*this, length);
    }
    co_return true;
}

net::awaitable<bool> CallerSession::start(const CallerMessage &message, bool isRefused)
{
    std::optional<CallerError> refused;
    co_await this->awaitConfiguration();
    if (isRefused) {
        refused = CallerError::Overloaded;
    } else if (message.kind != CallerMessageKind::Start) {
        refused = CallerError::Malformed;
    } else if (this->context->view->configuration == nullptr) {
        refused = CallerError::Overloaded;
    } else {
        this->database = message.start.database;
        this->key = message.start.key;
        OperationContext access;
        refused = this->checkAccess(access);
    }
    if (refused) {
        std::string text = this->context->protocol->encodeRefusedStart(*refused);
        co_await this->write(std::move(text));
        co_return false;
    }
    this->started = true;
    std::string text = this->context->protocol->encodeStarted();
    co_return co_await this->write(std::move(text));
}

net::awaitable<void> CallerSession::awaitConfiguration()
{
    const core::TimePoint deadline = this->receivedAt + ConfigurationTimeout;
    while (this->context->view->configuration == nullptr && core::Clock::now() < deadline) {
        asio::steady_timer pause(this->context->executor, ConfigurationPollInterval);
        co_await pause.async_wait(UseTuple);
    }
}

std::optional<std::string_view> CallerSession::workspaceOn(const Route &route) const
{
    const auto &workspaces = this->context->view->configuration->workspaceByKey;
    const auto found = workspaces.find(this->key);
    if (found != workspaces.end()) {
        return found->second;
    }
    return route.isOpen ? std::optional(OpenWorkspace) : std::nullopt;
}

std::optional<CallerError> CallerSession::accessError() const
{
    const Route *const route
        = this->transaction ? &this->transaction->context.route : this->context->view->route(this->database);
    if (route == nullptr) {
        return CallerError::UnknownDatabase;
    }
    const std::optional<std::string_view> workspace = this->workspaceOn(*route);
    if (!workspace) {
        return CallerError::UnknownKey;
    }
    if (this->transaction && *workspace != this->transaction->context.workspace) {
        return CallerError::Aborted;
    }
    return std::nullopt;
}

std::optional<CallerError> CallerSession::checkAccess(OperationContext &access) const
{
    const GatewayView &view = *this->context->view;
    const Route *const route = view.route(this->database);
    if (route == nullptr) {
        return CallerError::UnknownDatabase;
    }
    const std::optional<std::string_view> workspace = this->workspaceOn(*route);
    if (!workspace) {
        return CallerError::UnknownKey;
    }
    access.database = this->database;
    access.workspace = *workspace;
    access.route = *route;
    const auto entry = view.configuration->workspaces.find(access.workspace);
    access.regions = {route->allowedRegions,
                      entry == view.configuration->workspaces.end() ? std::span<const std::string>()
                                                                    : entry->second.allowedRegions};
    access.transactionIdleTimeout = view.configuration->transactionIdleTimeout;
    return std::nullopt;
}

CallerSession::Handler CallerSession::handlerOf(StatementKind kind)
{
    struct Row
    {
        StatementKind kind;
        Handler handler;
    };
    static constexpr std::array Table{
        Row{StatementKind::Begin, &CallerSession::begin},
        Row{StatementKind::BeginReadOnly, &CallerSession::begin},
        Row{StatementKind::Commit, &CallerSession::commit},
        Row{StatementKind::Rollback, &CallerSession::rollback},
        Row{StatementKind::Read, &CallerSession::runStatement},
        Row{StatementKind::Write, &CallerSession::runStatement},
        Row{StatementKind::Execute, &CallerSession::runStatement},
        Row{StatementKind::SetValue, &CallerSession::setValue},
        Row{StatementKind::Prepare, &CallerSession::prepare},
        Row{StatementKind::Deallocate, &CallerSession::deallocate},
    };
    for (const Row &row : Table) {
        if (row.kind == kind) {
            return row.handler;
        }
    }
    return &CallerSession::refuse;
}

net::awaitable<CallerReply> CallerSession::answer(Statement statement)
{
    const bool ends = statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
    const bool failed = this->transaction && this->transaction->failed;
    if (failed && !ends) {
        co_return this->errorReply(CallerError::Malformed);
    }
    // Statements of every kind pass here, so none runs for a key that was withdrawn since the session or its
    // transaction began. Ending a transaction without a commit needs no access.
    const bool needsAccess = !failed && statement.kind != StatementKind::Rollback;
    if (const std::optional<CallerError> error = needsAccess ? this->accessError() : std::nullopt) {
        co_return this->deny(*error, statement.kind);
    }
    const Handler handler = handlerOf(statement.kind);
    co_return co_await (this->*handler)(std::move(statement));
}

net::awaitable<std::optional<CallerError>> CallerSession::admit(OperationContext &operation)
{
    const std::optional<CallerError> refused = this->checkAccess(operation);
    if (refused) {
        co_return refused;
    }
    const std::shared_ptr<const Configuration> checked = this->context->view->configuration;
    if (!checked->workspaces.contains(operation.workspace)) {
        co_return std::nullopt;
    }
    const std::string charged = operation.workspace;
    const core::TimePoint waitUntil = this->receivedAt + longestRateWait(operation.route.latencyObjective);
    const core::PriorityRank rank = core::priorityRank(operation.route.priority);
    if (!co_await this->context->rates->acquire(charged, waitUntil, rank)) {
        if (this->context->metrics != nullptr) {
            this->context->metrics->rateRefusals(rank).add();
        }
        co_return CallerError::OverRate;
    }
    if (this->context->view->configuration == checked) {
        co_return std::nullopt;
    }
    // The key may have been withdrawn, or moved to another workspace, during the wait.
    const std::optional<CallerError> withdrawn = this->checkAccess(operation);
    if (!withdrawn && operation.workspace == charged) {
        co_return std::nullopt;
    }
    this->context->rates->returnOperation(charged);
    co_return withdrawn.value_or(CallerError::Overloaded);
}

void CallerSession::returnUnusedRate(const std::string &workspace, const StatementOutcome &outcome)
{
    if (!outcome.mayHaveRun) {
        this->context->rates->returnOperation(workspace);
    }
}

net::awaitable<CallerReply> CallerSession::runStatement(Statement statement)
{
    bool writes = statement.kind == StatementKind::Write;
    WorkUnit unit{.id = std::move(statement.id), .text = std::move(statement.text)};
    if (statement.kind == StatementKind::Execute) {
        const auto shape = this->prepared.find(statement.name);
        if (shape == this->prepared.end()) {
            co_return this->errorReply(CallerError::Malformed);
        }
        unit.prepared = shape->second;
        writes = shape->second.writes;
    }
    if (this->transaction) {
        co_return co_await this->runInTransaction(std::move(unit));
    }
    co_return co_await this->runSingle(std::move(unit), writes);
}

net::awaitable<CallerReply> CallerSession::runSingle(WorkUnit unit, bool writes)
{
    OperationContext operation;
    const std::optional<CallerError> refused = co_await this->admit(operation);
    if (refused) {
        co_return this->errorReply(*refused);
    }
    operation.values = &this->values;
    operation.sessionPosition = this->position;
    operation.startedAt = this->receivedAt;
    unit.kind = writes ? UnitKind::Write : UnitKind::ReplicaRead;
    const std::string workspace = operation.workspace;
    StatementOutcome outcome = co_await this->context->runner->run(std::move(operation), std::move(unit), !writes);
    this->returnUnusedRate(workspace, outcome);
    if (writes && outcome.result.outcome == UnitOutcome::Done) {
        this->position = session::laterOf(this->position, outcome.result.position);
    }
    co_return this->reply(std::move(outcome.result), writes);
}

net::awaitable<CallerReply> CallerSession::setValue(Statement statement)
{
    const auto found = this->values.find(statement.name);
    const std::size_t replaced = found == this->values.end() ? 0 : keptBytesOf(found->first, found->second);
    if (!this->keep(keptBytesOf(statement.name, statement.value), replaced)) {
        co_return this->errorReply(CallerError::Overloaded);
    }
    this->values.insert_or_assign(std::move(statement.name), std::move(statement.value));
    co_return this->proxyReply();
}

net::awaitable<CallerReply> CallerSession::prepare(Statement statement)
{
    const auto found = this->prepared.find(statement.name);
    const std::size_t replaced = found == this->prepared.end() ? 0 : keptBytesOf(found->first, found->second.shape);
    if (!this->keep(keptBytesOf(statement.name, statement.shape.shape), replaced)) {
        co_return this->errorReply(CallerError::Overloaded);
    }
    this->prepared.insert_or_assign(std::move(statement.name), std::move(statement.shape));
    co_return this->proxyReply();
}

net::awaitable<CallerReply> CallerSession::deallocate(Statement statement)
{
    const auto found = this->prepared.find(statement.name);
    if (found == this->prepared.end()) {
        co_return this->errorReply(CallerError::Malformed);
    }
    this->context->budget.dropKept(*this, keptBytesOf(found->first, found->second.shape));
    this->prepared.erase(found);
    co_return this->proxyReply();
}

net::awaitable<CallerReply> CallerSession::refuse(Statement)
{
    co_return this->errorReply(CallerError::Malformed);
}

SessionState CallerSession::state() const
{
    if (!this->transaction) {
        return SessionState::Idle;
    }
    return this->transaction->failed ? SessionState::TransactionFailed : SessionState::InTransaction;
}

CallerReply CallerSession::proxyReply() const
{
    return {.state = this->state()};
}

CallerReply CallerSession::errorReply(CallerError error) const
{
    return {.error = error, .state = this->state()};
}

CallerReply CallerSession::reply(UnitResult result, bool writes)
{
    CallerReply answer{.rows = std::move(result.rows),
                       .signature = std::move(result.signature),
                       .state = this->state(),
                       .position = result.position};
    switch (result.outcome) {
    case UnitOutcome::Done:
        return answer;
    case UnitOutcome::ServerError:
        answer.error = CallerError::StatementFailed;
        answer.errorText = result.errorText;
        break;
    case UnitOutcome::Unknown:
        answer.error = result.error == UnitError::NoAnswer ? CallerError::TimedOut : CallerError::InDoubt;
        break;
    case UnitOutcome::NotRun:
        if (result.error == UnitError::NoAllowedServer) {
            answer.error = CallerError::NoAllowedServer;
            break;
        }
        answer.error = !writes && result.error == UnitError::NoAnswer ? CallerError::TimedOut : CallerError::Overloaded;
        break;
    }
    return answer;
}

void CallerSession::logRefusal(const std::string &request, const CallerReply &answered) const
{
    if (!answered.error || this->context->log == nullptr) {
        return;
    }
    const std::uint64_t version
        = this->context->view->configuration == nullptr ? 0 : this->context->view->configuration->version;
    OperationContext access;
    const std::optional<CallerError> denied = this->checkAccess(access);
    this->context->log->line("statement_refused", telemetry::LogLevel::Warning)
        .field("request", request)
        .field("database", this->database)
        .field("workspace", denied ? std::string_view("-") : std::string_view(access.workspace))
        .field("rate_tokens", denied ? 0 : this->context->rates->limiter().tokens(access.workspace, core::Clock::now()))
        .field("rate_share", denied ? 0 : this->context->rates->limiter().share(access.workspace))
        .field("error", static_cast<int>(*answered.error))
        .field("detail", answered.errorText)
        .field("configuration_version", version)
        .field("elapsed_ms", core::toMilliseconds(core::Clock::now() - this->receivedAt));
}

bool CallerSession::isIdle() const
{
    return !this->busy && !this->transaction;
}

bool CallerSession::inTransaction() const
{
    return this->transaction.has_value();
}

void CallerSession::closeWhenIdle()
{
    this->closing = true;
    boost::system::error_code error;
    const bool hasInput = !this->input.empty() || this->socket.available(error) > 0;
    if (this->isIdle() && !hasInput) {
        this->close();
    }
}

void CallerSession::abortTransaction()
{
    this->closing = true;
    if (this->transaction) {
        this->transaction->aborted = true;
    }
    if (!this->busy) {
        this->close();
    }
}

void CallerSession::close()
{
    if (this->memoryWait != nullptr) {
        this->memoryGranted = false;
        this->memoryWait->cancel();
    }
    boost::system::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
}

}
