// WithdrawalNotices: keys refused early, between the announcement of a withdrawal and its version.
//
//   notices.add({.digest = digest, .remaining = std::chrono::seconds(10)}, now);
//   if (notices.contains(digest, now)) ...
//
// A notice lapses at its deadline, so that a withdrawal which was never committed does no lasting
// harm. When the bound is reached the notice next to lapse makes room.
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
        Duration maxDuration = std::chrono::seconds(10);
    };

    explicit WithdrawalNotices(Options options)
        : m_options(options)
    { }

    void add(const WithdrawalNotice &notice, TimePoint now);
    bool contains(std::string_view digest, TimePoint now) const;
    // The notices that have not lapsed, with the time that remains.
    std::vector<WithdrawalNotice> standing(TimePoint now) const;
    std::size_t size() const { return m_deadlines.size(); }

private:
    void removeLapsed(TimePoint now);

    Options m_options;
    std::map<std::string, TimePoint, std::less<>> m_deadlines;
};

} // namespace sequoiapier
