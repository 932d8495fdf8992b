#include "sequoiapier/withdrawalnotices.h"

#include <algorithm>

namespace sequoiapier {

void WithdrawalNotices::add(const WithdrawalNotice &notice, TimePoint now)
{
    removeExpired(now);
    const TimePoint deadline = now + std::min(notice.remaining, m_options.maxDuration);
    const auto known = m_deadlines.find(notice.digest);
    if (known != m_deadlines.end()) {
        known->second = std::max(known->second, deadline);
        return;
    }
    if (m_deadlines.size() >= m_options.maxNotices) {
        const auto next
            = std::min_element(m_deadlines.begin(), m_deadlines.end(),
                               [](const auto &a, const auto &b) { return a.second < b.second; });
        m_deadlines.erase(next);
    }
    m_deadlines.emplace(notice.digest, deadline);
}

bool WithdrawalNotices::contains(std::string_view digest, TimePoint now) const
{
    const auto found = m_deadlines.find(digest);
    return found != m_deadlines.end() && now < found->second;
}

std::vector<WithdrawalNotice> WithdrawalNotices::standing(TimePoint now) const
{
    std::vector<WithdrawalNotice> notices;
    for (const auto &[digest, deadline] : m_deadlines) {
        if (now < deadline)
            notices.push_back({.digest = digest, .remaining = deadline - now});
    }
    return notices;
}

void WithdrawalNotices::removeExpired(TimePoint now)
{
    std::erase_if(m_deadlines, [now](const auto &entry) { return entry.second <= now; });
}

} // namespace sequoiapier
