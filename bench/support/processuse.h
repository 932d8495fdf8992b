// What a running process has used, from /proc.
#pragma once

#include <sys/types.h>

namespace sequoiapier {

struct ProcessUse
{
    double processorSeconds = 0; // in user and system mode
    double residentMegabytes = 0;
};

ProcessUse processUse(pid_t pid);

} // namespace sequoiapier
