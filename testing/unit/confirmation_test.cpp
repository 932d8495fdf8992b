#include "sequoiapier/confirmation.h"

#include <gtest/gtest.h>

namespace sequoiapier {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{1h};

TEST(Confirmation, ChainHoldsForTheStaleness)
{
    Confirmation confirmation({.staleness = 4s});
    EXPECT_FALSE(confirmation.isConfirmed(Start, 3));
    confirmation.confirm(Start, 3);
    EXPECT_TRUE(confirmation.isConfirmed(Start + 4s - 1us, 3));
    EXPECT_TRUE(confirmation.isConfirmed(Start, 4)) << "a version above the confirmed one";
    EXPECT_FALSE(confirmation.isConfirmed(Start, 2)) << "a version below the confirmed one";
    EXPECT_FALSE(confirmation.isConfirmed(Start + 4s, 3));
    confirmation.confirm(Start - 1s, 3);
    EXPECT_TRUE(confirmation.isConfirmed(Start + 4s - 1us, 3)) << "an older chain came late";
}

TEST(Confirmation, DropIgnoresWhatWasAskedBefore)
{
    Confirmation confirmation({.staleness = 4s});
    confirmation.confirm(Start, 3);
    confirmation.drop(Start + 1s);
    EXPECT_FALSE(confirmation.isConfirmed(Start + 1s, 3));
    confirmation.confirm(Start + 1s - 1us, 3);
    confirmation.vouch("g2", Start, 3);
    EXPECT_FALSE(confirmation.isConfirmed(Start + 1s, 3));
    confirmation.confirm(Start + 1s, 3);
    EXPECT_TRUE(confirmation.isConfirmed(Start + 1s, 3));
}

class Quorum : public testing::Test
{
protected:
    Quorum()
        : m_confirmation({.staleness = 4s, .maxOutage = 1h})
    {
        m_confirmation.setVoter(true);
        m_confirmation.setMaxVoters(5);
        m_confirmation.confirm(Start, 3);
    }

    Confirmation m_confirmation;
    TimePoint m_now = Start + 10min;
};

TEST_F(Quorum, NeedsAMajorityWithItself)
{
    m_confirmation.vouch("g2", m_now, 3);
    m_confirmation.vouch("g2", m_now, 3);
    EXPECT_FALSE(m_confirmation.isConfirmed(m_now, 3)) << "two of five";
    m_confirmation.vouch("g3", m_now, 2);
    EXPECT_TRUE(m_confirmation.isConfirmed(m_now, 3)) << "three of five";
    EXPECT_FALSE(m_confirmation.isConfirmed(m_now + 4s, 3));
}

TEST_F(Quorum, VoterWithHigherVersionDoesNotCount)
{
    m_confirmation.vouch("g2", m_now, 3);
    m_confirmation.vouch("g3", m_now, 4);
    EXPECT_FALSE(m_confirmation.isConfirmed(m_now, 3));
}

TEST_F(Quorum, EndsAtTheLongestOutage)
{
    for (const char *voter : {"g2", "g3", "g4"})
        m_confirmation.vouch(voter, Start + 1h, 3);
    EXPECT_TRUE(m_confirmation.isConfirmed(Start + 1h - 1us, 3));
    EXPECT_FALSE(m_confirmation.isConfirmed(Start + 1h, 3));
}

TEST_F(Quorum, IsOffWithoutABoundOnVoters)
{
    m_confirmation.setMaxVoters(0);
    for (const char *voter : {"g2", "g3", "g4", "g5"})
        m_confirmation.vouch(voter, m_now, 3);
    EXPECT_FALSE(m_confirmation.isConfirmed(m_now, 3));
}

TEST_F(Quorum, ARestartedVoterDoesNotVouch)
{
    Confirmation restarted({.maxOutage = 1h});
    restarted.setVoter(true);
    EXPECT_FALSE(restarted.canVouch(m_now));
    EXPECT_TRUE(m_confirmation.canVouch(m_now));
    m_confirmation.drop(m_now);
    EXPECT_TRUE(m_confirmation.canVouch(m_now)) << "a pause forgets no version";
}

} // namespace
} // namespace sequoiapier
