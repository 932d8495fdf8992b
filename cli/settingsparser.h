// SettingsParser: fills an aggregate of settings from flags and environment variables.
//
//   GatewaySettings settings;
//   SettingsParser parser("gateway", "Takes callers' requests.");
//   parser.addInteger("listen-port", settings.listenPort, {.unit = "", .min = 1, .max = 65535,
//                     .help = "TCP port for callers"});
//   Result<ParseAction> action = parser.parse(args, environment);
//
// Every setting `listen-port` is the flag --listen-port and the variable SEQUOIAPIER_LISTEN_PORT;
// the flag wins. All settings are checked and all errors reported together. An unknown flag, or an
// unknown variable with the prefix, is an error.
#pragma once

#include "sequoiapier/result.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

struct IntegerRule
{
    std::string_view unit; // "ms", "bytes"; empty for a plain number
    std::int64_t min = 0;
    std::int64_t max = std::numeric_limits<std::int64_t>::max();
    std::string_view help;
};

struct TextRule
{
    bool isRequired = false;
    std::vector<std::string> allowed; // empty: any text
    std::function<bool(std::string_view)> isValid; // empty: any text
    std::string_view expected; // what isValid accepts, for the error
    std::string_view help;
};

enum class ParseAction : std::uint8_t {
    Run, // settings are valid
    Exit, // --help or --version was printed
};

class SettingsParser
{
public:
    using Environment = std::function<std::vector<std::string>()>; // "NAME=value" entries

    SettingsParser(std::string_view command, std::string_view summary);

    void addInteger(std::string name, std::int64_t &target, IntegerRule rule);
    void addText(std::string name, std::string &target, TextRule rule);
    void addFlag(std::string name, bool &target, std::string_view help);
    // Takes words that are not flags; they are an error otherwise.
    void addPositional(std::vector<std::string> &target, std::string_view help);

    Result<ParseAction> parse(std::span<const char *const> args, const Environment &environment);

private:
    struct Setting
    {
        std::string name;
        std::string help;
        std::string defaultText;
        bool isSwitch = false;
        std::function<std::string(std::string_view)> assign; // returns what is allowed, or ""
        bool isRequired = false;
    };

    std::string m_command;
    std::string m_summary;
    std::vector<Setting> m_settings;
    std::vector<std::string> *m_positional = nullptr;
    std::string m_positionalHelp;
};

// The environment of this process.
std::vector<std::string> processEnvironment();

// Whether `text` is an IPv4 or IPv6 number.
bool isIpNumber(std::string_view text);

} // namespace sequoiapier
