// DecisionLog: writes one JSON line for each decision, at a bounded rate.
//
//   DecisionLog log(logger, {.linesPerSecond = 300});
//   log.info("job.taken", {{"job", id}, {"queue", queue}});
//
// Lines beyond the rate are dropped and counted; a later line gives their number. Warnings are
// never dropped.
#pragma once

#include "cli/logger.h"
#include "sequoiapier/bootclock.h"

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace sequoiapier {

class DecisionLog
{
public:
    struct Options
    {
        double linesPerSecond = 300; // takes about 1 % of a quarter of a core
        double burst = 600; // lines that may be written at once
    };

    DecisionLog(const Logger &logger, Options options)
        : m_logger(logger)
        , m_options(options)
        , m_tokens(options.burst)
    { }

    void info(std::string_view event, std::initializer_list<LogField> fields = {});
    void warn(std::string_view event, std::initializer_list<LogField> fields = {})
    {
        m_logger.warn(event, fields);
    }

private:
    const Logger &m_logger;
    Options m_options;
    double m_tokens;
    TimePoint m_refilledAt{};
    std::uint64_t m_dropped = 0;
};

} // namespace sequoiapier
