#pragma once

#include <arpa/inet.h>
#include <chrono>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace endiveshore::tests {

/// Reserves a range of loopback ports by binding one port of the range. Waits while another test process holds that
/// port, because two test runs on one host would otherwise connect to each other's programs.
class PortGuard
{
public:
    explicit PortGuard(int port)
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(200);
        while (!this->tryHold(port)) {
            if (std::chrono::steady_clock::now() > deadline) {
                throw std::runtime_error("another process still holds the test ports");
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    ~PortGuard()
    {
        ::close(this->descriptor);
    }

    PortGuard(const PortGuard &) = delete;
    PortGuard &operator=(const PortGuard &) = delete;

private:
    bool tryHold(int port)
    {
        // Child processes must not inherit the descriptor, or they would hold the port.
        this->descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<in_port_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::bind(this->descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0) {
            return true;
        }
        ::close(this->descriptor);
        this->descriptor = -1;
        return false;
    }

    int descriptor = -1;
};

}
