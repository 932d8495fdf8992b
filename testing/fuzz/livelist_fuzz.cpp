// Any text either is refused or names leaving hosts. A list written from these names parses back to
// the same names.
#include "platform/livelist.h"
#include "testing/fuzz/fuzzing.h"

#include <nlohmann/json.hpp>

using namespace sequoiapier;

void sequoiapier::fuzzOne(std::string_view input)
{
    const Result<std::vector<std::string>> leaving = parseLeavingHosts(input);
    if (!leaving)
        return;
    nlohmann::json hosts = nlohmann::json::array();
    for (const std::string &address : leaving.value())
        hosts.push_back({{"address", address}, {"state", "leaving"}});
    const Result<std::vector<std::string>> reparsed
        = parseLeavingHosts(nlohmann::json{{"hosts", hosts}}.dump());
    require(bool(reparsed) && reparsed.value() == leaving.value(),
            "the names survive a round trip");
}
