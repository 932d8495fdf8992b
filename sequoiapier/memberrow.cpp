#include "sequoiapier/memberrow.h"

#include "sequoiapier/boundedjson.h"

#include <nlohmann/json.hpp>

namespace sequoiapier {

Result<MemberRow> parseMemberRow(const TableRow &row)
{
    const auto json = parseJson(row.value);
    if (!json.is_object())
        return Error{ResultCode::RowMalformed, row.key + " is not a JSON object"};
    try {
        MemberRow member{.name = json.at("name"),
                         .role = json.at("role"),
                         .zone = json.at("zone"),
                         .address = json.at("address"),
                         .port = json.at("port"),
                         .incarnation = json.at("incarnation"),
                         .rowVersion = row.version};
        if (row.key != std::string(MemberPrefix) + member.name)
            return Error{ResultCode::RowMalformed, row.key + " has the member name " + member.name};
        return member;
    } catch (const nlohmann::json::exception &exception) {
        return Error{ResultCode::RowMalformed, row.key + ": " + exception.what()};
    }
}

MemberRegistration registerMember(MemberRow self, const std::optional<TableRow> &existing)
{
    self.incarnation = 1;
    if (existing) {
        // A row that can't be parsed is replaced. Its version is higher than that of any earlier
        // row, so the incarnation increases.
        const Result<MemberRow> previous = parseMemberRow(*existing);
        self.incarnation = previous ? previous.value().incarnation + 1 : existing->version + 1;
    }
    const nlohmann::json json{{"name", self.name}, {"role", self.role},
                              {"zone", self.zone}, {"address", self.address},
                              {"port", self.port}, {"incarnation", self.incarnation}};
    return {.incarnation = self.incarnation,
            .write = {.key = std::string(MemberPrefix) + self.name,
                      .value = json.dump(),
                      .baseVersion = existing ? existing->version : 0}};
}

} // namespace sequoiapier
