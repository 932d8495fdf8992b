// The faults that a test switches on at a stand-in, by POST /faults with a JSON object.
//
//   {"outage": true}                    every call is refused (503) or, if "silent", never answered
//   {"lostAnswers": 3}                  the next 3 calls take effect and are not answered
//   {"lostCommits": 1}                  as lostAnswers, but only commits count
//   {"delayMs": 200}                    every answer is late by this much
#pragma once

#include "sequoiapier/result.h"

#include <string_view>

namespace sequoiapier {

struct Faults
{
    bool outage = false;
    bool silent = false;
    int lostAnswers = 0;
    int lostCommits = 0;
    int delayMs = 0;
    bool leaving = false; // a runner refuses new work
};

Result<Faults> parseFaults(std::string_view document);

} // namespace sequoiapier
