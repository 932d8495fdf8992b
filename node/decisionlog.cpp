#include "node/decisionlog.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

void DecisionLog::info(std::string_view event, std::initializer_list<LogField> fields)
{
    const TimePoint now = BootClock::now();
    const std::chrono::duration<double> passed = now - m_refilledAt;
    m_tokens = std::min(m_options.burst, m_tokens + passed.count() * m_options.linesPerSecond);
    m_refilledAt = now;
    if (m_tokens < 1) {
        ++m_dropped;
        return;
    }
    m_tokens -= 1;
    if (m_dropped > 0)
        m_logger.warn("log.dropped", {{"lines", std::to_string(std::exchange(m_dropped, 0))}});
    m_logger.info(event, fields);
}

} // namespace sequoiapier
