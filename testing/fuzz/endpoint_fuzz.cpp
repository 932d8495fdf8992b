// Any text either is refused or is a list of endpoints, each of which survives a round trip.
#include "net/endpoint.h"
#include "testing/fuzz/fuzzing.h"

using namespace sequoiapier;

void sequoiapier::fuzzOne(std::string_view input)
{
    const Result<std::vector<Endpoint>> parsed = parseEndpoints(input);
    if (!parsed)
        return;
    for (const Endpoint &endpoint : parsed.value()) {
        const Result<Endpoint> again = parseEndpoint(toString(endpoint));
        require(bool(again), "a written endpoint parses");
        require(again.value() == endpoint, "an endpoint survives a round trip");
    }
}
