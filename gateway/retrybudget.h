// RetryBudget: limits the retries of a service to a fraction of its successes, so that retries do
// not amplify an overload.
//
//   RetryBudget budget({});
//   budget.onSuccess();
//   if (budget.tryTake(now))
//       sendAgain();
//
// A small rate earned by time lets a service with little traffic retry, too. All operations are
// O(1).
#pragma once

#include "sequoiapier/bootclock.h"

namespace sequoiapier {

class RetryBudget
{
public:
    struct Options
    {
        double perSuccess = 0.2; // retries earned per success
        double perSecond = 1; // retries earned per second
        double maxTokens = 20; // maximum and initial number of saved retries
    };

    explicit RetryBudget(Options options);

    void onSuccess();
    // Takes one retry from the budget. Returns false if less than one is left.
    bool tryTake(TimePoint now);

private:
    Options m_options;
    double m_tokens;
    TimePoint m_lastRefill;
};

} // namespace sequoiapier
