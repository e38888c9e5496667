#include "daemon/daemondetail.h"

#include <chrono>

#include <sys/resource.h>

namespace endiveshore::daemon {

std::string endpointText(const net::TcpEndpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

std::uint64_t startIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<core::Milliseconds>(now).count());
}

double threadCpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_THREAD, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

bool isLive(const membership::Member &member)
{
    return member.state == membership::MemberState::Alive || member.state == membership::MemberState::Suspect;
}

}
