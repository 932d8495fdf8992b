// After strict decoding, the members are checked for consistency: a target pool is set exactly
// while a move is draining, a host has no purpose exactly while it is serving, and only maintenance
// has the state Out.
#include "controller/hostrow.h"

#include "controller/rowcodec.h"

namespace sequoiapier {

NLOHMANN_JSON_SERIALIZE_ENUM(HostState,
                             {{HostState::Serving, "serving"},
                              {HostState::Draining, "draining"},
                              {HostState::Out, "out"},
                              {HostState::Joining, "joining"}})
NLOHMANN_JSON_SERIALIZE_ENUM(HostPurpose,
                             {{HostPurpose::None, "none"},
                              {HostPurpose::Move, "move"},
                              {HostPurpose::Maintenance, "maintenance"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HostRow, host, rack, zone, pool, state, purpose, epoch,
                                   targetPool, operationId, drainDeadline, maintainedAt)

namespace {

bool isConsistent(const HostRow &row)
{
    if (row.host.empty() || row.pool.empty() || row.epoch == 0)
        return false;
    if ((row.state == HostState::Serving) != (row.purpose == HostPurpose::None))
        return false;
    if (row.state == HostState::Out && row.purpose != HostPurpose::Maintenance)
        return false;
    const bool needsTarget = row.state == HostState::Draining && row.purpose == HostPurpose::Move;
    return needsTarget != row.targetPool.empty();
}

} // namespace

std::string hostKey(std::string_view host)
{
    return std::string(HostKeyPrefix) + std::string(host);
}

std::string toString(HostState state)
{
    return nlohmann::json(state).get<std::string>();
}

Result<HostRow> parseHostRow(std::string_view document)
{
    Result<HostRow> row = detail::parseRow<HostRow>(document, "host row");
    if (row && !isConsistent(row.value()))
        return Error{ResultCode::RowMalformed, "host row contradicts itself"};
    return row;
}

std::string toJson(const HostRow &row)
{
    return nlohmann::json(row).dump();
}

} // namespace sequoiapier
