// The entry point that libFuzzer calls for each input.
#include "testing/fuzz/fuzzing.h"

#include <cstddef>
#include <cstdint>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer requires this name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    sequoiapier::fuzzOne({reinterpret_cast<const char *>(data), size});
    return 0;
}
