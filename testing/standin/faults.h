// The faults that a test switches on at a stand-in, by POST /faults with a JSON object.
//
//   {"outage": true}                    every call is refused (503) or, if "silent", never answered
//   {"lostAnswers": 3}                  the next 3 calls take effect and are not answered
//   {"lostCommits": 1, "lostCommitsOf": "operator/"}
//                                       as lostAnswers, for commits whose write id begins so
//   {"delayMs": 200}                    every answer is late by this much
//   {"neverDrain": ["host-3"], "dead": ["host-4"]}
//                                       of the hosts stand-in: work that does not end; failed hosts
#pragma once

#include "sequoiapier/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

struct Faults
{
    bool outage = false;
    bool silent = false;
    int lostAnswers = 0;
    int lostCommits = 0;
    std::string lostCommitsOf;
    int delayMs = 0;
    bool leaving = false; // a runner refuses new work
    std::vector<std::string> neverDrain;
    std::vector<std::string> dead;
};

Result<Faults> parseFaults(std::string_view document);

} // namespace sequoiapier
