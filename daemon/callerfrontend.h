#pragma once

#include "daemon/callerrequest.h"
#include "daemon/fleetview.h"
#include "daemon/statementrouter.h"
#include "net/httpserver.h"
#include "session/sessiontoken.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace endiveshore::daemon {

struct CallerFrontendOptions
{
    std::vector<std::string> sessionSecrets; ///< The first secret signs session tokens; all secrets verify them.
};

/// Result of one request, reported for the metrics.
struct FinishedRequest
{
    core::ResultCode code = core::ResultCode::Ok;
    core::Outcome outcome = core::Outcome::Done;
    bool read = false; ///< The request was a read and was answered.
    bool fromReplica = false;
};

/// Functions of the daemon that the caller API depends on.
struct CallerFrontendCallbacks
{
    StatementRouter::ViewSource view;
    /// Waits for one token of the workspace's rate. Throws core::Error(RateExceeded).
    std::function<net::awaitable<void>(std::string service, std::string workspace, core::TimePoint deadline)> admit;
    /// True once the daemon drains before a planned stop; the readiness check then fails.
    std::function<bool()> isDraining;
    std::function<void(const FinishedRequest &request)> finished;
    /// Rolls back the transaction of a begin that could not be answered.
    std::function<void(StatementCall call)> abandonTransaction;
};

/// Caller API of one traffic thread: checks the workspace key, resolves the names, applies the rate, routes the
/// statement and returns the answer with a session token. Paths are registered in a table.
class CallerFrontend
{
public:
    CallerFrontend(CallerFrontendOptions options, CallerFrontendCallbacks callbacks, StatementRouter &router);

    /// Handler for net::HttpServer.
    net::awaitable<net::HttpResponse> handle(net::HttpRequest request);

private:
    using Handler = net::awaitable<net::HttpResponse> (CallerFrontend::*)(net::HttpRequest request);
    struct Path
    {
        std::string_view method;
        std::string_view target;
        Handler handler;
    };
    static std::span<const Path> paths();

    /// A parsed request and the objects to which its names resolve.
    struct Context
    {
        std::shared_ptr<const FleetView> view;
        CallerRequest request;
        session::SessionToken token;
        AdmittedStatement statement;
    };

    net::awaitable<net::HttpResponse> runStatement(net::HttpRequest request);
    net::awaitable<net::HttpResponse> beginTransaction(net::HttpRequest request);
    net::awaitable<net::HttpResponse> commitTransaction(net::HttpRequest request);
    net::awaitable<net::HttpResponse> rollbackTransaction(net::HttpRequest request);
    net::awaitable<net::HttpResponse> endTransaction(net::HttpRequest request, TransactionStep step);
    net::awaitable<net::HttpResponse> liveness(net::HttpRequest request);
    net::awaitable<net::HttpResponse> readiness(net::HttpRequest request);

    Context resolve(const net::HttpRequest &request, bool needsRoute) const;
    std::string authorize(const net::HttpRequest &request,
                          const FleetView &view,
                          const document::ServiceDocument &service,
                          bool openRoute) const;
    net::HttpResponse success(Context &context, const StatementAnswer &answer) const;

    CallerFrontendOptions options;
    CallerFrontendCallbacks callbacks;
    StatementRouter &router;
};

}
