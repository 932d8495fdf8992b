#include "controller/waverow.h"

#include "controller/rowcodec.h"

namespace sequoiapier {

NLOHMANN_JSON_SERIALIZE_ENUM(WaveState,
                             {{WaveState::Running, "running"},
                              {WaveState::Paused, "paused"},
                              {WaveState::Stopped, "stopped"},
                              {WaveState::Cancelled, "cancelled"},
                              {WaveState::Finished, "finished"}})
NLOHMANN_JSON_SERIALIZE_ENUM(OverduePolicy,
                             {{OverduePolicy::Skip, "skip"}, {OverduePolicy::Stop, "stop"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WaveRow, id, pools, hosts, state, stopReason, startedAt,
                                   deadline, period, drainTimeout, maxOut, overduePolicy,
                                   resumesAfterRepair, skipped)

namespace {

bool isConsistent(const WaveRow &row)
{
    return !row.id.empty() && row.maxOut > 0 && row.drainTimeout > 0 && row.period >= 0
        && row.skipped.size() <= WaveRow::MaxSkipped;
}

Result<WaveRow> withState(const WaveRow &row, bool isAllowed, WaveState state)
{
    if (!isAllowed)
        return Error{ResultCode::ChangeInvalid, "wave " + row.id + " is not in a state for this"};
    WaveRow next = row;
    next.state = state;
    next.stopReason.clear();
    return next;
}

} // namespace

bool isEnded(const WaveRow &row)
{
    return row.state == WaveState::Cancelled || row.state == WaveState::Finished;
}

std::string toString(WaveState state)
{
    return nlohmann::json(state).get<std::string>();
}

std::string waveKey(std::string_view id)
{
    return std::string(WaveKeyPrefix) + std::string(id);
}

Result<WaveRow> parseWaveRow(std::string_view document)
{
    Result<WaveRow> row = detail::parseRow<WaveRow>(document, "wave row");
    if (row && !isConsistent(row.value()))
        return Error{ResultCode::RowMalformed, "wave row contradicts itself"};
    return row;
}

std::string toJson(const WaveRow &row)
{
    return nlohmann::json(row).dump();
}

Result<WaveRow> pauseWave(const WaveRow &row)
{
    return withState(row, !isEnded(row) && row.state != WaveState::Paused, WaveState::Paused);
}

Result<WaveRow> resumeWave(const WaveRow &row)
{
    return withState(row, row.state == WaveState::Paused || row.state == WaveState::Stopped,
                     WaveState::Running);
}

Result<WaveRow> cancelWave(const WaveRow &row)
{
    return withState(row, !isEnded(row), WaveState::Cancelled);
}

} // namespace sequoiapier
