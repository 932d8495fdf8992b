// Logs the stack of a process that is about to die by a signal that it raised itself, so that a
// crash can be diagnosed from the output alone. Resolve the addresses with addr2line on the same
// binary.
#pragma once

namespace sequoiapier {

// Installs a handler for SIGSEGV, SIGBUS, SIGILL, SIGFPE and SIGABRT that writes one JSON line to
// standard output. The process then ends by that signal.
void installCrashTrace();

} // namespace sequoiapier
