// WriteIds: generates write IDs for the commits of one sender. They are unique among all processes
// and restarts.
//
//   WriteIds ids("controller-1", incarnation, "wave");
//   commit.writeId = ids.next(); // "controller-1/7/wave/1"
//
// Each sender in a process uses its own `purpose`; a restarted process has a new incarnation.
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
