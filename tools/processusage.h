#pragma once

#include <sys/types.h>

namespace endiveshore::tools {

/// Resources that a process has used, from the kernel's process table.
struct ProcessUsage
{
    double cpuSeconds = 0; ///< User and system time of all threads.
    double residentMegabytes = 0;
    int threads = 0;
};

/// Zeros if the process does not exist.
ProcessUsage processUsage(pid_t process);

}
