// Measures the cost of lending: processor time, memory, messages and bytes per lender, borrower and
// unit; table calls per lending member; and the time from an owner's death to full lending.
//
// Bytes are those of plainly packed message fields (eight per number, four per weight, one per
// character of a name), not of the wire format.
#include "bench/support/report.h"
#include "testing/support/lendingworld.h"

#include <malloc.h>

#include <algorithm>
#include <ctime>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int MaxRounds = 600; // reports per borrower
constexpr int MaxReports = 60'000; // reports of all borrowers together
constexpr double ReportsPerSecond = 10;

double processorMicroseconds()
{
    return double(std::clock()) / CLOCKS_PER_SEC * 1e6;
}

double heapBytes()
{
    return double(mallinfo2().uordblks);
}

std::size_t packedBytes(const LoanReport &report)
{
    return report.resource.size() + report.borrower.name.size() + 7 * 8 + 4;
}

std::size_t packedBytes(const LoanGrant &grant)
{
    return grant.resource.size() + 4 * 8 + 2;
}

// Averages over many copies, because the allocator still counts some freed blocks.
double heapBytesPerCopy(const Lender &lender)
{
    constexpr std::size_t CopyCount = 500;
    const double before = heapBytes();
    const std::vector<Lender> copies(CopyCount, lender);
    return (heapBytes() - before) / double(copies.size());
}

// If `planInterval` is set, the members form groups of a hundredth each, one group per team, as in
// a scheduler.
std::vector<Measure> measureLending(int members, std::int64_t units, Duration planInterval = {})
{
    constexpr int Teams = 100;
    const int rounds = std::clamp(MaxReports / members, 4, MaxRounds);
    const TimePoint start{std::chrono::hours(1)};
    std::mt19937_64 random(1);
    std::vector<Borrower> borrowers;
    borrowers.reserve(std::size_t(members));
    for (int i = 0; i < members; ++i) {
        const MemberId self{"gateway-" + std::to_string(i), 1};
        borrowers.push_back(Borrower({.resource = "slots/pricing", .self = self}));
    }
    Lender lender({.resource = "slots/pricing",
                   .capacity = units,
                   .maxBorrowers = std::size_t(members),
                   .planInterval = planInterval},
                  start);
    double lenderMicroseconds = 0;
    double borrowerMicroseconds = 0;
    std::size_t bytes = 0;
    for (int round = 0; round < rounds; ++round) {
        const TimePoint now = start + round * milliseconds(100);
        std::vector<LoanReport> reports;
        reports.reserve(borrowers.size());
        std::vector<LoanGrant> grants;
        grants.reserve(borrowers.size());
        const double startMicroseconds = processorMicroseconds();
        for (Borrower &borrower : borrowers)
            reports.push_back(borrower.makeReport(std::int64_t(random() % 20) * units / 64, now));
        const double afterReportsMicroseconds = processorMicroseconds();
        for (std::size_t i = 0; i < reports.size(); ++i) {
            if (planInterval > Duration{})
                reports[i].group = "team/" + std::to_string(i % Teams);
            // Reports arrive spread over the time between rounds.
            const TimePoint arrivedAt = now + milliseconds(100) * std::int64_t(i) / members;
            grants.push_back(lender.report(reports[i], arrivedAt));
        }
        const double afterGrantsMicroseconds = processorMicroseconds();
        for (std::size_t i = 0; i < grants.size(); ++i) {
            borrowers[i].accept(grants[i], now, now);
            bytes += packedBytes(reports[i]) + packedBytes(grants[i]);
        }
        lenderMicroseconds += afterGrantsMicroseconds - afterReportsMicroseconds;
        borrowerMicroseconds += processorMicroseconds() - afterGrantsMicroseconds
            + afterReportsMicroseconds - startMicroseconds;
    }
    const double reportCount = double(rounds) * members;
    const double perSecond = ReportsPerSecond / reportCount;
    return {{"messages_per_s_borrower", 2 * ReportsPerSecond},
            {"bytes_per_s_borrower", double(bytes) * perSecond},
            {"lender_us_per_report", lenderMicroseconds / reportCount},
            {"borrower_us_per_report", borrowerMicroseconds / reportCount},
            {"lender_core_pct", lenderMicroseconds * perSecond * members / 1e4},
            {"lender_heap_bytes_per_borrower", heapBytesPerCopy(lender) / members}};
}

std::vector<Measure> measureTable(int members, int resources)
{
    LendingWorld world({.lenders = members, .borrowers = 0, .resources = resources}, 1);
    world.run(seconds(20));
    const std::uint64_t reads = world.table().readCount();
    const std::uint64_t commits = world.table().commitCount();
    const double startMicroseconds = processorMicroseconds();
    world.run(seconds(20));
    const double perMember = 1.0 / 20 / members;
    return {
        {"reads_per_s_member", double(world.table().readCount() - reads) * perMember},
        {"writes_per_s_member", double(world.table().commitCount() - commits) * perMember},
        {"core_pct_per_member", (processorMicroseconds() - startMicroseconds) * perMember / 1e4}};
}

// Measures the time until all units that the dead owner lent are leased under its successors.
double takeoverSeconds(std::uint64_t seed)
{
    constexpr int Resources = 12;
    constexpr std::int64_t Units = 80;
    LendingWorld world({.lenders = 8, .borrowers = 8, .resources = Resources, .capacity = Units},
                       seed);
    for (int i = 0; i < Resources; ++i)
        world.setDemand(0, i, Units);
    world.run(seconds(10) + milliseconds(seed * 50));
    const TimePoint killedAt = world.time().now();
    std::vector<std::string> lostResources;
    for (const auto &[resource, lender] : world.lender(0).lenders)
        lostResources.push_back(resource);
    world.killLender(0);
    const auto isFullyLent = [&](const std::string &resource) {
        for (int i = 1; i < 8; ++i) {
            const auto found = world.lender(i).lenders.find(resource);
            if (found != world.lender(i).lenders.end())
                return found->second.unaccounted() == 0 && world.leased(resource) == Units;
        }
        return false;
    };
    while (!std::all_of(lostResources.begin(), lostResources.end(), isFullyLent))
        world.run(milliseconds(10));
    return std::chrono::duration<double>(world.time().now() - killedAt).count();
}

std::vector<Measure> measureTakeover()
{
    std::vector<double> times;
    for (std::uint64_t seed = 0; seed < 20; ++seed)
        times.push_back(takeoverSeconds(seed));
    std::sort(times.begin(), times.end());
    return {{"median_s", times[times.size() / 2]}, {"longest_s", times.back()}};
}

} // namespace
} // namespace sequoiapier

int main(int argc, char **argv)
{
    using namespace sequoiapier;
    Report report("lending", argc, argv);
    for (const int members : {2, 8, 64}) {
        for (const int units : {10, 100, 1'000}) {
            report.add("members=" + std::to_string(members) + " units=" + std::to_string(units),
                       measureLending(members, units));
        }
    }
    for (const int members : {64, 1'000, 4'500}) {
        if (members < 4'500) { // 4,500 members take a minute and more
            report.add("plain members=" + std::to_string(members) + " units=400",
                       measureLending(members, 400));
        }
        report.add("at intervals members=" + std::to_string(members) + " units=400",
                   measureLending(members, 400, std::chrono::microseconds(10)));
    }
    for (const int members : {2, 8, 64}) {
        for (const int resources : {10, 100, 1'000}) {
            report.add("table members=" + std::to_string(members)
                           + " resources=" + std::to_string(resources),
                       measureTable(members, resources));
        }
    }
    report.add("owner's death to full lending", measureTakeover());
    return report.finish();
}
