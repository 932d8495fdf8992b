#include "cli/command.h"
#include "cli/settingsparser.h"
#include "sequoiapier/configuration.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace sequoiapier {

int runCheck(CommandArgs args)
{
    std::vector<std::string> files;
    SettingsParser parser("check", "Checks configuration documents.");
    parser.addPositional(files, "FILE...");
    const Result<ParseAction> action = parser.parse(args, processEnvironment);
    if (!action) {
        std::cerr << action.error().detail << "\n";
        return int(ResultCode::InvalidSettings);
    }
    if (action.value() == ParseAction::Exit)
        return int(ResultCode::Ok);
    auto status = ResultCode::Ok;
    for (const std::string &file : files) {
        std::ifstream stream(file);
        std::ostringstream text;
        text << stream.rdbuf();
        const Result<Configuration> parsed = parseConfiguration(text.str(), 1);
        if (parsed) {
            std::cout << file << ": ok\n";
        } else {
            std::cout << file << ": " << parsed.error().detail << "\n";
            status = ResultCode::InvalidSettings;
        }
    }
    return int(status);
}

} // namespace sequoiapier
