// ChildProcess: a process that a test starts. The destructor stops it by its process identifier if
// it still runs.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace sequoiapier {

class ChildProcess
{
public:
    // Runs the command `arguments` and appends its output to `logFile`. `environment` has entries
    // of the form "NAME=value".
    ChildProcess(const std::vector<std::string> &arguments, const std::string &logFile,
                 const std::vector<std::string> &environment = {});
    ~ChildProcess();
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;
    ChildProcess &operator=(ChildProcess &&) = delete;

    void signal(int number) const;
    // Waits for the process and returns its exit status, or 128 plus the number of the signal that
    // ended it. Returns nullopt if it still runs after `timeout`.
    std::optional<int> waitExit(std::chrono::milliseconds timeout);
    pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = -1;
};

} // namespace sequoiapier
