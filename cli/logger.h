// Logger: writes structured log lines through log4cplus, one line per event.
//
//   logger.info("request.answered", {{"queue", queue}, {"status", "200"}});
//
// The format is key=value or JSON, selected by --log-format. Lines go to standard error, or to
// standard output with Options::isToStandardOutput. Logging never waits for the reader: what it
// does not take is dropped, and a later line gives the number of dropped ones.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace sequoiapier {

struct LogField
{
    std::string_view key;
    std::string value;
};

enum class LogFormat : std::uint8_t {
    KeyValue,
    Json,
};

class Logger
{
public:
    struct Options
    {
        std::string process;
        std::string zone;
        LogFormat format = LogFormat::KeyValue;
        std::string level = "info"; // least severe level: error, warn, info or debug
        bool isToStandardOutput = false;
    };

    explicit Logger(Options options);

    void error(std::string_view event, std::initializer_list<LogField> fields = {}) const;
    void warn(std::string_view event, std::initializer_list<LogField> fields = {}) const;
    void info(std::string_view event, std::initializer_list<LogField> fields = {}) const;
    void debug(std::string_view event, std::initializer_list<LogField> fields = {}) const;

    // Returns the line for an event. `timestamp` is in RFC 3339 format.
    static std::string formatLine(LogFormat format, std::string_view timestamp,
                                  std::string_view level, const Options &options,
                                  std::string_view event, std::span<const LogField> fields);

private:
    void write(int level, std::string_view levelName, std::string_view event,
               std::span<const LogField> fields) const;

    Options m_options;
};

} // namespace sequoiapier
