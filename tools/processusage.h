#pragma once

#include <sys/types.h>

namespace endiveshore::tools {

/// Resource usage of a process, read from /proc/PID/stat.
struct ProcessUsage
{
    double cpuSeconds = 0; ///< User and system time of all threads.
    double residentMegabytes = 0;
    int threads = 0;
};

/// Resource usage of @p process; all members are zero if the process does not exist.
ProcessUsage processUsage(pid_t process);

}
