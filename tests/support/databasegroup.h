#pragma once

#include "tests/support/childprocess.h"
#include "tests/support/portguard.h"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace endiveshore::tests {

/// Three stand-in database servers s1, s2 and s3 behind one fault proxy, which has one route per server. Clients and
/// the other servers connect to a server through the proxy. Uses the loopback ports base..base+3, base+11..13 and
/// base+20.
class DatabaseGroup
{
public:
    explicit DatabaseGroup(int basePort, std::vector<std::string> serverArguments = {})
        : guard(basePort)
        , basePort(basePort)
    {
        std::vector<std::string> proxyArguments{"--control", this->controlAddress()};
        for (int index = 0; index < Size; ++index) {
            proxyArguments.push_back("--route");
            proxyArguments.push_back(this->address(index) + "=" + this->directAddress(index));
        }
        this->proxy = std::make_unique<ChildProcess>("faultproxy", proxyArguments);
        for (int index = 0; index < Size; ++index) {
            std::vector<std::string> arguments{
                "--id", id(index), "--database", "rota", "--primary", id(0), "--listen", this->directAddress(index)};
            std::string peers;
            for (int other = 0; other < Size; ++other) {
                if (other != index) {
                    peers += (peers.empty() ? "" : ",") + id(other) + "=" + this->address(other);
                }
            }
            arguments.insert(arguments.end(), {"--peers", peers, "--journal", this->journalFile(index)});
            arguments.insert(arguments.end(), serverArguments.begin(), serverArguments.end());
            std::filesystem::remove(this->journalFile(index));
            this->arguments.push_back(arguments);
            this->servers.push_back(std::make_unique<ChildProcess>("standin-database", arguments));
        }
    }

    ~DatabaseGroup()
    {
        this->servers.clear();
        for (int index = 0; index < Size; ++index) {
            std::filesystem::remove(this->journalFile(index));
        }
    }

    static constexpr int Size = 3;

    static std::string id(int index)
    {
        return "s" + std::to_string(index + 1);
    }

    /// Address of a server behind the fault proxy.
    std::string address(int index) const
    {
        return "127.0.0.1:" + std::to_string(this->basePort + 11 + index);
    }

    std::string directAddress(int index) const
    {
        return "127.0.0.1:" + std::to_string(this->basePort + 1 + index);
    }

    std::string controlAddress() const
    {
        return "127.0.0.1:" + std::to_string(this->basePort + 20);
    }

    ChildProcess &server(int index)
    {
        return *this->servers[static_cast<std::size_t>(index)];
    }

    /// Kills a server if it still runs, and starts it again with the log and the terms that it had.
    void restart(int index)
    {
        const auto place = static_cast<std::size_t>(index);
        this->servers[place]->kill();
        this->servers[place] = std::make_unique<ChildProcess>("standin-database", this->arguments[place]);
    }

private:
    std::string journalFile(int index) const
    {
        const std::string name
            = "database-" + std::to_string(::getpid()) + "-" + std::to_string(this->basePort) + "-" + id(index);
        return (std::filesystem::temp_directory_path() / name).string();
    }

    PortGuard guard;
    int basePort;
    std::vector<std::vector<std::string>> arguments;
    std::unique_ptr<ChildProcess> proxy;
    std::vector<std::unique_ptr<ChildProcess>> servers;
};

}
