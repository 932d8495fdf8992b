// Any text either is refused as RowMalformed or parses as a configuration that survives a round
// trip.
#include "sequoiapier/configuration.h"
#include "testing/fuzz/fuzzing.h"

using namespace sequoiapier;

void sequoiapier::fuzzOne(std::string_view input)
{
    constexpr std::uint64_t Version = 7;
    const Result<Configuration> parsed = parseConfiguration(input, Version);
    if (!parsed) {
        require(parsed.error().code == ResultCode::RowMalformed,
                "a refused text has the code RowMalformed");
        return;
    }
    const std::string serialized = toJson(parsed.value());
    const Result<Configuration> reparsed = parseConfiguration(serialized, Version);
    require(bool(reparsed), "a serialized configuration can be parsed");
    require(toJson(reparsed.value()) == serialized, "a configuration survives a round trip");
    require(reparsed.value().version == Version, "the version is that of the row");
}
