// RetryBudget: bounds the retries of a service to a fraction of its successes, so that an overload
// is not amplified.
//
//   RetryBudget budget({});
//   budget.onSuccess();
//   if (budget.tryTake(now))
//       sendAgain();
//
// A trickle lets a service with little traffic retry, too. O(1).
#pragma once

#include "sequoiapier/bootclock.h"

namespace sequoiapier {

class RetryBudget
{
public:
    struct Options
    {
        double perSuccess = 0.2; // retries earned by one success
        double perSecond = 1; // retries earned by time
        double maxSaved = 20; // retries; also what it starts with
    };

    explicit RetryBudget(Options options);

    void onSuccess();
    // Takes one retry if there is one.
    bool tryTake(TimePoint now);

private:
    Options m_options;
    double m_saved;
    TimePoint m_earnedUntil;
};

} // namespace sequoiapier
