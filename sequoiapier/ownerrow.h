// The table rows that say which member lends which resource, and which members there are.
//
//   owning/owners/<resource>        who lends the resource, under which epoch
//   owning/members/<name>@<number>  a process that may lend; rewritten at every renewal
//   borrowers/<name>@<number>       a process that may borrow; written before it first borrows
#pragma once

#include "sequoiapier/memberid.h"
#include "sequoiapier/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiapier {

inline constexpr std::string_view OwningPrefix = "owning/"; // of the next two, read in one scan
inline constexpr std::string_view OwnerPrefix = "owning/owners/";
inline constexpr std::string_view LenderPrefix = "owning/members/";
inline constexpr std::string_view BorrowerPrefix = "borrowers/";

struct OwnerRow
{
    MemberId owner;
    std::uint64_t epoch = 0; // grows by one with every change of the owner
};

struct LenderRow
{
    std::string zone;
    std::string address; // where reports are sent, as the embedder writes it
    std::uint64_t renewal = 0; // count of renewals
    bool isLeaving = false; // it takes no resource any more
    double capacity = 1; // beside the other members', in any unit common to them; above 0
    std::uint64_t terms = 1; // that this renewal lasts
};

std::string ownerKey(std::string_view resource);
std::string lenderKey(const MemberId &member);
std::string borrowerKey(const MemberId &member);

std::string toJson(const OwnerRow &row);
std::string toJson(const LenderRow &row);

// RowMalformed if `value` is not such a row.
Result<OwnerRow> parseOwnerRow(std::string_view value);
Result<LenderRow> parseLenderRow(std::string_view value);
// The member in "<prefix><name>@<number>". RowMalformed if `key` is none.
Result<MemberId> parseMemberKey(std::string_view key, std::string_view prefix);

} // namespace sequoiapier
