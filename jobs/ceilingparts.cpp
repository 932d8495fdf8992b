#include "jobs/ceilingparts.h"

#include "sequoiapier/boundedjson.h"
#include "sequoiapier/maxminshare.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace sequoiapier::jobs {

namespace {

using nlohmann::json;

// A pool's claim on the ceiling while the parts are divided.
struct Claim
{
    std::string pool;
    CeilingNeed need;
    std::int64_t least = 0; // The pool gets no less.
    std::int64_t most = 0; // The pool can't use more.
    std::int64_t share = 0;
};

// Grants the pools a part for one more task each, the longest waiting first. Parts of lasting tasks
// are never given back, so that a task that does not fit beside them holds up no other pool.
void grantLeast(std::vector<Claim> &claims)
{
    std::stable_sort(claims.begin(), claims.end(), [](const Claim &a, const Claim &b) {
        const auto rank = [](const Claim &claim) {
            return std::pair(claim.need.waitingSince == 0, claim.need.waitingSince);
        };
        return rank(a) < rank(b);
    });
    std::int64_t left = WholeCeiling;
    for (const Claim &claim : claims)
        left -= claim.need.lasting;
    for (Claim &claim : claims) {
        claim.least = claim.need.lasting;
        claim.most = claim.need.needed;
        if (claim.need.least == 0)
            continue;
        const std::int64_t added = claim.need.least - claim.need.lasting;
        const bool isGranted = added <= left;
        left -= isGranted ? added : 0;
        claim.least = isGranted ? claim.need.least : claim.need.lasting;
        claim.most = isGranted ? std::max(claim.need.needed, claim.least) : claim.least;
    }
}

// Divides the ceiling by max-min shares, but gives no pool less than its claim's least.
void shareNeeds(std::vector<Claim> &claims)
{
    std::vector<Claim *> open(claims.size());
    std::transform(claims.begin(), claims.end(), open.begin(), [](Claim &claim) { return &claim; });
    std::int64_t left = WholeCeiling;
    for (bool isSettled = false; !isSettled;) {
        std::vector<ShareDemand> demands(open.size());
        std::transform(open.begin(), open.end(), demands.begin(),
                       [](const Claim *claim) { return ShareDemand{.wanted = claim->most}; });
        const std::vector<std::int64_t> shares = maxMinShare(left, demands);
        for (std::size_t i = 0; i < open.size(); ++i)
            open[i]->share = shares[i];
        const auto fixed = std::partition(open.begin(), open.end(), [](const Claim *claim) {
            return claim->share >= claim->least;
        });
        isSettled = fixed == open.end();
        for (auto next = fixed; next != open.end(); ++next) {
            (*next)->share = (*next)->least;
            left = std::max<std::int64_t>(left - (*next)->least, 0);
        }
        open.erase(fixed, open.end());
    }
}

// Divides what no pool needs now by what the pools want.
void shareRest(std::vector<Claim> &claims)
{
    std::int64_t left = WholeCeiling;
    std::vector<ShareDemand> demands;
    for (const Claim &claim : claims) {
        left -= claim.share;
        demands.push_back({.wanted = claim.need.wanted - claim.share});
    }
    const std::vector<std::int64_t> shares = maxMinShare(std::max<std::int64_t>(left, 0), demands);
    for (std::size_t i = 0; i < claims.size(); ++i)
        claims[i].share += shares[i];
}

std::int64_t shareOf(const CeilingParts &parts, const std::string &pool)
{
    std::vector<Claim> claims;
    for (const auto &[name, part] : parts.pools)
        claims.push_back({.pool = name, .need = part.need});
    grantLeast(claims);
    shareNeeds(claims);
    shareRest(claims);
    return std::find_if(claims.begin(), claims.end(),
                        [&](const Claim &claim) { return claim.pool == pool; })
        ->share;
}

std::int64_t numberAt(const json &row, std::size_t index, std::int64_t fallback)
{
    return index < row.size() ? row.at(index).get<std::int64_t>() : fallback;
}

CeilingNeed bounded(const CeilingNeed &need)
{
    const auto clamp
        = [](std::int64_t amount) { return std::clamp<std::int64_t>(amount, 0, WholeCeiling); };
    return {.wanted = clamp(need.wanted),
            .needed = clamp(need.needed),
            .least = need.least <= WholeCeiling ? clamp(need.least) : 0,
            .lasting = clamp(need.lasting),
            .waitingSince = need.waitingSince};
}

} // namespace

std::optional<CeilingParts> adjusted(const CeilingParts &parts, const std::string &pool,
                                     std::uint64_t epoch, const CeilingNeed &need,
                                     std::int64_t inUse)
{
    CeilingParts next = parts;
    CeilingPart &own = next.pools[pool];
    if (own.epoch > epoch)
        return std::nullopt;
    own.epoch = epoch;
    own.need = bounded(need);
    std::int64_t left = WholeCeiling;
    for (const auto &[name, part] : parts.pools) {
        if (name != pool)
            left -= part.part;
    }
    std::int64_t part
        = std::clamp<std::int64_t>(shareOf(next, pool), 0, std::max<std::int64_t>(left, 0));
    if (part < own.need.least)
        part = 0; // No task more would start with it.
    // The part covers what is in use until that has ended.
    const std::int64_t held = std::min(own.part, std::max<std::int64_t>(inUse, 0));
    own.part = std::max(part, std::min(held, std::max<std::int64_t>(left, 0)));
    return next;
}

std::int64_t limitOf(const CeilingParts &parts, const std::string &pool)
{
    return parts.pools.contains(pool) ? std::min(parts.of(pool), shareOf(parts, pool)) : 0;
}

bool isWorthWriting(const CeilingPart &old, const CeilingPart &next)
{
    constexpr std::int64_t Step = 100; // Thousandths; smaller changes of a need are not told.
    const auto isFar = [](std::int64_t a, std::int64_t b) { return a > b + Step || b > a + Step; };
    return old.part != next.part || old.epoch != next.epoch || old.isShort() != next.isShort()
        || old.need.least != next.need.least || old.need.waitingSince != next.need.waitingSince
        || old.need.lasting != next.need.lasting || isFar(old.need.needed, next.need.needed)
        || isFar(old.need.wanted, next.need.wanted);
}

std::string encodeCeilingParts(const CeilingParts &parts)
{
    json document = json::object();
    for (const auto &[pool, part] : parts.pools) {
        const CeilingNeed &need = part.need;
        document[pool] = json::array({part.epoch, part.part, need.wanted, need.needed, need.least,
                                      need.lasting, need.waitingSince});
    }
    return document.dump();
}

// Rows of earlier versions of this program end after `wanted`.
Result<CeilingParts> parseCeilingParts(std::string_view bytes)
{
    const json document = parseJson(bytes);
    if (!document.is_object())
        return Error{ResultCode::RowMalformed, "malformed parts of a ceiling"};
    CeilingParts parts;
    try {
        for (const auto &[pool, row] : document.items()) {
            const auto wanted = row.at(2).get<std::int64_t>();
            parts.pools[pool] = {.epoch = row.at(0).get<std::uint64_t>(),
                                 .part = row.at(1).get<std::int64_t>(),
                                 .need = {.wanted = wanted,
                                          .needed = numberAt(row, 3, wanted),
                                          .least = numberAt(row, 4, 0),
                                          .lasting = numberAt(row, 5, 0),
                                          .waitingSince = numberAt(row, 6, 0)}};
        }
    } catch (const json::exception &exception) {
        return Error{ResultCode::RowMalformed, exception.what()};
    }
    return parts;
}

} // namespace sequoiapier::jobs
