#pragma once

#include "tools/childprocess.h"

#include <boost/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace endiveshore::tools {

/// One organisation's deployment as sized today. Times are for the stand-ins.
struct DeploymentOptions
{
    std::string binaryDirectory;
    std::string workDirectory; ///< Logs and documents are written here.
    int basePort = 30'000; ///< 200 ports from here on are used.
    int daemons = 7;
    int databases = 3;
    std::string service = "rota-db";
    int slots = 5;
    int connectionLimit = 30;
    int connectMs = 10;
    int statementMs = 2;
    int replicationDelayMs = 5;
    int applyDelayMs = 20;
    bool joinThroughVmList = false; ///< The daemons get no seeds and find each other in the VM list.
    std::vector<std::string> daemonFlags; ///< Added to each daemon's command line.
    boost::json::array workspaces; ///< Replaces the default 8 workspaces if not empty.
};

/// Starts the store, the VM list, 3 servers per database, a fault proxy in front of the servers and the store, and the
/// daemons, each as its own process on loopback addresses. Everything ends with the object.
class Deployment
{
public:
    explicit Deployment(DeploymentOptions options);

    /// Starts all processes, accepts the service document and grants one key per workspace with the operator command.
    /// Throws std::runtime_error with the reason if a step fails.
    void start();

    /// The document that start() accepts.
    boost::json::object serviceDocument() const;

    /// Runs the operator command and returns its exit code; @p output receives standard output and error.
    int runOperator(std::vector<std::string> arguments, std::string *output = nullptr);

    const std::string &workDirectory() const;
    const std::string &key(std::size_t workspace) const;
    std::vector<std::string> workspaceNames() const;

    int callerPort(std::size_t daemon) const;
    int adminPort(std::size_t daemon) const;
    int databasePort(std::size_t database, std::size_t server) const;
    int storePort() const;
    int vmListPort() const;
    std::string databaseName(std::size_t database) const;
    std::string serverName(std::size_t database, std::size_t server) const;
    std::string daemonName(std::size_t daemon) const;
    static const std::string &dataCentre(std::size_t index);

    ChildProcess &daemon(std::size_t index);
    ChildProcess &server(std::size_t database, std::size_t index);
    ChildProcess &store();
    std::size_t daemonCount() const;

    /// Applies fault settings to the connections towards one backend server, for example {"cut":"both"}.
    void setServerFault(std::size_t database, std::size_t server, boost::json::object fault);
    /// Applies fault settings to the connections from one daemon to the store.
    void setStoreFault(std::size_t daemon, boost::json::object fault);
    /// Status of one daemon (GET /admin/status); throws core::Error if it does not answer.
    boost::json::object daemonStatus(std::size_t daemon) const;

    /// Polls @p condition until it holds; false after @p timeout.
    static bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout);

private:
    void startPlatform();
    void startServers();
    void startFaultProxy();
    void startDaemons();
    void registerDaemonVms();
    void configure();
    ChildProcess launch(const std::string &program, const std::string &name, std::vector<std::string> arguments);
    std::size_t routeOfServer(std::size_t database, std::size_t server) const;
    std::size_t routeOfStore(std::size_t daemon) const;
    void controlProxy(std::size_t route, boost::json::object fault);

    DeploymentOptions options;
    std::vector<ChildProcess> platform;
    std::vector<ChildProcess> servers;
    std::vector<ChildProcess> proxies;
    std::vector<ChildProcess> daemons;
    std::vector<std::string> keys;
};

}
