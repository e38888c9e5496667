#include "core/boottime.h"

#include <ctime>

namespace endiveshore::core {

BootTime BootClock::now()
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return BootTime(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

}
