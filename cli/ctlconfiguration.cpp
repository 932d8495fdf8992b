#include "cli/ctlclient.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>

namespace sequoiapier {

namespace {

int applyFile(const CtlSettings &settings, const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        std::cerr << file << " can't be read\n";
        return int(ResultCode::Usage);
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return sendDocument(settings, text.str());
}

int setMaxGateways(const CtlSettings &settings, const std::string &text)
{
    std::int32_t maxGateways = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), maxGateways);
    if (error != std::errc() || end != text.data() + text.size()) {
        std::cerr << "'" << text << "' is not a number of gateways\n";
        return int(ResultCode::Usage);
    }
    return sendEdit(settings, [&](const Configuration &, api::Edit &edit) {
        edit.__set_setMaxGateways(maxGateways);
    });
}

} // namespace

std::vector<CtlCommand> ctlConfigurationCommands()
{
    return {
        {{"configuration"},
         "",
         [](const auto &settings, auto) { return printConfiguration(settings); }},
        {{"apply"},
         "FILE",
         [](const auto &settings, auto operands) { return applyFile(settings, operands[0]); }},
        {{"max-gateways", "set"},
         "COUNT",
         [](const auto &settings, auto operands) { return setMaxGateways(settings, operands[0]); }},
    };
}

} // namespace sequoiapier
