// MemberRow: the table row `members/<name>`, which registers one process of the system.
//
//   Result<MemberRow> row = parseMemberRow(tableRow);
//   MemberRegistration next = registerMember(self, existingRow); // commit next.write
#pragma once

#include "sequoiapier/result.h"
#include "sequoiapier/table.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sequoiapier {

inline constexpr std::string_view MemberPrefix = "members/";

struct MemberRow
{
    std::string name; // unique among the processes
    std::string role; // "gateway", "scheduler" or "controller"
    std::string zone;
    std::string address; // IP address
    std::uint16_t port = 0; // port for messages of peers
    std::uint64_t incarnation = 0; // increases with every start under this name
    std::uint64_t rowVersion = 0; // version of the table row
};

// Fails with RowMalformed if the row is not a valid member row.
Result<MemberRow> parseMemberRow(const TableRow &row);

// A compare-and-set write that registers a process, and the incarnation that it registers.
struct MemberRegistration
{
    std::uint64_t incarnation = 0;
    RowWrite write;
};
// Registers `self` in place of `existing`, with the incarnation after the recorded one. If the
// write conflicts, another process registered under the same name: the caller reads the row again.
MemberRegistration registerMember(MemberRow self, const std::optional<TableRow> &existing);

} // namespace sequoiapier
