// Declarations shared by the fuzz targets. Each target defines fuzzOne(), which parses the input as
// untrusted external data and checks its properties with require().
#pragma once

#include <cstdlib>
#include <iostream>
#include <string_view>

namespace sequoiapier {

// Parses one input and checks the target's properties.
void fuzzOne(std::string_view input);

// Aborts the run if the property does not hold. The fuzzer then saves the input.
inline void require(bool holds, std::string_view property)
{
    if (holds)
        return;
    std::cerr << "property failed: " << property << std::endl;
    std::abort();
}

} // namespace sequoiapier
