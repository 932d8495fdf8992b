#include "sequoiapier/ownerrow.h"

#include "sequoiapier/boundedjson.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace sequoiapier {

namespace {

using Json = nlohmann::json;

Error malformed(std::string_view what)
{
    return {ResultCode::RowMalformed, std::string(what)};
}

bool hasText(const Json &json, const char *name)
{
    return json.is_object() && json.contains(name) && json[name].is_string();
}

bool hasNumber(const Json &json, const char *name)
{
    return json.is_object() && json.contains(name) && json[name].is_number_unsigned();
}

} // namespace

std::string ownerKey(std::string_view resource)
{
    return std::string(OwnerPrefix) + std::string(resource);
}

std::string lenderKey(const MemberId &member)
{
    return std::string(LenderPrefix) + toString(member);
}

std::string borrowerKey(const MemberId &member)
{
    return std::string(BorrowerPrefix) + toString(member);
}

std::string toJson(const OwnerRow &row)
{
    const Json json{
        {"owner", row.owner.name}, {"incarnation", row.owner.incarnation}, {"epoch", row.epoch}};
    return json.dump();
}

std::string toJson(const LenderRow &row)
{
    const Json json{{"zone", row.zone},         {"address", row.address},
                    {"renewal", row.renewal},   {"leaving", row.isLeaving},
                    {"capacity", row.capacity}, {"terms", row.terms}};
    return json.dump();
}

Result<OwnerRow> parseOwnerRow(std::string_view value)
{
    const Json json = parseJson(value);
    if (!hasText(json, "owner") || !hasNumber(json, "incarnation") || !hasNumber(json, "epoch"))
        return malformed("not a valid owner row");
    return OwnerRow{{json["owner"].get<std::string>(), json["incarnation"].get<std::uint64_t>()},
                    json["epoch"].get<std::uint64_t>()};
}

Result<LenderRow> parseLenderRow(std::string_view value)
{
    const Json json = parseJson(value);
    const bool hasRequiredMembers
        = hasText(json, "zone") && hasText(json, "address") && hasNumber(json, "renewal");
    if (!hasRequiredMembers || (json.contains("leaving") && !json["leaving"].is_boolean()))
        return malformed("not a valid member row");
    const auto capacity = json.find("capacity");
    const bool hasCapacity = capacity != json.end();
    if (hasCapacity && (!capacity->is_number() || capacity->get<double>() <= 0))
        return malformed("the capacity of a member must be a positive number");
    if (json.contains("terms") && !hasNumber(json, "terms"))
        return malformed("the terms of a member must be an unsigned integer");
    return LenderRow{json["zone"].get<std::string>(),
                     json["address"].get<std::string>(),
                     json["renewal"].get<std::uint64_t>(),
                     json.value("leaving", false),
                     hasCapacity ? capacity->get<double>() : 1.0,
                     json.value("terms", std::uint64_t(1))};
}

Result<MemberId> parseMemberKey(std::string_view key, std::string_view prefix)
{
    const std::size_t at = key.rfind('@');
    if (!key.starts_with(prefix) || at == std::string_view::npos || at <= prefix.size())
        return malformed("not a valid member key");
    MemberId member{.name = std::string(key.substr(prefix.size(), at - prefix.size()))};
    const char *end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data() + at + 1, end, member.incarnation);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return malformed("not a valid member key");
    return member;
}

} // namespace sequoiapier
