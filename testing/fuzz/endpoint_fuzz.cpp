// Any text either is refused or parses as a list of endpoints that each survive a round trip.
#include "net/endpoint.h"
#include "testing/fuzz/fuzzing.h"

using namespace sequoiapier;

void sequoiapier::fuzzOne(std::string_view input)
{
    const Result<std::vector<Endpoint>> parsed = parseEndpoints(input);
    if (!parsed)
        return;
    for (const Endpoint &endpoint : parsed.value()) {
        const Result<Endpoint> reparsed = parseEndpoint(toString(endpoint));
        require(bool(reparsed), "a serialized endpoint can be parsed");
        require(reparsed.value() == endpoint, "an endpoint survives a round trip");
    }
}
