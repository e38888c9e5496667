#pragma once

#include <csignal>
#include <string>
#include <sys/types.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace endiveshore::tests {

/// Child process that runs a program of this repository. Started with fork and exec, and killed by its id on
/// destruction.
class ChildProcess
{
public:
    ChildProcess(std::string program, std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), std::string(ENDIVESHORE_BIN_DIR) + "/" + program);
        std::vector<char *> pointers;
        for (std::string &argument : arguments) {
            pointers.push_back(argument.data());
        }
        pointers.push_back(nullptr);
        this->pid = ::fork();
        if (this->pid == 0) {
            ::execv(pointers[0], pointers.data());
            ::_exit(127);
        }
    }

    ChildProcess(ChildProcess &&other) noexcept
        : pid(std::exchange(other.pid, -1))
    {
    }

    ChildProcess &operator=(ChildProcess &&) = delete;

    ~ChildProcess()
    {
        this->kill();
    }

    /// Kills the process, even if it is paused, and waits for its end.
    void kill()
    {
        if (this->pid > 0) {
            ::kill(this->pid, SIGCONT);
            ::kill(this->pid, SIGKILL);
            ::waitpid(this->pid, nullptr, 0);
            this->pid = -1;
        }
    }

    void pause() const
    {
        ::kill(this->pid, SIGSTOP);
    }

    void resume() const
    {
        ::kill(this->pid, SIGCONT);
    }

private:
    pid_t pid = -1;
};

}
