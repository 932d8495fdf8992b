#include "cli/crashtrace.h"

#include <execinfo.h>
#include <link.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <string_view>

namespace sequoiapier {

namespace {

constexpr std::size_t MaxFrames = 32;
constexpr std::size_t MaxLineBytes = 4096;
constexpr std::size_t MaxObjects = 64;
constexpr int Hexadecimal = 16;

// Line of at most MaxLineBytes, built without heap allocation, which a signal handler must avoid.
class Line
{
public:
    void append(std::string_view text)
    {
        const std::size_t count = std::min(text.size(), m_bytes.size() - m_size);
        std::copy_n(text.begin(), count, m_bytes.begin() + std::ptrdiff_t(m_size));
        m_size += count;
    }

    void append(std::uintptr_t number, int base)
    {
        std::array<char, 2 * sizeof number + 4> digits{};
        const auto end = std::to_chars(digits.begin(), digits.end(), number, base).ptr;
        append({digits.begin(), std::size_t(end - digits.begin())});
    }

    void write() const
    {
        [[maybe_unused]] const ssize_t written = ::write(STDOUT_FILENO, m_bytes.data(), m_size);
    }

private:
    std::array<char, MaxLineBytes> m_bytes{};
    std::size_t m_size = 0;
};

// The program or a shared library, with the range of addresses at which it is loaded.
struct LoadedObject
{
    std::uintptr_t base = 0;
    std::uintptr_t end = 0;
    std::string_view name; // empty for the program itself
};

std::array<LoadedObject, MaxObjects> loadedObjects;
std::size_t loadedCount = 0;

// Callback of dl_iterate_phdr. The names are not copied: the loader keeps them while the object is
// loaded.
int recordObject(dl_phdr_info *info, std::size_t /*size*/, void * /*unused*/)
{
    if (loadedCount == loadedObjects.size())
        return 1;
    LoadedObject object{.base = info->dlpi_addr, .name = info->dlpi_name};
    object.name = object.name.substr(object.name.rfind('/') + 1);
    for (int i = 0; i < info->dlpi_phnum; ++i) {
        if (info->dlpi_phdr[i].p_type == PT_LOAD) {
            object.end = std::max(
                object.end, object.base + info->dlpi_phdr[i].p_vaddr + info->dlpi_phdr[i].p_memsz);
        }
    }
    loadedObjects[loadedCount++] = object;
    return 0;
}

// Appends the address as NAME+OFFSET, which is the same in every run of a build.
void appendFrame(Line &line, std::uintptr_t address)
{
    for (std::size_t i = 0; i < loadedCount; ++i) {
        const LoadedObject &object = loadedObjects[i];
        if (address < object.base || address >= object.end)
            continue;
        line.append(object.name.empty() ? "program" : object.name);
        line.append("+");
        address -= object.base;
        break;
    }
    line.append("0x");
    line.append(address, Hexadecimal);
}

void reportCrash(int signal)
{
    std::array<void *, MaxFrames> frames{};
    const int count = backtrace(frames.data(), int(frames.size()));
    Line line;
    line.append(R"({"level":"error","event":"process.crashed","signal":")");
    line.append(std::uintptr_t(signal), 10);
    line.append(R"(","stack":")");
    for (int i = 0; i < count; ++i) {
        line.append(i > 0 ? " " : "");
        appendFrame(line, reinterpret_cast<std::uintptr_t>(frames[std::size_t(i)]));
    }
    line.append("\"}\n");
    line.write();
    raise(signal); // SA_RESETHAND has restored the default action, which ends the process
}

} // namespace

void installCrashTrace()
{
    std::array<void *, 1> frame{};
    backtrace(frame.data(), 1); // the first call loads libgcc, which a signal handler must not
    loadedCount = 0;
    dl_iterate_phdr(recordObject, nullptr);
    struct sigaction action = {};
    action.sa_handler = reportCrash;
    action.sa_flags = int(SA_RESETHAND | SA_NODEFER);
    for (const int signal : {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT})
        sigaction(signal, &action, nullptr);
}

} // namespace sequoiapier
