// A resource is assigned to the member whose name has the highest hash, seeded with the hash of the
// resource; on a tie, to the lexically first name. O(n).
#include "sequoiapier/rendezvous.h"

#include <xxhash.h>

#include <cstdint>

namespace sequoiapier {

std::size_t rendezvousPick(std::string_view resource, std::span<const std::string> members)
{
    const std::uint64_t seed = XXH3_64bits(resource.data(), resource.size());
    std::size_t best = members.size();
    std::uint64_t bestScore = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
        const std::string &name = members[i];
        const std::uint64_t score = XXH3_64bits_withSeed(name.data(), name.size(), seed);
        const bool isTieWon = best != members.size() && score == bestScore && name < members[best];
        if (best == members.size() || score > bestScore || isTieWon) {
            best = i;
            bestScore = score;
        }
    }
    return best;
}

} // namespace sequoiapier
