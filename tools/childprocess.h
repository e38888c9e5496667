#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace endiveshore::tools {

/// A program started by a test, demo or measurement. Ended by its process id when the object goes out of scope.
class ChildProcess
{
public:
    /// Starts @p program with @p arguments; standard output and error go to @p logFile. The entries NAME=VALUE of
    /// @p environment are added to the variables of this process. Throws std::system_error.
    ChildProcess(std::string program,
                 std::vector<std::string> arguments,
                 std::string logFile,
                 std::vector<std::string> environment = {});
    ~ChildProcess();
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;

    /// Sends @p signal to the process if it still runs.
    void sendSignal(int signal);

    /// Waits until the process ends and returns its exit code (128 + signal if it was ended by one), or nothing
    /// after @p timeout.
    std::optional<int> waitForExit(std::chrono::milliseconds timeout);

    /// Ends the process at once and starts the same command again.
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
