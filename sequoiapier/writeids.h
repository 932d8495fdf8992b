// WriteIds: identifiers for the commits of one sender, unique over all processes and restarts.
//
//   WriteIds ids("controller-1", incarnation, "wave");
//   commit.writeId = ids.next(); // "controller-1/7/wave/1"
//
// Senders in one process differ in `purpose`; a restarted process differs in its incarnation.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiapier {

class WriteIds
{
public:
    WriteIds(std::string_view process, std::uint64_t incarnation, std::string_view purpose)
        : m_prefix(std::string(process) + "/" + std::to_string(incarnation) + "/"
                   + std::string(purpose) + "/")
    { }

    std::string next() { return m_prefix + std::to_string(++m_count); }

private:
    std::string m_prefix;
    std::uint64_t m_count = 0;
};

} // namespace sequoiapier
