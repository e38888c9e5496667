#include "daemon/callerfrontend.h"

#include "core/json.h"

#include <array>

namespace endiveshore::daemon {

namespace {

constexpr std::string_view SessionHeader = "Endiveshore-Session";
constexpr std::string_view BearerPrefix = "Bearer ";

net::HttpResponse errorAnswer(const core::Error &error)
{
    return net::errorResponse(error.code, error.outcome, error.message);
}

}

CallerFrontend::CallerFrontend(CallerFrontendOptions options,
                               CallerFrontendCallbacks callbacks,
                               StatementRouter &router)
    : options(std::move(options))
    , callbacks(std::move(callbacks))
    , router(router)
{
}

std::span<const CallerFrontend::Path> CallerFrontend::paths()
{
    static constexpr std::array PathTable{
        Path{"POST", "/v1/statements", &CallerFrontend::runStatement},
        Path{"POST", "/v1/transactions", &CallerFrontend::beginTransaction},
        Path{"POST", "/v1/transactions/commit", &CallerFrontend::commitTransaction},
        Path{"POST", "/v1/transactions/rollback", &CallerFrontend::rollbackTransaction},
        Path{"GET", "/health/live", &CallerFrontend::liveness},
        Path{"GET", "/health/ready", &CallerFrontend::readiness},
    };
    return PathTable;
}

net::awaitable<net::HttpResponse> CallerFrontend::handle(net::HttpRequest request)
{
    for (const Path &path : paths()) {
        if (path.method != request.method || path.target != request.target) {
            continue;
        }
        try {
            co_return co_await (this->*path.handler)(std::move(request));
        } catch (const core::Error &error) {
            this->callbacks.finished({.code = error.code, .outcome = error.outcome});
            co_return errorAnswer(error);
        }
    }
    co_return net::errorResponse(core::ResultCode::UnknownPath, core::Outcome::NotRun, "unknown path or method");
}

net::awaitable<net::HttpResponse> CallerFrontend::runStatement(net::HttpRequest request)
{
    Context context = this->resolve(request, true);
    if (!context.request.statement.is_object()) {
        throw core::Error(core::ResultCode::MalformedRequest, "statement must be an object");
    }
    co_await this->callbacks.admit(context.request.service, context.statement.workspace, context.request.deadline);
    // The key may have been withdrawn while the request waited for a rate token.
    this->authorize(request, *this->callbacks.view(), *context.statement.service, context.statement.route->open);
    AdmittedStatement statement = context.statement;
    const StatementAnswer answer = co_await this->router.run(std::move(statement));
    this->callbacks.finished(
        {.read = context.statement.route->kind == document::RouteKind::Read, .fromReplica = answer.role == "replica"});
    co_return this->success(context, answer);
}

net::awaitable<net::HttpResponse> CallerFrontend::beginTransaction(net::HttpRequest request)
{
    const Context context = this->resolve(request, true);
    if (context.statement.route->kind != document::RouteKind::Write) {
        throw core::Error(core::ResultCode::UnknownRoute, "a transaction needs a write route");
    }
    co_await this->callbacks.admit(context.request.service, context.statement.workspace, context.request.deadline);
    StatementCall call;
    call.service = context.request.service;
    call.database = context.request.database;
    call.workspace = context.statement.workspace;
    call.deadline = context.request.deadline;
    StatementCall begin = call;
    const StatementAnswer answer = co_await this->router.transact(TransactionStep::Begin, std::move(begin));
    boost::json::object body;
    body["transaction"] = answer.result;
    net::HttpResponse response = net::jsonResponse(200, body);
    call.transaction = std::string(answer.result.as_string());
    response.onUndelivered = [abandon = this->callbacks.abandonTransaction, call] { abandon(call); };
    co_return response;
}

net::awaitable<net::HttpResponse> CallerFrontend::commitTransaction(net::HttpRequest request)
{
    co_return co_await this->endTransaction(std::move(request), TransactionStep::Commit);
}

net::awaitable<net::HttpResponse> CallerFrontend::rollbackTransaction(net::HttpRequest request)
{
    co_return co_await this->endTransaction(std::move(request), TransactionStep::Rollback);
}

net::awaitable<net::HttpResponse> CallerFrontend::endTransaction(net::HttpRequest request, TransactionStep step)
{
    Context context = this->resolve(request, false);
    StatementCall call;
    call.service = context.request.service;
    call.database = context.request.database;
    call.workspace = context.statement.workspace;
    call.transaction = context.request.transaction;
    call.requestId = context.request.requestId;
    call.deadline = context.request.deadline;
    const StatementAnswer answer = co_await this->router.transact(step, std::move(call));
    this->callbacks.finished({});
    co_return this->success(context, answer);
}

net::awaitable<net::HttpResponse> CallerFrontend::liveness(net::HttpRequest)
{
    boost::json::object body;
    body["status"] = "live";
    co_return net::jsonResponse(200, body);
}

net::awaitable<net::HttpResponse> CallerFrontend::readiness(net::HttpRequest)
{
    const std::shared_ptr<const FleetView> view = this->callbacks.view();
    if (this->callbacks.isDraining()) {
        co_return net::errorResponse(
            core::ResultCode::Leaving, core::Outcome::NotRun, "the daemon is draining before a stop");
    }
    if (!view->ready) {
        co_return net::errorResponse(
            core::ResultCode::NotReady, core::Outcome::NotRun, "no configuration snapshot is loaded");
    }
    if (view->isolated) {
        co_return net::errorResponse(core::ResultCode::Isolated,
                                     core::Outcome::NotRun,
                                     "neither the store nor a majority of the members was reached in time");
    }
    boost::json::object body;
    body["status"] = "ready";
    co_return net::jsonResponse(200, body);
}

CallerFrontend::Context CallerFrontend::resolve(const net::HttpRequest &request, bool needsRoute) const
{
    Context context;
    context.view = this->callbacks.view();
    if (!context.view->ready) {
        throw core::Error(core::ResultCode::NotReady, "no configuration snapshot is loaded");
    }
    context.request = core::valueOrThrow([&request] { return parseCallerRequest(request.body, core::Clock::now()); });
    const std::string_view tokenText = net::headerValue(request.headers, SessionHeader);
    context.token = core::valueOrThrow(
        [this, tokenText] { return session::SessionToken::parse(tokenText, this->options.sessionSecrets); });
    AdmittedStatement &statement = context.statement;
    const auto service = context.view->catalogue->services.find(context.request.service);
    if (service == context.view->catalogue->services.end()) {
        throw core::Error(core::ResultCode::UnknownService, "unknown service");
    }
    statement.service = service->second;
    if (needsRoute) {
        statement.route = statement.service->findRoute(context.request.route);
        if (statement.route == nullptr) {
            throw core::Error(core::ResultCode::UnknownRoute, "unknown route");
        }
    }
    const bool openRoute = needsRoute && statement.route->open;
    statement.workspace = this->authorize(request, *context.view, *statement.service, openRoute);
    statement.database = statement.service->findDatabase(context.request.database);
    if (statement.database == nullptr) {
        throw core::Error(core::ResultCode::UnknownDatabase, "unknown database");
    }
    statement.requestId = context.request.requestId;
    statement.transaction = context.request.transaction;
    statement.deadline = context.request.deadline;
    statement.statement = context.request.statement;
    statement.required = context.token.position(groupKey(context.request.service, context.request.database));
    return context;
}

std::string CallerFrontend::authorize(const net::HttpRequest &request,
                                      const FleetView &view,
                                      const document::ServiceDocument &service,
                                      bool openRoute) const
{
    const std::string_view authorization = net::headerValue(request.headers, "Authorization");
    if (authorization.empty()) {
        if (!openRoute) {
            throw core::Error(core::ResultCode::KeyMissing, "the route needs a workspace key");
        }
        return std::string(document::OpenWorkspaceName);
    }
    if (!authorization.starts_with(BearerPrefix)) {
        throw core::Error(core::ResultCode::KeyRejected, "the authorization scheme must be Bearer");
    }
    if (view.isolated) {
        throw core::Error(core::ResultCode::Isolated,
                          "the daemon is isolated and cannot check whether the key is still granted");
    }
    const access::KeyGrant *grant = view.catalogue->keys->find(authorization.substr(BearerPrefix.size()));
    if (grant == nullptr || grant->service != service.service || service.findWorkspace(grant->workspace) == nullptr) {
        throw core::Error(core::ResultCode::KeyRejected, "the key is not granted for this service");
    }
    return grant->workspace;
}

net::HttpResponse CallerFrontend::success(Context &context, const StatementAnswer &answer) const
{
    if (answer.sessionSafe && answer.position.position > 0) {
        context.token.advance(groupKey(context.request.service, context.request.database), answer.position);
    }
    const boost::json::object body{
        {"outcome", "done"},
        {"result", answer.result},
        {"server", answer.server},
        {"role", answer.role},
        {"term", answer.position.term},
        {"position", answer.position.position},
        {"replayed", answer.replayed},
    };
    net::HttpResponse response = net::jsonResponse(200, body);
    response.headers.emplace_back(std::string(SessionHeader),
                                  context.token.serialize(this->options.sessionSecrets.front()));
    return response;
}

}
