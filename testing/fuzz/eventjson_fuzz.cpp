// Any text either is refused as RowMalformed or parses as events that survive a round trip.
#include "cli/eventjson.h"
#include "testing/fuzz/fuzzing.h"

using namespace sequoiapier;

void sequoiapier::fuzzOne(std::string_view input)
{
    const Result<std::vector<Event>> parsed = parseJsonLines(input);
    if (!parsed) {
        require(parsed.error().code == ResultCode::RowMalformed,
                "a refused text has the code RowMalformed");
        return;
    }
    const std::string serialized = toJsonLines({parsed.value().begin(), parsed.value().end()});
    const Result<std::vector<Event>> reparsed = parseJsonLines(serialized);
    require(bool(reparsed), "serialized events can be parsed");
    require(reparsed.value().size() == parsed.value().size(), "no event is lost");
    require(toJsonLines({reparsed.value().begin(), reparsed.value().end()}) == serialized,
            "events survive a round trip");
}
