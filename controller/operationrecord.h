// OperationRecord: the table row `operations/<operation id>`, which holds the outcome of an
// operator's change.
//
// The record is written in the same transaction as the change, with base version 0. Of all attempts
// under one identifier, on any controller and however late, only one can take effect.
#pragma once

#include "sequoiapier/result.h"
#include "sequoiapier/table.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiapier {

struct OperationRecord
{
    ResultCode code = ResultCode::Committed; // Committed, or the reason for the refusal.
    std::uint64_t baseVersion = 0;
    std::string documentDigest; // Digest of the new document, if committed.
    // If committed: the new version, added by a second write. After a conflict: the version found.
    std::uint64_t version = 0;
    std::string detail; // Detail of a refusal.
};

std::string operationKey(std::string_view operationId);
// Returns the commit that adds the record. It conflicts if the operation already has a record.
Commit recordCommit(std::string_view operationId, const OperationRecord &record);
std::string toJson(const OperationRecord &record);
// Fails with RowMalformed if the text is not a record.
Result<OperationRecord> parseOperationRecord(std::string_view text);

} // namespace sequoiapier
