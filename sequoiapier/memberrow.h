// MemberRow: the table row `members/<name>` of one process of the system.
//
//   Result<MemberRow> row = parseMemberRow(tableRow);
//   MemberRegistration next = registerMember(self, existingRow); // by compare-and-set
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
    std::string name; // unique among processes
    std::string role; // "gateway", "scheduler", "controller"
    std::string zone;
    std::string address; // IP number
    std::uint16_t port = 0; // for peers
    std::uint64_t incarnation = 0; // grows with every start under this name
    std::uint64_t rowVersion = 0;
};

// RowMalformed if the row is no member.
Result<MemberRow> parseMemberRow(const TableRow &row);

// The write that registers `self` over `existing`, with the incarnation that follows the recorded
// one. A conflict means that another process registers under the same name: read again.
struct MemberRegistration
{
    std::uint64_t incarnation = 0;
    RowWrite write;
};
MemberRegistration registerMember(MemberRow self, const std::optional<TableRow> &existing);

} // namespace sequoiapier
