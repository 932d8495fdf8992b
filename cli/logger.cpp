#include "cli/logger.h"

#include "cli/logappender.h"

#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <array>
#include <chrono>
#include <ctime>
#include <utility>

namespace sequoiapier {

namespace {

log4cplus::Logger rootLogger()
{
    static log4cplus::Initializer initializer;
    return log4cplus::Logger::getRoot();
}

std::string timestampNow()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto micros
        = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count()
        % 1'000'000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[40];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    std::string fraction = std::to_string(micros);
    fraction.insert(0, 6 - fraction.size(), '0');
    return std::string(text, length) + "." + fraction + "Z";
}

// Quotes a value that is empty or contains a space, quote, equals sign, newline or tab.
std::string quoteIfNeeded(std::string_view value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\t") == std::string_view::npos)
        return std::string(value);
    return nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

Logger::Logger(Options options)
    : m_options(std::move(options))
{
    log4cplus::Logger root = rootLogger();
    root.removeAllAppenders();
    // The appender may outlive this object.
    const auto droppedLine = [options = m_options](std::uint64_t count) {
        const std::array<LogField, 1> fields{{{"lines", std::to_string(count)}}};
        return formatLine(options.format, timestampNow(), "warn", options, "log.dropped", fields);
    };
    const int descriptor = m_options.isToStandardOutput ? STDOUT_FILENO : STDERR_FILENO;
    root.addAppender(log4cplus::SharedAppenderPtr(new LogAppender(descriptor, droppedLine)));
    root.setLogLevel(log4cplus::getLogLevelManager().fromString(m_options.level));
}

void Logger::error(std::string_view event, std::initializer_list<LogField> fields) const
{
    write(log4cplus::ERROR_LOG_LEVEL, "error", event, fields);
}

void Logger::warn(std::string_view event, std::initializer_list<LogField> fields) const
{
    write(log4cplus::WARN_LOG_LEVEL, "warn", event, fields);
}

void Logger::info(std::string_view event, std::initializer_list<LogField> fields) const
{
    write(log4cplus::INFO_LOG_LEVEL, "info", event, fields);
}

void Logger::debug(std::string_view event, std::initializer_list<LogField> fields) const
{
    write(log4cplus::DEBUG_LOG_LEVEL, "debug", event, fields);
}

std::string Logger::formatLine(LogFormat format, std::string_view timestamp, std::string_view level,
                               const Options &options, std::string_view event,
                               std::span<const LogField> fields)
{
    if (format == LogFormat::Json) {
        nlohmann::ordered_json line{{"time", timestamp},
                                    {"level", level},
                                    {"process", options.process},
                                    {"zone", options.zone},
                                    {"event", event}};
        for (const LogField &field : fields)
            line[std::string(field.key)] = field.value;
        return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    std::string line = "time=" + std::string(timestamp) + " level=" + std::string(level)
        + " process=" + quoteIfNeeded(options.process) + " zone=" + quoteIfNeeded(options.zone)
        + " event=" + std::string(event);
    for (const LogField &field : fields)
        line += " " + std::string(field.key) + "=" + quoteIfNeeded(field.value);
    return line;
}

void Logger::write(int level, std::string_view levelName, std::string_view event,
                   std::span<const LogField> fields) const
{
    const log4cplus::Logger root = rootLogger();
    if (!root.isEnabledFor(level))
        return;
    root.forcedLog(
        level, formatLine(m_options.format, timestampNow(), levelName, m_options, event, fields));
}

} // namespace sequoiapier
