#include "testing/standin/faults.h"

#include <nlohmann/json.hpp>

namespace sequoiapier {

Result<Faults> parseFaults(std::string_view document)
{
    const auto json = nlohmann::json::parse(document, nullptr, false);
    if (!json.is_object())
        return Error{ResultCode::SchemaMismatch, "not a JSON object"};
    try {
        return Faults{.outage = json.value("outage", false),
                      .silent = json.value("silent", false),
                      .lostAnswers = json.value("lostAnswers", 0),
                      .lostCommits = json.value("lostCommits", 0),
                      .lostCommitsPrefix = json.value("lostCommitsOf", std::string()),
                      .delayMs = json.value("delayMs", 0),
                      .leaving = json.value("leaving", false),
                      .neverDrain = json.value("neverDrain", std::vector<std::string>()),
                      .dead = json.value("dead", std::vector<std::string>())};
    } catch (const nlohmann::json::exception &exception) {
        return Error{ResultCode::SchemaMismatch, exception.what()};
    }
}

} // namespace sequoiapier
