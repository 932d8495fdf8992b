// WithdrawalNotices: keys that are refused from the announcement of their withdrawal, before the
// configuration version with the withdrawal arrives.
//
//   notices.add({.digest = digest, .remaining = std::chrono::seconds(10)}, now);
//   if (notices.contains(digest, now)) ...
//
// A notice expires at its deadline, so that a withdrawal that was never committed has no lasting
// effect. When maxNotices is reached, the notice with the earliest deadline is removed.
#pragma once

#include "sequoiapier/configurationmessages.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

class WithdrawalNotices
{
public:
    struct Options
    {
        std::size_t maxNotices = 1024;
        Duration maxDuration = std::chrono::seconds(10); // longer notices are shortened to this
    };

    explicit WithdrawalNotices(Options options)
        : m_options(options)
    { }

    void add(const WithdrawalNotice &notice, TimePoint now);
    bool contains(std::string_view digest, TimePoint now) const;
    // Returns the notices that have not expired, each with its remaining time.
    std::vector<WithdrawalNotice> standing(TimePoint now) const;
    std::size_t size() const { return m_deadlines.size(); }

private:
    void removeExpired(TimePoint now);

    Options m_options;
    std::map<std::string, TimePoint, std::less<>> m_deadlines;
};

} // namespace sequoiapier
