// SettingsParser: fills a struct of settings from flags and environment variables.
//
//   GatewaySettings settings;
//   SettingsParser parser("gateway", "Takes callers' requests.");
//   parser.addInteger("listen-port", settings.listenPort, {.unit = "", .min = 1, .max = 65535,
//                     .help = "TCP port for callers"});
//   Result<ParseAction> action = parser.parse(args, environment);
//
// The setting `listen-port` is read from the flag --listen-port and the environment variable
// SEQUOIAPIER_LISTEN_PORT; the flag takes precedence. All settings are checked and all errors are
// reported together. An unknown flag and an unknown variable with the prefix SEQUOIAPIER_ are
// errors.
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
    std::string_view unit; // for example "ms" or "bytes"; empty for a plain number
    std::int64_t min = 0;
    std::int64_t max = std::numeric_limits<std::int64_t>::max();
    std::string_view help;
};

struct TextRule
{
    bool isRequired = false;
    std::vector<std::string> allowed; // if empty, any text is allowed
    std::function<bool(std::string_view)> isValid; // if empty, any text is valid
    std::string_view expected; // describes what isValid accepts, in error messages
    std::string_view help;
};

enum class ParseAction : std::uint8_t {
    Run, // the settings are valid
    Exit, // --help or --version was printed
};

class SettingsParser
{
public:
    using Environment = std::function<std::vector<std::string>()>; // returns "NAME=value" entries

    SettingsParser(std::string_view command, std::string_view summary);

    void addInteger(std::string name, std::int64_t &target, IntegerRule rule);
    void addText(std::string name, std::string &target, TextRule rule);
    void addFlag(std::string name, bool &target, std::string_view help);
    // Appends words that are not flags to `target`. Without this call such words are errors.
    void addPositional(std::vector<std::string> &target, std::string_view help);

    Result<ParseAction> parse(std::span<const char *const> args, const Environment &environment);

private:
    struct Setting
    {
        std::string name;
        std::string help;
        std::string defaultText;
        bool isSwitch = false;
        // Sets the value and returns "", or returns what is allowed if the value is not.
        std::function<std::string(std::string_view)> assign;
        bool isRequired = false;
    };

    std::string m_command;
    std::string m_summary;
    std::vector<Setting> m_settings;
    std::vector<std::string> *m_positional = nullptr;
    std::string m_positionalHelp;
};

// Returns the environment of this process as "NAME=value" entries.
std::vector<std::string> processEnvironment();

// Returns whether `text` is a numeric IPv4 or IPv6 address.
bool isIpAddress(std::string_view text);

} // namespace sequoiapier
