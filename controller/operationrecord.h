// OperationRecord: the table row `operations/<operation id>` that keeps an operation's outcome.
//
// It is written in the transaction of the change itself, with base version 0: of all attempts under
// one identifier, on any controller and however late, only one can take effect.
#pragma once

#include "sequoiapier/result.h"
#include "sequoiapier/table.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiapier {

struct OperationRecord
{
    ResultCode code = ResultCode::Committed; // Committed, or why the change was refused
    std::uint64_t baseVersion = 0;
    std::string documentDigest; // of the new document, when committed
    std::uint64_t version = 0; // committed: added by a second write; conflict: the one found
    std::string detail; // of a refusal
};

std::string operationKey(std::string_view operationId);
// The commit that adds the record; it fails if the operation has one.
Commit recordCommit(std::string_view operationId, const OperationRecord &record);
std::string toJson(const OperationRecord &record);
// RowMalformed if the text is no record.
Result<OperationRecord> parseOperationRecord(std::string_view text);

} // namespace sequoiapier
