// Processor time and memory of a running process, read from /proc.
#pragma once

#include <sys/types.h>

namespace sequoiapier {

struct ProcessUse
{
    double processorSeconds = 0; // user and system mode together
    double residentMegabytes = 0;
};

ProcessUse processUse(pid_t pid);

} // namespace sequoiapier
