// Table rows that record which member lends which resource, and which members may lend or borrow.
//
//   owning/owners/<resource>        the member that lends the resource, and the epoch
//   owning/members/<name>@<number>  a process that may lend; rewritten at every renewal
//   borrowers/<name>@<number>       a process that may borrow; written before its first loan
//
// <number> is the incarnation of the process.
#pragma once

#include "sequoiapier/memberid.h"
#include "sequoiapier/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiapier {

inline constexpr std::string_view OwningPrefix = "owning/"; // one scan reads owners and members
inline constexpr std::string_view OwnerPrefix = "owning/owners/";
inline constexpr std::string_view LenderPrefix = "owning/members/";
inline constexpr std::string_view BorrowerPrefix = "borrowers/";

struct OwnerRow
{
    MemberId owner;
    std::uint64_t epoch = 0; // incremented with every change of the owner
};

struct LenderRow
{
    std::string zone;
    std::string address; // address for loan reports, in the embedder's format
    std::uint64_t renewal = 0; // number of renewals
    bool isLeaving = false; // the member takes no more resources
    double capacity = 1; // greater than 0, in any unit common to all members
    std::uint64_t terms = 1; // number of terms for which this renewal is valid
};

std::string ownerKey(std::string_view resource);
std::string lenderKey(const MemberId &member);
std::string borrowerKey(const MemberId &member);

std::string toJson(const OwnerRow &row);
std::string toJson(const LenderRow &row);

// The parsers fail with RowMalformed if `value` is not a valid row of their kind.
Result<OwnerRow> parseOwnerRow(std::string_view value);
Result<LenderRow> parseLenderRow(std::string_view value);
// Parses a key of the form "<prefix><name>@<number>". Fails with RowMalformed if it has another
// form.
Result<MemberId> parseMemberKey(std::string_view key, std::string_view prefix);

} // namespace sequoiapier
