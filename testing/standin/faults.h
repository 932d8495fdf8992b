// Faults that a test injects into a stand-in by POST /faults with a JSON object.
//
//   {"outage": true}                    calls get 503 or, with "silent": true, no answer
//   {"lostAnswers": 3}                  the next 3 calls take effect but get no answer
//   {"lostCommits": 1, "lostCommitsOf": "operator/"}
//                                       like lostAnswers, for commits whose write id has the prefix
//   {"delayMs": 200}                    every answer is delayed by 200 ms
//   {"neverDrain": ["host-3"], "dead": ["host-4"]}
//                                       hosts stand-in: hosts whose work never ends; failed hosts
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
    std::string lostCommitsPrefix;
    int delayMs = 0;
    bool leaving = false; // The runner refuses new work.
    std::vector<std::string> neverDrain;
    std::vector<std::string> dead;
};

Result<Faults> parseFaults(std::string_view document);

} // namespace sequoiapier
