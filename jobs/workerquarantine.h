// WorkerQuarantine: finds workers that fail what they start, by their rate compared with peers.
//
//   quarantine.record("h3", true, now);                // a job failed on h3
//   std::vector<std::string> out = quarantine.hosts(now);   // takes no new work now
//
// Counts halve every halfLife, so that a quarantined worker is tried again some time later. Memory:
// one entry for each of at most maxHosts workers; those beyond are not judged.
#pragma once

#include "sequoiapier/bootclock.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

class WorkerQuarantine
{
public:
    struct Options
    {
        double minStarts = 5; // of a worker and of its peers together, before it is judged
        double minRate = 0.5; // part of its starts that fail
        double peerFactor = 3; // times the rate of all other workers
        double maxPart = 0.1; // of the workers known, at least one
        Duration halfLife = std::chrono::minutes(10);
        std::size_t maxHosts = 16'384;
    };

    explicit WorkerQuarantine(Options options);

    // The end of a job on `host`. O(log n).
    void record(std::string_view host, bool hasFailed, TimePoint now);
    void forget(std::string_view host);
    // Workers in quarantine, the worst first. O(n log n).
    std::vector<std::string> hosts(TimePoint now) const;

private:
    struct Counts
    {
        double starts = 0;
        double failures = 0;
        TimePoint countedAt;
    };

    Counts countsAt(const Counts &counts, TimePoint now) const;

    Options m_options;
    std::map<std::string, Counts, std::less<>> m_hosts;
};

} // namespace sequoiapier
