// Water filling on a sorted list. A demand is met at the level wanted / weight. In ascending order
// of that level, the first demand that can't be met determines the common level of all that follow:
// the units left divided by their summed weights. Each of these gets its whole units below the
// common level, and the fewer than n units that rounding leaves are distributed one by one through
// a heap. All levels are compared as exact fractions. O(n log n).
#include "sequoiapier/maxminshare.h"

#include <algorithm>
#include <numeric>
#include <queue>

namespace sequoiapier {

namespace {

using Int128 = __int128;

// The fraction units / weight of the demand at `index`.
struct Level
{
    std::int64_t units = 0;
    std::int64_t weight = 1;
    std::size_t index = 0;

    bool operator<(const Level &other) const
    {
        const Int128 left = Int128(units) * other.weight;
        const Int128 right = Int128(other.units) * weight;
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

// Distributes the `left` units that rounding left over among the demands in `unmet`.
void distributeRemainder(std::int64_t left, std::span<const Level> unmet,
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
        if (Int128(level.units) * weights > Int128(left) * level.weight)
            break;
        shares[level.index] = level.units;
        left -= level.units;
        weights -= level.weight;
    }
    const std::span<const Level> unmet = std::span(levels).subspan(met);
    std::int64_t remainder = left;
    for (const Level &level : unmet) {
        shares[level.index] = std::int64_t(Int128(left) * level.weight / weights);
        remainder -= shares[level.index];
    }
    distributeRemainder(remainder, unmet, demands, shares);
    return shares;
}

} // namespace sequoiapier
