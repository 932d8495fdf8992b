// Water filling on a sorted list. A demand is met at the level wanted / weight. Going through the
// demands by that level, the first one that can't be met fixes the common level of all that follow:
// the units left over their summed weights. Each of these gets the whole units below the level, and
// the less than n units that rounding leaves go out one by one through a heap. All levels are
// compared as exact fractions. O(n log n).
#include "sequoiapier/maxminshare.h"

#include <algorithm>
#include <numeric>
#include <queue>

namespace sequoiapier {

namespace {

using Wide = __int128;

// units / weight
struct Level
{
    std::int64_t units = 0;
    std::int64_t weight = 1;
    std::size_t index = 0;

    bool operator<(const Level &other) const
    {
        const Wide left = Wide(units) * other.weight;
        const Wide right = Wide(other.units) * weight;
        return left != right ? left < right : index < other.index;
    }
};

std::vector<Level> sortedLevels(std::span<const ShareDemand> demands)
{
    std::vector<Level> levels;
    levels.reserve(demands.size());
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const std::int64_t wanted = std::max<std::int64_t>(0, demands[i].wanted);
        levels.push_back({wanted, std::max<std::int64_t>(1, demands[i].weight), i});
    }
    std::sort(levels.begin(), levels.end());
    return levels;
}

// Gives the `left` units that rounding left over to the demands in `unmet`.
void shareRemainder(std::int64_t left, std::span<const Level> unmet,
                    std::span<const ShareDemand> demands, std::vector<std::int64_t> &shares)
{
    const auto isLater = [](const Level &a, const Level &b) { return b < a; };
    std::priority_queue<Level, std::vector<Level>, decltype(isLater)> next(isLater);
    for (const Level &level : unmet)
        next.push({shares[level.index] + 1, level.weight, level.index});
    while (left > 0 && !next.empty()) {
        Level level = next.top();
        next.pop();
        if (level.units > demands[level.index].wanted)
            continue;
        --left;
        shares[level.index] = level.units++;
        next.push(level);
    }
}

} // namespace

std::vector<std::int64_t> maxMinShare(std::int64_t capacity, std::span<const ShareDemand> demands)
{
    std::vector<std::int64_t> shares(demands.size(), 0);
    const std::vector<Level> levels = sortedLevels(demands);
    std::int64_t left = std::max<std::int64_t>(0, capacity);
    std::int64_t weights = 0;
    for (const Level &level : levels)
        weights += level.weight;
    std::size_t met = 0;
    for (; met < levels.size(); ++met) {
        const Level &level = levels[met];
        if (Wide(level.units) * weights > Wide(left) * level.weight)
            break;
        shares[level.index] = level.units;
        left -= level.units;
        weights -= level.weight;
    }
    const std::span<const Level> unmet = std::span(levels).subspan(met);
    std::int64_t remainder = left;
    for (const Level &level : unmet) {
        shares[level.index] = std::int64_t(Wide(left) * level.weight / weights);
        remainder -= shares[level.index];
    }
    shareRemainder(remainder, unmet, demands, shares);
    return shares;
}

} // namespace sequoiapier
