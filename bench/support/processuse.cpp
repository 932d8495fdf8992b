#include "bench/support/processuse.h"

#include <unistd.h>

#include <fstream>
#include <string>

namespace sequoiapier {

ProcessUse processUse(pid_t pid)
{
    const std::string directory = "/proc/" + std::to_string(pid);
    std::ifstream stat(directory + "/stat");
    std::string field;
    double ticks = 0;
    constexpr int UserTimeField = 14; // index from 1, see proc(5); system time is next
    for (int i = 1; i <= UserTimeField + 1 && stat >> field; ++i)
        ticks += i >= UserTimeField ? std::stod(field) : 0;
    std::ifstream memory(directory + "/statm");
    double totalPages = 0;
    double residentPages = 0;
    memory >> totalPages >> residentPages;
    return {ticks / double(sysconf(_SC_CLK_TCK)),
            residentPages * double(sysconf(_SC_PAGESIZE)) / 1e6};
}

} // namespace sequoiapier
