// WaveRow: the declaration of a maintenance wave by an operator, and its state.
//
//   Result<WaveRow> paused = pauseWave(row); // commit it by compare-and-set
//
// The progress of each host is in its host row, so that a wave of any size is one small row.
#pragma once

#include "sequoiapier/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

enum class WaveState : std::uint8_t {
    Running,
    Paused, // by an operator
    Stopped, // automatically; stopReason gives the reason
    Cancelled, // draining hosts return, hosts under maintenance complete it
    Finished,
};

// The reaction to a host that has not drained by its deadline.
enum class OverduePolicy : std::uint8_t {
    Skip, // the host returns to its pool and is reported
    Stop, // the wave stops and the host continues to drain
};

struct WaveRow
{
    std::string id;
    std::vector<std::string> pools; // all hosts of these pools belong to the wave
    std::vector<std::string> hosts; // further hosts of the wave
    WaveState state = WaveState::Running;
    std::string stopReason;
    std::int64_t startedAt = 0; // Unix time in seconds
    std::int64_t deadline = 0; // Unix time in seconds, 0 for none; lateness is only reported
    std::int64_t period = 0; // seconds; each host is maintained once per period, or once if 0
    std::int64_t drainTimeout = 600; // seconds from the start of draining to its deadline
    std::uint32_t maxOut = 1; // hosts of this wave out of service at once, without lost ones
    OverduePolicy overduePolicy = OverduePolicy::Skip;
    bool resumesAfterRepair = false; // once no domain of the wave is failed any more
    std::vector<std::string> skipped; // hosts that did not drain in time

    // Maximum number of skipped hosts; one more stops the wave.
    static constexpr std::size_t MaxSkipped = 256;

    bool operator==(const WaveRow &) const = default;
};

inline constexpr std::string_view WaveKeyPrefix = "wave/";

std::string waveKey(std::string_view id);
// The name of `state` as stored in the row.
std::string toString(WaveState state);
bool isEnded(const WaveRow &row);

// Fails with RowMalformed unless `document` is a consistent wave row.
Result<WaveRow> parseWaveRow(std::string_view document);

std::string toJson(const WaveRow &row);

// Changes by operators. They fail with ChangeInvalid in a state that does not allow them.
Result<WaveRow> pauseWave(const WaveRow &row);
// Resumes a paused or stopped wave.
Result<WaveRow> resumeWave(const WaveRow &row);
Result<WaveRow> cancelWave(const WaveRow &row);

} // namespace sequoiapier
