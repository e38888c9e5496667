#include "tools/deployment.h"

#include "core/error.h"
#include "tools/blockinghttp.h"
#include "tools/deploymentaddress.h"

#include <array>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace endiveshore::tools {

namespace json = boost::json;

namespace {

constexpr std::size_t ServersPerDatabase = 3;
constexpr int MaxDaemonCount = 100;
constexpr std::chrono::milliseconds PollInterval{10};
constexpr std::chrono::milliseconds StartTimeout{20'000};

// Port layout: offsets from the base port. The caller, admin and peer ranges hold one port per daemon.
constexpr int StoreOffset = 0;
constexpr int VmListOffset = 1;
constexpr int ProxyControlOffset = 2;
constexpr int ServerOffset = 10; ///< One port per backend server, for up to 20 servers.
constexpr int ServerRouteOffset = 40; ///< Fault proxy ports in front of the backend servers.
constexpr int StoreRouteOffset = 100; ///< Fault proxy ports in front of the store, one per daemon.
constexpr int CallerOffset = 200;
constexpr int AdminOffset = 300;
constexpr int PeerOffset = 400;

std::string loopback(int port)
{
    return std::string(DeploymentAddress) + ":" + std::to_string(port);
}

json::object defaultWorkspace(std::string_view name, double rate, double burst, double weight)
{
    return {{"name", name}, {"rate_per_s", rate}, {"burst", burst}, {"weight", weight}};
}

}

Deployment::Deployment(DeploymentOptions options)
    : options(std::move(options))
{
    if (this->options.daemons > MaxDaemonCount) {
        throw std::runtime_error("the port layout allows at most 100 daemons");
    }
    if (this->options.workspaces.empty()) {
        // Eight workspaces, three of them large.
        for (int index = 0; index < 8; ++index) {
            const bool large = index < 3;
            this->options.workspaces.push_back(defaultWorkspace(
                "workspace-" + std::to_string(index + 1), large ? 200 : 60, large ? 200 : 60, large ? 3 : 1));
        }
    }
    std::filesystem::create_directories(this->options.workDirectory);
}

void Deployment::start()
{
    this->startPlatform();
    this->startServers();
    this->startFaultProxy();
    const auto waitForResponse = [](int port, std::string_view target) {
        return waitUntil(
            [port, target] {
                try {
                    getJson(port, target);
                    return true;
                } catch (const std::exception &) {
                    return false;
                }
            },
            StartTimeout);
    };
    if (!waitForResponse(this->storePort(), "/standin/stats")) {
        throw std::runtime_error("the store did not respond to HTTP requests in time");
    }
    for (std::size_t database = 0; database < static_cast<std::size_t>(this->options.databases); ++database) {
        for (std::size_t server = 0; server < ServersPerDatabase; ++server) {
            if (!waitForResponse(this->options.basePort + ServerRouteOffset
                                     + static_cast<int>(this->routeOfServer(database, server)),
                                 "/status")) {
                throw std::runtime_error("backend server " + this->serverName(database, server)
                                         + " did not respond to HTTP requests in time");
            }
        }
    }
    this->configure();
    this->startDaemons();
    for (std::size_t daemon = 0; daemon < this->daemonCount(); ++daemon) {
        if (!waitForResponse(this->callerPort(daemon), "/health/ready")) {
            throw std::runtime_error("daemon " + this->daemonName(daemon) + " did not become ready in time");
        }
    }
}

json::object Deployment::serviceDocument() const
{
    json::array databases;
    for (std::size_t database = 0; database < static_cast<std::size_t>(this->options.databases); ++database) {
        json::array serverList;
        for (std::size_t server = 0; server < ServersPerDatabase; ++server) {
            const int port
                = this->options.basePort + ServerRouteOffset + static_cast<int>(this->routeOfServer(database, server));
            serverList.push_back(json::object{{"id", this->serverName(database, server)},
                                              {"address", loopback(port)},
                                              {"data_centre", dataCentre(server)}});
        }
        databases.push_back(json::object{{"name", this->databaseName(database)},
                                         {"servers", std::move(serverList)},
                                         {"slots", this->options.slots},
                                         {"connection_limit", this->options.connectionLimit},
                                         {"initial_primary", this->serverName(database, 0)}});
    }
    return {
        {"service", this->options.service},
        {"regions",
         json::array{json::object{{"name", "asturias"}, {"data_centres", json::array{dataCentre(0), dataCentre(1)}}},
                     json::object{{"name", "cantabria"}, {"data_centres", json::array{dataCentre(2)}}}}},
        {"databases", std::move(databases)},
        {"routes",
         json::array{json::object{{"name", "book"}, {"kind", "write"}},
                     json::object{{"name", "set-note"}, {"kind", "write"}, {"repeatable", true}},
                     json::object{{"name", "own-bookings"}, {"kind", "read"}},
                     json::object{{"name", "availability"}, {"kind", "read"}, {"max_age_ms", 1000}},
                     json::object{{"name", "exact"}, {"kind", "read"}, {"max_age_ms", 0}}}},
        {"workspaces", this->options.workspaces},
    };
}

int Deployment::runOperator(std::vector<std::string> arguments, std::string *output)
{
    const std::string log = this->options.workDirectory + "/operator.out";
    std::filesystem::remove(log);
    std::vector<std::string> commandLine{"--store", loopback(this->storePort())};
    if (!this->daemons.empty()) {
        std::string addresses;
        for (std::size_t daemon = 0; daemon < this->daemonCount(); ++daemon) {
            addresses += (daemon == 0 ? "" : ",") + loopback(this->adminPort(daemon));
        }
        commandLine.insert(commandLine.end(), {"--daemons", addresses});
    }
    commandLine.insert(commandLine.end(), arguments.begin(), arguments.end());
    ChildProcess command(this->options.binaryDirectory + "/endiveshore", commandLine, log);
    const std::optional<int> exitCode = command.waitForExit(std::chrono::seconds(30));
    if (output != nullptr) {
        std::ifstream stream(log);
        output->assign(std::istreambuf_iterator<char>(stream), {});
    }
    return exitCode.value_or(-1);
}

const std::string &Deployment::workDirectory() const
{
    return this->options.workDirectory;
}

const std::string &Deployment::key(std::size_t workspace) const
{
    return this->keys.at(workspace);
}

std::vector<std::string> Deployment::workspaceNames() const
{
    std::vector<std::string> names;
    for (const json::value &workspace : this->options.workspaces) {
        names.emplace_back(workspace.at("name").as_string().c_str());
    }
    return names;
}

int Deployment::callerPort(std::size_t daemon) const
{
    return this->options.basePort + CallerOffset + static_cast<int>(daemon);
}

int Deployment::adminPort(std::size_t daemon) const
{
    return this->options.basePort + AdminOffset + static_cast<int>(daemon);
}

int Deployment::databasePort(std::size_t database, std::size_t server) const
{
    return this->options.basePort + ServerOffset + static_cast<int>(this->routeOfServer(database, server));
}

int Deployment::storePort() const
{
    return this->options.basePort + StoreOffset;
}

int Deployment::vmListPort() const
{
    return this->options.basePort + VmListOffset;
}

std::string Deployment::databaseName(std::size_t database) const
{
    return "bookings-" + std::to_string(database + 1);
}

std::string Deployment::serverName(std::size_t database, std::size_t server) const
{
    return "bookings-" + std::to_string(database + 1) + "-" + dataCentre(server);
}

std::string Deployment::daemonName(std::size_t daemon) const
{
    return "daemon-" + std::to_string(daemon + 1);
}

const std::string &Deployment::dataCentre(std::size_t index)
{
    static const std::array<std::string, 3> names{"oviedo", "gijon", "santander"};
    return names[index % names.size()];
}

ChildProcess &Deployment::daemon(std::size_t index)
{
    return this->daemons.at(index);
}

ChildProcess &Deployment::server(std::size_t database, std::size_t index)
{
    return this->servers.at(this->routeOfServer(database, index));
}

ChildProcess &Deployment::store()
{
    return this->platform.front();
}

std::size_t Deployment::daemonCount() const
{
    return static_cast<std::size_t>(this->options.daemons);
}

void Deployment::setServerFault(std::size_t database, std::size_t server, json::object fault)
{
    this->controlProxy(this->routeOfServer(database, server), std::move(fault));
}

void Deployment::setStoreFault(std::size_t daemon, json::object fault)
{
    this->controlProxy(this->routeOfStore(daemon), std::move(fault));
}

json::object Deployment::daemonStatus(std::size_t daemon) const
{
    return getJson(this->adminPort(daemon), "/admin/status");
}

bool Deployment::waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

void Deployment::startPlatform()
{
    this->platform.push_back(this->launch("standin-store", "store", {"--listen", loopback(this->storePort())}));
    this->platform.push_back(this->launch("standin-vmlist", "vmlist", {"--listen", loopback(this->vmListPort())}));
}

void Deployment::startServers()
{
    for (std::size_t database = 0; database < static_cast<std::size_t>(this->options.databases); ++database) {
        for (std::size_t server = 0; server < ServersPerDatabase; ++server) {
            std::string peers;
            for (std::size_t peer = 0; peer < ServersPerDatabase; ++peer) {
                if (peer == server) {
                    continue;
                }
                const int port = this->options.basePort + ServerRouteOffset
                    + static_cast<int>(this->routeOfServer(database, peer));
                peers += (peers.empty() ? "" : ",") + this->serverName(database, peer) + "=" + loopback(port);
            }
            this->servers.push_back(this->launch("standin-database",
                                                 this->serverName(database, server),
                                                 {"--id",
                                                  this->serverName(database, server),
                                                  "--database",
                                                  this->databaseName(database),
                                                  "--listen",
                                                  loopback(this->databasePort(database, server)),
                                                  "--peers",
                                                  peers,
                                                  "--primary",
                                                  this->serverName(database, 0),
                                                  "--slots",
                                                  std::to_string(this->options.slots),
                                                  "--connection-limit",
                                                  std::to_string(this->options.connectionLimit),
                                                  "--connect-ms",
                                                  std::to_string(this->options.connectMs),
                                                  "--statement-ms",
                                                  std::to_string(this->options.statementMs),
                                                  "--replication-delay-ms",
                                                  std::to_string(this->options.replicationDelayMs),
                                                  "--apply-delay-ms",
                                                  std::to_string(this->options.applyDelayMs)}));
        }
    }
}

void Deployment::startFaultProxy()
{
    std::vector<std::string> arguments{"--control", loopback(this->options.basePort + ProxyControlOffset)};
    for (std::size_t server = 0; server < this->servers.size(); ++server) {
        const int port = static_cast<int>(server);
        arguments.insert(arguments.end(),
                         {"--route",
                          loopback(this->options.basePort + ServerRouteOffset + port) + "="
                              + loopback(this->options.basePort + ServerOffset + port)});
    }
    for (std::size_t daemon = 0; daemon < this->daemonCount(); ++daemon) {
        arguments.insert(arguments.end(),
                         {"--route",
                          loopback(this->options.basePort + StoreRouteOffset + static_cast<int>(daemon)) + "="
                              + loopback(this->storePort())});
    }
    this->proxies.push_back(this->launch("faultproxy", "faultproxy", std::move(arguments)));
}

void Deployment::startDaemons()
{
    if (this->options.joinThroughVmList) {
        this->registerDaemonVms();
    }
    std::string seeds;
    for (std::size_t daemon = 0; daemon < std::min<std::size_t>(this->daemonCount(), 3); ++daemon) {
        seeds += (seeds.empty() ? "" : ",") + loopback(this->options.basePort + PeerOffset + static_cast<int>(daemon));
    }
    for (std::size_t daemon = 0; daemon < this->daemonCount(); ++daemon) {
        const int index = static_cast<int>(daemon);
        std::vector<std::string> arguments{
            "--id",
            this->daemonName(daemon),
            "--data-centre",
            dataCentre(daemon),
            "--region",
            daemon % 3 == 2 ? "cantabria" : "asturias",
            "--listen",
            loopback(this->callerPort(daemon)),
            "--admin-listen",
            loopback(this->adminPort(daemon)),
            "--peer-listen",
            loopback(this->options.basePort + PeerOffset + index),
            "--store",
            loopback(this->options.basePort + StoreRouteOffset + index),
            "--vm-list",
            loopback(this->vmListPort()),
            "--session-secrets",
            "shared-secret-of-the-test-deployment",
        };
        if (!this->options.joinThroughVmList) {
            arguments.insert(arguments.end(), {"--seeds", seeds});
        }
        arguments.insert(arguments.end(), this->options.daemonFlags.begin(), this->options.daemonFlags.end());
        this->daemons.push_back(this->launch("endiveshored", this->daemonName(daemon), std::move(arguments)));
    }
}

void Deployment::registerDaemonVms()
{
    json::array vms;
    for (std::size_t daemon = 0; daemon < this->daemonCount(); ++daemon) {
        vms.push_back(
            json::object{{"id", this->daemonName(daemon)},
                         {"address", loopback(this->options.basePort + PeerOffset + static_cast<int>(daemon))},
                         {"data_centre", dataCentre(daemon)},
                         {"state", "live"},
                         {"kind", "daemon"}});
    }
    postJson(this->vmListPort(), "/standin/set", json::object{{"vms", std::move(vms)}});
}

void Deployment::configure()
{
    const std::string file = this->options.workDirectory + "/service.json";
    std::ofstream(file) << json::serialize(this->serviceDocument());
    std::string output;
    if (this->runOperator({"accept", file}, &output) != 0) {
        throw std::runtime_error("cannot accept the service document: " + output);
    }
    for (const std::string &workspace : this->workspaceNames()) {
        if (this->runOperator({"--json", "grant", this->options.service, workspace}, &output) != 0) {
            throw std::runtime_error("cannot grant a workspace key: " + output);
        }
        this->keys.emplace_back(json::parse(output).at("key").as_string().c_str());
    }
}

ChildProcess Deployment::launch(const std::string &program, const std::string &name, std::vector<std::string> arguments)
{
    return ChildProcess(this->options.binaryDirectory + "/" + program,
                        std::move(arguments),
                        this->options.workDirectory + "/" + name + ".out");
}

std::size_t Deployment::routeOfServer(std::size_t database, std::size_t server) const
{
    return database * ServersPerDatabase + server;
}

std::size_t Deployment::routeOfStore(std::size_t daemon) const
{
    return this->servers.size() + daemon;
}

void Deployment::controlProxy(std::size_t route, json::object fault)
{
    fault["route"] = route;
    postJson(this->options.basePort + ProxyControlOffset, "/control", fault);
}

}
