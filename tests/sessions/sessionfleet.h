#pragma once

#include "linecaller.h"
#include "platform/standins/platformstandin.h"
#include "tools/childprocess.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace endiveshore::tests {

/// A stand-in of the users' platform with one database of three servers, and daemons that serve caller sessions.
class SessionFleet
{
public:
    static constexpr std::size_t Daemons = 3;
    static constexpr std::string_view Service = "ledger";
    static constexpr std::string_view PrimaryDatabase = "accounts"; ///< Its route reads at the primary.
    static constexpr std::string_view SessionDatabase = "orders"; ///< Its route reads what the session wrote.
    static constexpr std::string_view Key = "key-of-alpha";
    static constexpr std::string_view Workspace = "alpha";
    static constexpr std::chrono::milliseconds Grace{6'000}; ///< Time of a planned stop.

    SessionFleet();

    platform::standins::PlatformStandin &platform();
    tools::ChildProcess &daemon(std::size_t index);

    /// Starts all daemons and waits until they are ready.
    void start();

    bool isReady(std::size_t index) const;
    bool waitUntilReady(std::size_t index, std::chrono::milliseconds limit) const;
    LineCaller connect(std::size_t index) const;

    /// What the daemon has logged so far.
    std::string logOf(std::size_t index) const;

    /// True once the daemon has logged @p event.
    bool hasLogged(std::size_t index, std::string_view event) const;

    /// Puts text that is neither an entry nor a configuration where daemons read theirs.
    void writeMalformedEntries();

    /// Writes the next configuration, in which the workspace has @p key.
    void configure(std::string_view key);

    /// Repeats a write through @p index until it succeeds. The time it took, or @p limit.
    std::chrono::milliseconds
    timeToWrite(std::size_t index, std::string_view item, std::chrono::milliseconds limit) const;

private:
    void startDaemon(std::size_t index);
    std::string fileOf(std::size_t index, std::string_view extension) const;

    std::string directory;
    std::uint16_t port;
    std::uint64_t version = 0;
    std::unique_ptr<platform::standins::PlatformStandin> standin;
    std::vector<tools::ChildProcess> daemons;
};

}
