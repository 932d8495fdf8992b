// What the fuzz targets share. A target defines fuzzOne(), which parses the input as it would come
// from outside, and ends the run through require() when a property fails.
#pragma once

#include <cstdlib>
#include <iostream>
#include <string_view>

namespace sequoiapier {

// Parses one input and checks the target's properties.
void fuzzOne(std::string_view input);

// Ends the run, with the input saved by the fuzzer, if the property does not hold.
inline void require(bool holds, std::string_view property)
{
    if (holds)
        return;
    std::cerr << "property failed: " << property << std::endl;
    std::abort();
}

} // namespace sequoiapier
