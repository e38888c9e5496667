#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace endiveshore::tools {

/// Process of a program that a test, demo or measurement starts. The destructor kills the process by its process id.
class ChildProcess
{
public:
    /// Starts @p program with @p arguments. Appends standard output and error to @p logFile. The child gets the
    /// environment variables of this process and the entries NAME=VALUE of @p environment. Throws std::system_error if
    /// the program cannot be started.
    ChildProcess(std::string program,
                 std::vector<std::string> arguments,
                 std::string logFile,
                 std::vector<std::string> environment = {});
    ~ChildProcess();
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;

    /// Sends @p signal to the process; does nothing if the process has exited.
    void sendSignal(int signal);

    /// Waits until the process exits. Returns its exit code, which is 128 + the signal number if a signal ended the
    /// process, or std::nullopt after @p timeout.
    std::optional<int> waitForExit(std::chrono::milliseconds timeout);

    /// Kills the process with SIGKILL and starts the same command again.
    void restart();

    bool isRunning();
    pid_t processId() const;

private:
    void start();
    void killAndWait();

    std::string program;
    std::vector<std::string> arguments;
    std::string logFile;
    std::vector<std::string> environment;
    pid_t pid = -1;
    std::optional<int> exitCode;
};

}
