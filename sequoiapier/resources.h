// Resources: amounts of processors, memory and accelerators, of a host or of a job.
#pragma once

#include <algorithm>

namespace sequoiapier {

struct Resources
{
    double processors = 0; // cores
    double memory = 0; // GB
    double accelerators = 0; // devices

    Resources &operator+=(const Resources &other)
    {
        processors += other.processors;
        memory += other.memory;
        accelerators += other.accelerators;
        return *this;
    }
    Resources &operator-=(const Resources &other) { return *this += other * -1; }
    Resources operator*(double factor) const
    {
        return {processors * factor, memory * factor, accelerators * factor};
    }

    bool fitsInto(const Resources &room) const
    {
        return processors <= room.processors && memory <= room.memory
            && accelerators <= room.accelerators;
    }
    bool operator==(const Resources &) const = default;
};

// The largest part that `use` takes of any resource of `total`.
inline double dominantShare(const Resources &use, const Resources &total)
{
    const auto part = [](double amount, double whole) { return whole > 0 ? amount / whole : 0; };
    return std::max({part(use.processors, total.processors), part(use.memory, total.memory),
                     part(use.accelerators, total.accelerators)});
}

inline constexpr double MaxAmount = 1e6; // of one resource, above that of any host

// Whether each amount is one that a host may have; sums of such amounts are exact enough.
inline bool isPlausible(const Resources &amount)
{
    const auto isInRange = [](double part) { return part >= 0 && part <= MaxAmount; };
    return isInRange(amount.processors) && isInRange(amount.memory)
        && isInRange(amount.accelerators);
}

} // namespace sequoiapier
