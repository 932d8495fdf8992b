#include "sequoiapier/borrower.h"
#include "sequoiapier/lender.h"
#include "sequoiapier/maxminshare.h"
#include "sequoiapier/shareplan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <map>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint Start{std::chrono::hours(1)};

std::int64_t sumOf(const std::vector<PlanMember> &members, std::size_t group)
{
    std::int64_t units = 0;
    for (const PlanMember &member : members)
        units += member.group == group ? member.share : 0;
    return units;
}

// Checks that the shares sum up to the demand or the capacity, whichever is less, that none exceeds
// its demand, and that each is less than one unit from the exact share.
void expectPlan(std::int64_t capacity, const std::vector<PlanGroup> &groups,
                const std::vector<PlanMember> &members)
{
    std::int64_t wanted = 0;
    std::int64_t shared = 0;
    std::vector<ShareDemand> scaled;
    constexpr std::int64_t Scale = 100'000; // parts per unit, so many that rounding does not matter
    for (std::size_t i = 0; i < groups.size(); ++i) {
        wanted += groups[i].wanted;
        shared += groups[i].share;
        ASSERT_EQ(groups[i].share, sumOf(members, i));
        scaled.push_back({groups[i].wanted * Scale, groups[i].weight});
    }
    ASSERT_EQ(shared, std::min(capacity, wanted));
    const auto exact = maxMinShare(capacity * Scale, scaled);
    for (std::size_t i = 0; i < groups.size(); ++i)
        ASSERT_LT(std::abs(double(groups[i].share) - double(exact[i]) / double(Scale)), 1.001);
    for (const PlanMember &member : members) {
        const PlanGroup &group = groups[member.group];
        ASSERT_LE(member.share, member.wanted);
        if (group.wanted == 0)
            continue;
        const double part = double(group.share) * double(member.wanted) / double(group.wanted);
        ASSERT_LT(std::abs(double(member.share) - part), 1.001);
    }
}

// Covers two groups of two members: every demand of up to 4 units, every weight of up to 3 and
// every capacity of up to 9.
TEST(SharePlan, IsCloseToTheExactPartsForAllSmallDemands)
{
    for (std::int64_t code = 0; code < 625 * 90; ++code) {
        std::int64_t rest = code;
        const auto take = [&rest](std::int64_t base) {
            const std::int64_t digit = rest % base;
            rest /= base;
            return digit;
        };
        std::vector<PlanMember> members;
        for (std::size_t i = 0; i < 4; ++i)
            members.push_back({.wanted = take(5), .group = i / 2});
        std::vector<PlanGroup> groups(2);
        for (PlanGroup &group : groups)
            group.weight = std::uint32_t(1 + take(3));
        const std::int64_t capacity = take(10);
        planShares(capacity, groups, members);
        expectPlan(capacity, groups, members);
        if (HasFatalFailure())
            return;
    }
}

RC_GTEST_PROP(SharePlan, UnitsLeftByRoundingMoveUntilAllHadTheirPart, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(2, 9);
    const auto capacity = *rc::gen::inRange<std::int64_t>(1, 12);
    std::vector<DeficitCounter> counters(count);
    std::vector<double> had(count, 0);
    constexpr int Periods = 400;
    for (int period = 0; period < Periods; ++period) {
        std::vector<PlanGroup> groups(1);
        std::vector<PlanMember> members;
        members.reserve(count);
        for (DeficitCounter &memberCounter : counters)
            members.push_back({.wanted = 20, .counter = &memberCounter});
        planShares(capacity, groups, members);
        for (std::size_t i = 0; i < count; ++i) {
            had[i] += double(members[i].share);
            counters[i].advance(1);
            counters[i].apply();
        }
    }
    for (const double units : had)
        RC_ASSERT(std::abs(units / Periods - double(capacity) / double(count)) < 0.02);
}

// Each group is served one period late, and the first group is always served half a unit less than
// its share.
TEST(SharePlan, GroupThatIsServedLessIsGivenMore)
{
    std::vector<DeficitCounter> counters(3);
    std::vector<double> served(3, 0);
    std::vector<double> total(3, 0);
    constexpr int Periods = 400;
    for (int period = 0; period < Periods; ++period) {
        std::vector<PlanGroup> groups;
        std::vector<PlanMember> members;
        for (std::size_t i = 0; i < counters.size(); ++i) {
            groups.push_back({.counter = &counters[i], .served = served[i]});
            members.push_back({.wanted = 20, .group = i});
        }
        planShares(8, groups, members);
        for (std::size_t i = 0; i < counters.size(); ++i) {
            served[i] = double(groups[i].share) - (i == 0 ? 0.5 : 0);
            total[i] += served[i];
            counters[i].apply();
        }
    }
    for (const double units : total)
        EXPECT_NEAR(units / Periods, 7.5 / 3, 0.05);
}

// Compares the grants of a lender, which updates its sums and shares incrementally, with those
// computed from all reports.
RC_GTEST_PROP(SharePlan, LenderGrantsWhatThePlainRecomputationGrants, ())
{
    constexpr std::int64_t Capacity = 12;
    const auto count = *rc::gen::inRange<std::size_t>(1, 7);
    Lender lender({.resource = "slots", .capacity = Capacity, .lendSurplus = false}, Start);
    std::vector<Borrower> borrowers;
    std::map<std::size_t, LoanReport> reports;
    std::map<std::size_t, std::int64_t> granted;
    for (std::size_t i = 0; i < count; ++i)
        borrowers.push_back(Borrower({.resource = "slots", .self = {"b" + std::to_string(i), 1}}));
    for (int step = 0; step < 60; ++step) {
        const auto who = *rc::gen::inRange<std::size_t>(0, count);
        Borrower &borrower = borrowers[who];
        const TimePoint now = Start + step * milliseconds(1);
        while (*rc::gen::inRange(0, 2) == 1 && borrower.tryAcquire(now)) { }
        if (*rc::gen::inRange(0, 2) == 1)
            borrower.release(now, *rc::gen::inRange<std::int64_t>(0, 4));
        LoanReport report = borrower.makeReport(*rc::gen::inRange<std::int64_t>(0, 15), now);
        report.group = who % 2 == 0 ? "even" : "odd";
        report.weight = who % 2 == 0 ? 1 : 3;
        const LoanGrant grant = lender.report(report, now);
        reports[who] = report;
        granted[who] = 0;

        std::vector<PlanGroup> groups{{.weight = 1}, {.weight = 3}};
        std::vector<PlanMember> members;
        std::int64_t others = 0;
        std::size_t place = 0;
        for (const auto &[index, last] : reports) {
            if (index == who)
                place = members.size();
            else
                others += std::max({last.held, last.inUse, granted[index]});
            members.push_back({.wanted = last.wanted, .group = index % 2});
        }
        planShares(Capacity, groups, members);
        const std::int64_t most = std::max(Capacity - others, report.held);
        RC_ASSERT(grant.amount == std::max<std::int64_t>(0, std::min(members[place].share, most)));
        granted[who] = grant.amount;
        RC_ASSERT(lender.lent() == others + std::max({report.held, report.inUse, grant.amount}));
        borrower.accept(grant, now, now);
    }
}

} // namespace
} // namespace sequoiapier
