// LiveListStandin simulates the platform's delayed list of live and leaving hosts.
//
// POST /hosts with {"address": "10.0.0.11", "state": "leaving"} changes a host's state; GET
// /livelist shows the change after `lagMilliseconds`. POST /faults with {"outage": true} makes the
// list answer 503 (service unavailable).
#pragma once

#include "cli/daemon.h"
#include "testing/standin/faults.h"

#include <deque>
#include <map>

namespace sequoiapier {

class LiveListStandin
{
public:
    LiveListStandin(Daemon &daemon, std::int64_t lagMilliseconds);

private:
    struct Change
    {
        TimePoint due;
        std::string address;
        std::string state;
    };

    void changeState(HttpExchange &exchange);
    void serve(HttpExchange &exchange);

    std::int64_t m_lagMilliseconds;
    Faults m_faults;
    std::deque<Change> m_changes; // Changes that the list does not show yet.
    std::map<std::string, std::string> m_hosts; // State by address.
};

} // namespace sequoiapier
