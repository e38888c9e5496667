#include "tools/childprocess.h"

#include <csignal>
#include <system_error>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace endiveshore::tools {

namespace {

constexpr std::chrono::milliseconds ExitPollInterval{2};

}

ChildProcess::ChildProcess(std::string program,
                           std::vector<std::string> arguments,
                           std::string logFile,
                           std::vector<std::string> environment)
    : program(std::move(program))
    , arguments(std::move(arguments))
    , logFile(std::move(logFile))
    , environment(std::move(environment))
{
    this->start();
}

ChildProcess::~ChildProcess()
{
    this->killAndWait();
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept
    : program(std::move(other.program))
    , arguments(std::move(other.arguments))
    , logFile(std::move(other.logFile))
    , environment(std::move(other.environment))
    , pid(std::exchange(other.pid, -1))
    , exitCode(other.exitCode)
{
}

ChildProcess &ChildProcess::operator=(ChildProcess &&other) noexcept
{
    if (this != &other) {
        this->killAndWait();
        this->program = std::move(other.program);
        this->arguments = std::move(other.arguments);
        this->logFile = std::move(other.logFile);
        this->environment = std::move(other.environment);
        this->pid = std::exchange(other.pid, -1);
        this->exitCode = other.exitCode;
    }
    return *this;
}

void ChildProcess::sendSignal(int signal)
{
    if (this->isRunning()) {
        ::kill(this->pid, signal);
    }
}

std::optional<int> ChildProcess::waitForExit(std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (this->isRunning()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(ExitPollInterval);
    }
    return this->exitCode;
}

void ChildProcess::restart()
{
    this->killAndWait();
    this->exitCode.reset();
    this->start();
}

bool ChildProcess::isRunning()
{
    if (this->pid < 0 || this->exitCode) {
        return false;
    }
    int status = 0;
    if (::waitpid(this->pid, &status, WNOHANG) != this->pid) {
        return true;
    }
    this->exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return false;
}

pid_t ChildProcess::processId() const
{
    return this->pid;
}

void ChildProcess::start()
{
    std::vector<char *> argv;
    argv.push_back(this->program.data());
    for (std::string &argument : this->arguments) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    std::vector<char *> variables;
    for (char **variable = environ; *variable != nullptr; ++variable) {
        variables.push_back(*variable);
    }
    for (std::string &variable : this->environment) {
        variables.push_back(variable.data());
    }
    variables.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, this->logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error
        = ::posix_spawn(&this->pid, this->program.c_str(), &actions, nullptr, argv.data(), variables.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        this->pid = -1;
        throw std::system_error(error, std::generic_category(), "cannot start " + this->program);
    }
}

void ChildProcess::killAndWait()
{
    if (!this->isRunning()) {
        return;
    }
    ::kill(this->pid, SIGKILL);
    int status = 0;
    ::waitpid(this->pid, &status, 0);
    this->exitCode = 128 + SIGKILL;
}

}
