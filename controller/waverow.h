// WaveRow: a maintenance wave as its operator declared it, and how it stands.
//
//   Result<WaveRow> paused = pauseWave(row); // commit it by compare-and-set
//
// Which hosts are done is in the host rows, not here: a wave of any size is one small row.
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
    Stopped, // by its own rules; stopReason says which
    Cancelled, // draining hosts go back, hosts under maintenance end it
    Finished,
};

// What happens when a host has not drained by its deadline.
enum class OverduePolicy : std::uint8_t {
    Skip, // the host goes back to its pool and is reported
    Stop, // the wave stops and the host goes on draining
};

struct WaveRow
{
    std::string id;
    std::vector<std::string> pools; // all hosts of these pools, and
    std::vector<std::string> hosts; // these hosts
    WaveState state = WaveState::Running;
    std::string stopReason;
    std::int64_t startedAt = 0; // Unix time in seconds
    std::int64_t deadline = 0; // Unix time in seconds; being late is reported
    std::int64_t period = 0; // seconds; 0: once, otherwise every host once in a period
    std::int64_t drainTimeout = 600; // seconds from the start of draining to its deadline
    std::uint32_t maxOut = 1; // hosts of this wave out at once, lost ones aside
    OverduePolicy overduePolicy = OverduePolicy::Skip;
    bool resumesAfterRepair = false; // when the failed domain that stopped it is back
    std::vector<std::string> skipped; // hosts that did not drain

    // Skipped hosts kept; one more stops the wave.
    static constexpr std::size_t MaxSkipped = 256;

    bool operator==(const WaveRow &) const = default;
};

inline constexpr std::string_view WaveKeyPrefix = "wave/";

std::string waveKey(std::string_view id);
// As the row writes it.
std::string toString(WaveState state);
bool isEnded(const WaveRow &row);

// RowMalformed unless `document` is a consistent wave row.
Result<WaveRow> parseWaveRow(std::string_view document);

std::string toJson(const WaveRow &row);

// The operators' changes. ChangeInvalid in a state that does not allow them.
Result<WaveRow> pauseWave(const WaveRow &row);
// Also starts a stopped wave again.
Result<WaveRow> resumeWave(const WaveRow &row);
Result<WaveRow> cancelWave(const WaveRow &row);

} // namespace sequoiapier
