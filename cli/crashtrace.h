// One log line with the stack of a process that is about to die by a signal of its own making, for
// those who have nothing but its output. Addresses are resolved with addr2line on the same binary.
#pragma once

namespace sequoiapier {

// For SIGSEGV, SIGBUS, SIGILL, SIGFPE and SIGABRT. The process then ends by that signal.
void installCrashTrace();

} // namespace sequoiapier
