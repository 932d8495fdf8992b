// A hash table of the entries and a queue of them by age. An entry that is dropped from the old end
// of the queue without having been forgotten moves the start of the complete record to just after
// it. The queue also holds forgotten entries until they reach its old end, so the bound applies to
// the length of the queue. Operations are amortized O(1).
#include "gateway/duplicatefilter.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace sequoiapier {

RequestDigest requestDigest(std::string_view team, std::string_view queue,
                            std::string_view requestId)
{
    std::string bytes;
    bytes.reserve(team.size() + queue.size() + requestId.size() + 2);
    bytes.append(team).push_back('\0');
    bytes.append(queue).push_back('\0');
    bytes.append(requestId);
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return {.low = hash.low64, .high = hash.high64};
}

DuplicateFilter::DuplicateFilter(Options options, TimePoint completeFrom)
    : m_options(options)
    , m_completeFrom(completeFrom)
{ }

DuplicateVerdict DuplicateFilter::checkAndRecord(const RequestDigest &digest, TimePoint firstSent,
                                                 TimePoint now)
{
    while (!m_byAge.empty() && m_byAge.front().at + m_options.retention <= now)
        dropOldest();
    if (m_entries.contains(digest))
        return DuplicateVerdict::Seen;
    if (firstSent < m_completeFrom)
        return DuplicateVerdict::Unknown;
    while (m_byAge.size() >= std::max<std::size_t>(m_options.maxEntries, 1))
        dropOldest();
    m_entries.emplace(digest, m_nextOrder);
    m_byAge.push_back({digest, now, m_nextOrder++});
    return DuplicateVerdict::New;
}

void DuplicateFilter::dropOldest()
{
    const Recorded oldest = m_byAge.front();
    m_byAge.pop_front();
    const auto entry = m_entries.find(oldest.digest);
    if (entry == m_entries.end() || entry->second != oldest.order)
        return;
    m_entries.erase(entry);
    markIncompleteUntil(oldest.at);
}

void DuplicateFilter::forget(const RequestDigest &digest)
{
    m_entries.erase(digest);
}

void DuplicateFilter::markIncompleteUntil(TimePoint time)
{
    m_completeFrom = std::max(m_completeFrom, time + Duration(1));
}

} // namespace sequoiapier
