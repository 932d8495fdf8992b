#include "controller/operationrecord.h"

#include "sequoiapier/boundedjson.h"

#include <nlohmann/json.hpp>

namespace sequoiapier {

Commit recordCommit(std::string_view operationId, const OperationRecord &record)
{
    return {.writeId = "operator/" + std::string(operationId),
            .writes = {{.key = operationKey(operationId), .value = toJson(record)}}};
}

std::string operationKey(std::string_view operationId)
{
    return "operations/" + std::string(operationId);
}

std::string toJson(const OperationRecord &record)
{
    return nlohmann::json{{"code", int(record.code)},
                          {"baseVersion", record.baseVersion},
                          {"documentDigest", record.documentDigest},
                          {"version", record.version},
                          {"detail", record.detail}}
        .dump();
}

Result<OperationRecord> parseOperationRecord(std::string_view text)
{
    const auto json = parseJson(text);
    if (!json.is_object())
        return Error{ResultCode::RowMalformed, "the operation's record is not a JSON object"};
    try {
        return OperationRecord{.code = ResultCode(json.at("code").get<int>()),
                               .baseVersion = json.at("baseVersion"),
                               .documentDigest = json.at("documentDigest"),
                               .version = json.at("version"),
                               .detail = json.value("detail", "")};
    } catch (const nlohmann::json::exception &exception) {
        return Error{ResultCode::RowMalformed, exception.what()};
    }
}

} // namespace sequoiapier
