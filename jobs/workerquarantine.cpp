// A job that fails everywhere raises the failure rate of all workers alike, so that it puts none
// into quarantine. A worker stands out only if it fails much more often than its peers.
#include "jobs/workerquarantine.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sequoiapier {

WorkerQuarantine::WorkerQuarantine(Options options)
    : m_options(options)
{ }

void WorkerQuarantine::record(std::string_view host, bool hasFailed, TimePoint now)
{
    auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        if (m_hosts.size() >= m_options.maxHosts)
            return;
        found = m_hosts.emplace(host, Counts{.countedAt = now}).first;
    }
    Counts counts = countsAt(found->second, now);
    ++counts.starts;
    counts.failures += hasFailed ? 1 : 0;
    found->second = counts;
}

void WorkerQuarantine::forget(std::string_view host)
{
    const auto found = m_hosts.find(host);
    if (found != m_hosts.end())
        m_hosts.erase(found);
}

std::vector<std::string> WorkerQuarantine::hosts(TimePoint now) const
{
    Counts all;
    for (const auto &[host, counts] : m_hosts) {
        const Counts current = countsAt(counts, now);
        all.starts += current.starts;
        all.failures += current.failures;
    }
    std::vector<std::pair<double, std::string>> found;
    for (const auto &[host, counts] : m_hosts) {
        const Counts own = countsAt(counts, now);
        const double peerStarts = all.starts - own.starts;
        if (own.starts < m_options.minStarts || peerStarts < m_options.minStarts)
            continue;
        const double rate = own.failures / own.starts;
        const double peerRate = (all.failures - own.failures) / peerStarts;
        if (rate >= std::max(m_options.minRate, m_options.peerFactor * peerRate))
            found.emplace_back(-rate, host);
    }
    std::sort(found.begin(), found.end());
    const double cap = std::max(1.0, m_options.maxFraction * double(m_hosts.size()));
    std::vector<std::string> hosts;
    for (const auto &[rate, host] : found) {
        if (double(hosts.size()) + 1 <= cap)
            hosts.push_back(host);
    }
    return hosts;
}

WorkerQuarantine::Counts WorkerQuarantine::countsAt(const Counts &counts, TimePoint now) const
{
    const double halves
        = double((now - counts.countedAt).count()) / double(m_options.halfLife.count());
    const double factor = std::exp2(-std::max(0.0, halves));
    return {counts.starts * factor, counts.failures * factor, now};
}

} // namespace sequoiapier
