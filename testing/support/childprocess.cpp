#include "testing/support/childprocess.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <thread>
#include <utility>

namespace sequoiapier {

namespace {

std::vector<char *> toPointers(std::vector<std::string> &strings)
{
    std::vector<char *> pointers;
    pointers.reserve(strings.size() + 1);
    for (std::string &string : strings)
        pointers.push_back(string.data());
    pointers.push_back(nullptr);
    return pointers;
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &arguments, const std::string &logFile,
                           const std::vector<std::string> &environment)
{
    std::vector<std::string> args = arguments;
    std::vector<std::string> variables = environment;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&m_pid, arguments.front().c_str(), &actions, nullptr, toPointers(args).data(),
                    toPointers(variables).data())
        != 0) {
        m_pid = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
{ }

ChildProcess::~ChildProcess()
{
    if (m_pid <= 0)
        return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

void ChildProcess::signal(int number) const
{
    if (m_pid > 0)
        kill(m_pid, number);
}

std::optional<int> ChildProcess::waitExit(std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (m_pid > 0) {
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        }
        if (std::chrono::steady_clock::now() >= deadline)
            break;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return std::nullopt;
}

} // namespace sequoiapier
