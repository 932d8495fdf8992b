// WorkerQuarantine: finds workers that fail much more of their jobs than their peers.
//
//   quarantine.record("h3", true, now);                    // a job failed on h3
//   std::vector<std::string> out = quarantine.hosts(now);  // these get no new work now
//
// Counts halve every halfLife, so that a quarantined worker is tried again some time later. Memory:
// one entry for each of at most maxHosts workers; workers beyond these are not tracked.
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
        // Minimum for the worker, and for its peers together, before it is evaluated.
        double minStarts = 5;
        double minRate = 0.5; // Minimum fraction of failed starts.
        double peerFactor = 3; // Minimum ratio to the failure rate of all other workers.
        double maxFraction = 0.1; // Maximum fraction of the known workers, but at least one worker.
        Duration halfLife = std::chrono::minutes(10);
        std::size_t maxHosts = 16'384;
    };

    explicit WorkerQuarantine(Options options);

    // Records the end of a job on `host`. O(log n).
    void record(std::string_view host, bool hasFailed, TimePoint now);
    void forget(std::string_view host);
    // Returns the quarantined workers, the highest failure rate first. O(n log n).
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
