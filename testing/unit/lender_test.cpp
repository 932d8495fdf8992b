#include "sequoiapier/borrower.h"
#include "sequoiapier/lender.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{std::chrono::hours(1)};
const MemberId GatewayA{"gateway-a", 1};
const MemberId GatewayB{"gateway-b", 1};

Lender::Options lenderOptions()
{
    return {.resource = "slots", .capacity = 10};
}

Borrower makeBorrower(const MemberId &self)
{
    return Borrower({.resource = "slots", .self = self});
}

// Delivers one report and its grant without loss or delay.
ResultCode exchange(Borrower &borrower, Lender &lender, std::int64_t wanted, TimePoint now)
{
    const LoanGrant grant = lender.report(borrower.makeReport(wanted, now), now);
    return borrower.accept(grant, now, now);
}

std::int64_t acquireAll(Borrower &borrower, TimePoint now)
{
    std::int64_t units = 0;
    while (borrower.tryAcquire(now))
        ++units;
    return units;
}

// A lender whose units are all held by borrower `a`, while `b` has not reported yet.
struct FullLender
{
    Lender lender{lenderOptions(), Start};
    Borrower a = makeBorrower(GatewayA);
    Borrower b = makeBorrower(GatewayB);

    FullLender() { exchange(a, lender, 10, Start); }
};

TEST(Lender, UnitsMoveOnceTheirReturnIsShown)
{
    auto [lender, a, b] = FullLender();
    EXPECT_EQ(a.held(), 10);
    exchange(b, lender, 10, Start);
    EXPECT_EQ(b.held(), 0);
    exchange(a, lender, 10, Start);
    EXPECT_EQ(a.held(), 5);
    exchange(b, lender, 10, Start);
    EXPECT_EQ(b.held(), 0);
    exchange(a, lender, 10, Start);
    exchange(b, lender, 10, Start);
    EXPECT_EQ(b.held(), 5);
}

TEST(Lender, UnitsInUseStayWithTheBorrowerUntilReleased)
{
    auto [lender, a, b] = FullLender();
    EXPECT_EQ(acquireAll(a, Start), 10);
    for (int i = 0; i < 3; ++i) {
        exchange(b, lender, 10, Start);
        exchange(a, lender, 10, Start);
    }
    EXPECT_EQ(b.held(), 0);
    EXPECT_FALSE(a.tryAcquire(Start));
    a.release(Start, 5);
    EXPECT_FALSE(a.tryAcquire(Start));
    exchange(a, lender, 10, Start);
    exchange(b, lender, 10, Start);
    EXPECT_EQ(b.held(), 5);
}

TEST(Lender, RepeatedAndOldReportsChangeNothing)
{
    Lender lender(lenderOptions(), Start);
    Borrower a = makeBorrower(GatewayA);
    const LoanReport first = a.makeReport(4, Start);
    const LoanReport second = a.makeReport(6, Start);
    const LoanGrant grant = lender.report(second, Start);
    EXPECT_EQ(lender.report(first, Start).code, ResultCode::EpochStale);
    EXPECT_EQ(lender.report(second, Start + seconds(1)).amount, grant.amount);
    EXPECT_EQ(lender.lent(), 10);
}

TEST(Lender, ReclaimsUnitsAfterLongestWorkOrWorkEnded)
{
    Lender::Options options = lenderOptions();
    options.longestWork = seconds(60);
    for (const bool isShown : {false, true}) {
        Lender lender(options, Start);
        Borrower a = makeBorrower(GatewayA);
        exchange(a, lender, 10, Start);
        const TimePoint expiry = Start + options.term;
        lender.workEnded(GatewayA, 0, expiry - milliseconds(1));
        lender.tick(expiry + seconds(59));
        EXPECT_EQ(lender.lent(), 10);
        if (isShown) {
            lender.workEnded(GatewayA, 2, expiry + seconds(59));
            EXPECT_EQ(lender.lent(), 2);
        }
        lender.tick(expiry + seconds(60));
        EXPECT_EQ(lender.lent(), 0);
    }
}

TEST(Lender, BoundsItsBorrowersAndRefusesOtherResources)
{
    Lender::Options options = lenderOptions();
    options.maxBorrowers = 1;
    Lender lender(options, Start);
    Borrower a = makeBorrower(GatewayA);
    Borrower b = makeBorrower(GatewayB);
    EXPECT_EQ(exchange(a, lender, 1, Start), ResultCode::Ok);
    EXPECT_EQ(exchange(b, lender, 1, Start), ResultCode::CapacityExceeded);
    Borrower other({.resource = "spare", .self = GatewayA});
    EXPECT_EQ(lender.report(other.makeReport(1, Start), Start).code, ResultCode::NotFound);
}

