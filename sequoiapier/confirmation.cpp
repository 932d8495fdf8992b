// Only the latest chain is kept: a chain with a later instant, for any version that is not above
// the one held, confirms at least as much as an earlier chain. A chain or a voter's statement for a
// higher version than the one held confirms nothing until that version has been applied. Chains
// cost O(1), a statement O(log n) in the number of voters, and a quorum O(n).
#include "sequoiapier/confirmation.h"

#include <algorithm>

namespace sequoiapier {

void Confirmation::update(std::optional<Statement> &statement, Statement next)
{
    if (!statement || next.instant > statement->instant)
        statement = next;
}

void Confirmation::confirm(TimePoint instant, std::uint64_t version)
{
    if (m_droppedAt && instant < *m_droppedAt)
        return;
    update(m_chain, {instant, version});
    m_lastChain = std::max(m_lastChain.value_or(instant), instant);
}

void Confirmation::vouch(std::string_view voter, TimePoint instant, std::uint64_t version)
{
    if (m_droppedAt && instant < *m_droppedAt)
        return;
    const auto known = m_vouchers.find(voter);
    if (known != m_vouchers.end()) {
        if (instant > known->second.instant)
            known->second = {instant, version};
        return;
    }
    if (m_vouchers.size() < m_options.maxVouchers)
        m_vouchers.emplace(voter, Statement{instant, version});
}

void Confirmation::drop(TimePoint now)
{
    m_droppedAt = now;
    m_chain.reset();
    m_vouchers.clear();
}

bool Confirmation::isConfirmed(TimePoint now, std::uint64_t version) const
{
    return hasChain(now, version) || hasQuorum(now, version);
}

bool Confirmation::hasChain(TimePoint now, std::uint64_t version) const
{
    const std::optional<TimePoint> instant = chainInstant(version);
    return instant && now - *instant < m_options.staleness;
}

bool Confirmation::hasQuorum(TimePoint now, std::uint64_t version) const
{
    if (m_maxVoters == 0 || !m_lastChain || now - *m_lastChain >= m_options.maxOutage)
        return false;
    if (m_chain && m_chain->version > version)
        return false;
    const auto agreeing
        = std::count_if(m_vouchers.begin(), m_vouchers.end(), [&](const auto &entry) {
              const Statement &statement = entry.second;
              return statement.version <= version && now - statement.instant < m_options.staleness;
          });
    const std::size_t votes = std::size_t(agreeing) + (canVouch(now) ? 1 : 0);
    return votes * 2 > m_maxVoters;
}

bool Confirmation::canVouch(TimePoint now) const
{
    return m_isVoter && m_lastChain && now - *m_lastChain < m_options.maxOutage;
}

std::optional<TimePoint> Confirmation::chainInstant(std::uint64_t version) const
{
    if (!m_chain || m_chain->version > version)
        return std::nullopt;
    return m_chain->instant;
}

} // namespace sequoiapier
