#include "cli/settingsparser.h"

#include <arpa/inet.h>
#include <cxxopts.hpp>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <iostream>
#include <map>
#include <utility>

namespace sequoiapier {

namespace {

constexpr std::string_view VariablePrefix = "SEQUOIAPIER_";

std::string variableName(std::string_view setting)
{
    std::string name(VariablePrefix);
    for (const char c : setting)
        name += c == '-' ? '_' : char(std::toupper(c));
    return name;
}

std::map<std::string, std::string> prefixedVariables(const std::vector<std::string> &entries)
{
    std::map<std::string, std::string> variables;
    for (const std::string &entry : entries) {
        const auto equals = entry.find('=');
        if (entry.starts_with(VariablePrefix) && equals != std::string::npos)
            variables[entry.substr(0, equals)] = entry.substr(equals + 1);
    }
    return variables;
}

std::string join(const std::vector<std::string> &words, std::string_view separator)
{
    std::string text;
    for (const std::string &word : words) {
        if (!text.empty())
            text += separator;
        text += word;
    }
    return text;
}

} // namespace

SettingsParser::SettingsParser(std::string_view command, std::string_view summary)
    : m_command(command)
    , m_summary(summary)
{ }

void SettingsParser::addInteger(std::string name, std::int64_t &target, IntegerRule rule)
{
    std::string allowed = "an integer from " + std::to_string(rule.min);
    if (rule.max != std::numeric_limits<std::int64_t>::max())
        allowed += " to " + std::to_string(rule.max);
    if (!rule.unit.empty())
        allowed += " " + std::string(rule.unit);
    const auto assign = [&target, rule, allowed](std::string_view text) -> std::string {
        std::int64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size())
            return allowed;
        if (value < rule.min || value > rule.max)
            return allowed;
        target = value;
        return {};
    };
    std::string help(rule.help);
    if (!rule.unit.empty())
        help += " [" + std::string(rule.unit) + "]";
    m_settings.push_back({std::move(name), std::move(help), std::to_string(target), false, assign});
}

void SettingsParser::addText(std::string name, std::string &target, TextRule rule)
{
    const std::string allowed = !rule.allowed.empty()
        ? "one of " + join(rule.allowed, ", ")
        : std::string(rule.expected.empty() ? "any text" : rule.expected);
    const bool isRequired = rule.isRequired && target.empty();
    std::string help(rule.help);
    std::string defaultText = target;
    const auto assign
        = [&target, rule = std::move(rule), allowed](std::string_view text) -> std::string {
        const bool listed = rule.allowed.empty()
            || std::find(rule.allowed.begin(), rule.allowed.end(), text) != rule.allowed.end();
        if (!listed || (rule.isValid && !rule.isValid(text)))
            return allowed;
        target = text;
        return {};
    };
    m_settings.push_back(
        {std::move(name), std::move(help), std::move(defaultText), false, assign, isRequired});
}

void SettingsParser::addFlag(std::string name, bool &target, std::string_view help)
{
    const auto assign = [&target](std::string_view text) -> std::string {
        if (text != "true" && text != "false")
            return "true or false";
        target = text == "true";
        return {};
    };
    m_settings.push_back(
        {std::move(name), std::string(help), target ? "true" : "false", true, assign});
}

void SettingsParser::addPositional(std::vector<std::string> &target, std::string_view help)
{
    m_positional = &target;
    m_positionalHelp = help;
}

Result<ParseAction> SettingsParser::parse(std::span<const char *const> args,
                                          const Environment &environment)
{
    cxxopts::Options options("sequoiapier " + m_command, m_summary);
    for (const Setting &setting : m_settings) {
        const std::string help = setting.help + " (" + variableName(setting.name)
            + (setting.defaultText.empty() ? "" : ", default " + setting.defaultText) + ")";
        if (setting.isSwitch)
            options.add_options()(setting.name, help, cxxopts::value<bool>());
        else
            options.add_options()(setting.name, help, cxxopts::value<std::string>());
    }
    options.add_options()("help", "Print this help")("version", "Print the version");
    options.allow_unrecognised_options();
    if (m_positional != nullptr)
        options.positional_help(m_positionalHelp);

    std::vector<std::string> errors;
    std::map<std::string, std::string> given;
    try {
        const cxxopts::ParseResult parsed = options.parse(int(args.size()), args.data());
        if (parsed.count("help") != 0) {
            std::cout << options.help();
            return ParseAction::Exit;
        }
        if (parsed.count("version") != 0) {
            std::cout << "sequoiapier " << SEQUOIAPIER_VERSION << "\n";
            return ParseAction::Exit;
        }
        for (const std::string &word : parsed.unmatched()) {
            if (word.starts_with("-"))
                errors.push_back(word + ": unknown flag");
            else if (m_positional == nullptr)
                errors.push_back(word + ": unexpected word");
            else
                m_positional->push_back(word);
        }
        for (const cxxopts::KeyValue &pair : parsed.arguments())
            given[pair.key()] = pair.value();
    } catch (const cxxopts::exceptions::exception &exception) {
        return Error{ResultCode::InvalidSettings, exception.what()};
    }

    std::map<std::string, std::string> variables = prefixedVariables(environment());
    for (const Setting &setting : m_settings) {
        const std::string variable = variableName(setting.name);
        std::string source = "--" + setting.name;
        auto found = given.find(setting.name);
        const auto fromVariable = variables.find(variable);
        if (found == given.end() && fromVariable != variables.end()) {
            source = variable;
            found = given.emplace(setting.name, fromVariable->second).first;
        }
        if (fromVariable != variables.end())
            variables.erase(fromVariable);
        if (found == given.end()) {
            if (setting.isRequired)
                errors.push_back(source + ": required (or " + variable + ")");
            continue;
        }
        const std::string allowed = setting.assign(found->second);
        if (!allowed.empty())
            errors.push_back(source + ": '" + found->second + "' is not " + allowed);
    }
    for (const auto &[name, value] : variables)
        errors.push_back(name + ": unknown environment variable");
    if (!errors.empty())
        return Error{ResultCode::InvalidSettings, join(errors, "\n")};
    return ParseAction::Run;
}

std::vector<std::string> processEnvironment()
{
    std::vector<std::string> entries;
    for (char **entry = environ; *entry != nullptr; ++entry)
        entries.emplace_back(*entry);
    return entries;
}

bool isIpAddress(std::string_view text)
{
    const std::string copy(text);
    in6_addr address{};
    return inet_pton(AF_INET, copy.c_str(), &address) == 1
        || inet_pton(AF_INET6, copy.c_str(), &address) == 1;
}

} // namespace sequoiapier