TEST(Lender, SuccessorWaitsForAllBorrowersOrTheOldTerms)
{
    Lender::Options options = lenderOptions();
    Lender first(options, Start);
    Borrower a = makeBorrower(GatewayA);
    exchange(a, first, 10, Start);
    options.epoch = 2;
    options.outageTerm = seconds(30);
    options.priorCapacity = 10;
    options.priorBorrowers = {GatewayA, GatewayB};
    Lender second(options, Start);
    Borrower b = makeBorrower(GatewayB);
    exchange(a, second, 4, Start);
    exchange(a, second, 4, Start);
    EXPECT_EQ(second.unaccounted(), 0);
    EXPECT_EQ(first.report(a.makeReport(9, Start), Start).code, ResultCode::EpochStale);
    EXPECT_TRUE(first.isSuperseded());

    Lender third(options, Start);
    exchange(b, third, 4, Start);
    exchange(b, third, 4, Start);
    EXPECT_EQ(b.held(), 0);
    third.tick(Start + seconds(30));
    EXPECT_EQ(third.unaccounted(), 10);
    third.tick(Start + seconds(31));
    EXPECT_EQ(third.unaccounted(), 0);
}

TEST(Lender, SuccessorKeepsTheLoanOfABorrowerThatKnewItsEpochAlready)
{
    Lender::Options options = lenderOptions();
    Lender first(options, Start);
    Borrower a = makeBorrower(GatewayA);
    exchange(a, first, 6, Start);
    options.epoch = 2;
    options.priorCapacity = 10;
    options.priorBorrowers = {GatewayA, GatewayB};
    Lender second(options, Start);
    a.requireEpoch(2);
    exchange(a, second, 6, Start);
    EXPECT_EQ(a.held(), 10);
    EXPECT_EQ(second.lent(), 10);
}

TEST(Lender, LendsOnPastItsOwnershipForTheOutageTermOnly)
{
    Lender::Options options = lenderOptions();
    options.outageTerm = seconds(600);
    Lender lender(options, Start);
    lender.setOwnedUntil(Start + seconds(3));
    Borrower a = makeBorrower(GatewayA);
    Borrower b = makeBorrower(GatewayB);
    exchange(a, lender, 5, Start + seconds(100));
    lender.tick(Start + seconds(602));
    EXPECT_EQ(lender.lent(), 10);
    EXPECT_EQ(exchange(b, lender, 5, Start + seconds(603)), ResultCode::NotOwner);
    EXPECT_TRUE(a.tryAcquire(Start + seconds(590)));
    EXPECT_FALSE(a.tryAcquire(Start + seconds(603)));
}

// A region borrows from the fleet and lends what it holds to its gateways.
TEST(Lender, BorrowedUnitsCanBeLentOn)
{
    Lender fleet(lenderOptions(), Start);
    Borrower region({.resource = "slots", .self = {"region-1", 1}});
    Borrower otherRegion({.resource = "slots", .self = {"region-2", 1}});
    Lender regional({.resource = "slots", .capacity = 0}, Start);
    Borrower gateway = makeBorrower(GatewayA);
    const auto exchangeBoth = [&](std::int64_t wanted) {
        exchange(gateway, regional, wanted, Start);
        region.setInUse(regional.lent());
        exchange(region, fleet, regional.wanted(), Start);
        regional.setCapacity(region.held());
    };
    for (int i = 0; i < 3; ++i)
        exchangeBoth(8);
    EXPECT_EQ(gateway.held(), 10);
    for (int i = 0; i < 4; ++i) {
        exchange(otherRegion, fleet, 10, Start);
        exchangeBoth(8);
    }
    EXPECT_EQ(gateway.held(), 5);
    EXPECT_EQ(otherRegion.held(), 5);
}

TEST(Borrower, LeaseCountsFromTheSendOfTheReportLessTheMargin)
{
    Lender lender(lenderOptions(), Start);
    Borrower a = makeBorrower(GatewayA);
    const LoanGrant grant = lender.report(a.makeReport(5, Start), Start + seconds(1));
    EXPECT_EQ(a.accept(grant, Start, Start + seconds(2)), ResultCode::Ok);
    EXPECT_EQ(a.leaseEnd(), Start + milliseconds(2'970));
    EXPECT_TRUE(a.tryAcquire(Start + milliseconds(2'969)));
    EXPECT_FALSE(a.tryAcquire(Start + milliseconds(2'970)));
    EXPECT_EQ(a.inUse(), 1);
}

TEST(Borrower, OnlyTheAnswerToTheLatestReportRaises)
{
    Lender lender(lenderOptions(), Start);
    Borrower a = makeBorrower(GatewayA);
    const LoanGrant grant = lender.report(a.makeReport(5, Start), Start);
    a.makeReport(5, Start);
    EXPECT_EQ(a.accept(grant, Start, Start), ResultCode::Ok);
    EXPECT_EQ(a.held(), 0);
    EXPECT_EQ(a.accept(grant, Start, Start), ResultCode::EpochStale);
}

TEST(Borrower, EarlierEpochsAndDroppedLeasesGiveNothing)
{
    Lender lender(lenderOptions(), Start);
    Borrower a = makeBorrower(GatewayA);
    exchange(a, lender, 5, Start);
    a.dropLease();
    EXPECT_FALSE(a.tryAcquire(Start));
    a.requireEpoch(2);
    const LoanGrant grant = lender.report(a.makeReport(5, Start), Start);
    EXPECT_EQ(grant.code, ResultCode::EpochStale);
    EXPECT_NE(a.accept(grant, Start, Start), ResultCode::Ok);
    EXPECT_FALSE(a.tryAcquire(Start));
}

} // namespace
} // namespace sequoiapier
