// ChildProcess: a process started by a test, stopped by its identifier at the latest on
// destruction.
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
    // Starts `words` with its output appended to `logFile`. `environment` has "NAME=value" entries.
    ChildProcess(const std::vector<std::string> &words, const std::string &logFile,
                 const std::vector<std::string> &environment = {});
    ~ChildProcess();
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;
    ChildProcess &operator=(ChildProcess &&) = delete;

    void signal(int number) const;
    // The exit status, or 128 + the signal that ended it; nullopt if it still runs at the end of
    // `patience`.
    std::optional<int> waitExit(std::chrono::milliseconds patience);
    pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = -1;
};

} // namespace sequoiapier
