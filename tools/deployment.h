#pragma once

#include "tools/childprocess.h"

#include <boost/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace endiveshore::tools {

/// Options of a Deployment. The defaults match the present size of one organisation's deployment. The times are
/// simulated by the stand-ins.
struct DeploymentOptions
{
    std::string binaryDirectory;
    std::string workDirectory; ///< Directory for logs and service documents.
    int basePort = 30'000; ///< First of 500 consecutive ports; deployment.cpp has the layout.
    int daemons = 7;
    int databases = 3;
    std::string service = "rota-db";
    int slots = 5;
    int connectionLimit = 30;
    int connectMs = 10;
    int statementMs = 2;
    int replicationDelayMs = 5;
    int applyDelayMs = 20;
    bool joinThroughVmList = false; ///< Daemons find each other through the VM list, without seeds.
    std::vector<std::string> daemonFlags; ///< Additional command line flags of each daemon.
    boost::json::array workspaces; ///< Replaces the 8 default workspaces if not empty.
};

/// Runs a deployment on loopback addresses: the store, the VM list, 3 backend servers per database, a fault proxy in
/// front of the backend servers and the store, and the daemons. Each program is a process of its own. The destructor
/// kills all of them.
class Deployment
{
public:
    explicit Deployment(DeploymentOptions options);

    /// Starts all processes. Accepts the service document and grants one key per workspace through the operator
    /// command. Throws std::runtime_error if a step fails.
    void start();

    /// Service document that start() passes to the operator command.
    boost::json::object serviceDocument() const;

    /// Runs the operator command and returns its exit code, or -1 if the command does not exit within 30 s. @p output
    /// receives standard output and error.
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

    /// Sets the faults of the connections to one backend server, for example {"cut":"both"}.
    void setServerFault(std::size_t database, std::size_t server, boost::json::object fault);

    /// Sets the faults of the connections from one daemon to the store.
    void setStoreFault(std::size_t daemon, boost::json::object fault);

    /// Returns the status of one daemon (GET /admin/status). Throws core::Error if the daemon does not respond.
    boost::json::object daemonStatus(std::size_t daemon) const;

    /// Polls @p condition until it is true. Returns false after @p timeout.
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
