// The digest seeds a hash of each member's name. Ties go to the name that sorts first, so that the
// order of `members` does not matter. One pass over the members: O(n).
#include "gateway/duplicatehomes.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace sequoiapier {

DuplicateHomes duplicateHomes(const RequestDigest &digest,
                              std::span<const std::string_view> members)
{
    using Scored = std::pair<std::uint64_t, std::string_view>;
    const auto isBetter = [](const Scored &a, const Scored &b) {
        return a.first != b.first ? a.first > b.first : a.second < b.second;
    };
    Scored first;
    Scored second;
    for (const std::string_view member : members) {
        const Scored scored{XXH3_64bits_withSeed(member.data(), member.size(), digest.low), member};
        if (first.second.empty() || isBetter(scored, first))
            second = std::exchange(first, scored);
        else if (second.second.empty() || isBetter(scored, second))
            second = scored;
    }
    return {.first = first.second, .second = second.second};
}

DuplicateVerdict combinedVerdict(std::span<const DuplicateVerdict> verdicts)
{
    const auto has = [&](DuplicateVerdict verdict) {
        return std::find(verdicts.begin(), verdicts.end(), verdict) != verdicts.end();
    };
    if (has(DuplicateVerdict::Seen))
        return DuplicateVerdict::Seen;
    return has(DuplicateVerdict::New) ? DuplicateVerdict::New : DuplicateVerdict::Unknown;
}

} // namespace sequoiapier
