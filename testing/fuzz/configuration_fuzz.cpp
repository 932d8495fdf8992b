// Any text either is refused as RowMalformed or is a configuration that survives a round trip.
#include "sequoiapier/configuration.h"
#include "testing/fuzz/fuzzing.h"

using namespace sequoiapier;

void sequoiapier::fuzzOne(std::string_view input)
{
    constexpr std::uint64_t Version = 7;
    const Result<Configuration> parsed = parseConfiguration(input, Version);
    if (!parsed) {
        require(parsed.error().code == ResultCode::RowMalformed, "a refusal is RowMalformed");
        return;
    }
    const std::string written = toJson(parsed.value());
    const Result<Configuration> again = parseConfiguration(written, Version);
    require(bool(again), "a written configuration parses");
    require(toJson(again.value()) == written, "writing and parsing reach a fixpoint");
    require(again.value().version == Version, "the version is that of the row");
}
