// Any text either is refused as RowMalformed or is a list of events that survives a round trip.
#include "cli/eventjson.h"
#include "testing/fuzz/fuzzing.h"

using namespace sequoiapier;

void sequoiapier::fuzzOne(std::string_view input)
{
    const Result<std::vector<Event>> parsed = parseJsonLines(input);
    if (!parsed) {
        require(parsed.error().code == ResultCode::RowMalformed, "a refusal is RowMalformed");
        return;
    }
    const std::string written = toJsonLines({parsed.value().begin(), parsed.value().end()});
    const Result<std::vector<Event>> again = parseJsonLines(written);
    require(bool(again), "written events parse");
    require(again.value().size() == parsed.value().size(), "no event is lost");
    require(toJsonLines({again.value().begin(), again.value().end()}) == written,
            "writing and parsing reach a fixpoint");
}
