// Resources: amounts of processors, memory and accelerators that a host has or a job needs.
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

    bool fitsInto(const Resources &available) const
    {
        return processors <= available.processors && memory <= available.memory
            && accelerators <= available.accelerators;
    }
    bool operator==(const Resources &) const = default;
};

// The largest fraction of any resource in `total` that `use` takes; a resource of which there is
// none counts as 0.
inline double dominantShare(const Resources &use, const Resources &total)
{
    const auto fraction
        = [](double amount, double whole) { return whole > 0 ? amount / whole : 0; };
    return std::max({fraction(use.processors, total.processors), fraction(use.memory, total.memory),
                     fraction(use.accelerators, total.accelerators)});
}

inline constexpr double MaxAmount = 1e6; // upper bound for each resource, above that of any host

// Whether each amount is between 0 and MaxAmount. Sums of such amounts are exact enough.
inline bool isPlausible(const Resources &amount)
{
    const auto isInRange = [](double value) { return value >= 0 && value <= MaxAmount; };
    return isInRange(amount.processors) && isInRange(amount.memory)
        && isInRange(amount.accelerators);
}

} // namespace sequoiapier
