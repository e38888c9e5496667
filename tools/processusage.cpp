#include "tools/processusage.h"

#include <fstream>
#include <sstream>
#include <string>

#include <unistd.h>

namespace endiveshore::tools {

ProcessUsage processUsage(pid_t process)
{
    ProcessUsage usage;
    std::ifstream stream("/proc/" + std::to_string(process) + "/stat");
    std::string text;
    if (!std::getline(stream, text)) {
        return usage;
    }
    // The program name in parentheses is field 2 and may contain spaces, so the fields are counted from field 3 on.
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string field;
    constexpr int UserTimeField = 14;
    constexpr int SystemTimeField = 15;
    constexpr int ThreadsField = 20;
    constexpr int ResidentPagesField = 24;
    double ticks = 0;
    for (int number = 3; fields >> field && number <= ResidentPagesField; ++number) {
        if (number == UserTimeField || number == SystemTimeField) {
            ticks += std::stod(field);
        } else if (number == ThreadsField) {
            usage.threads = std::stoi(field);
        } else if (number == ResidentPagesField) {
            usage.residentMegabytes = std::stod(field) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
        }
    }
    usage.cpuSeconds = ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
    return usage;
}

}
