#pragma once

#include <algorithm>

namespace endiveshore::daemon {

/// Limits retries to a fraction of the requests of one service, so that retries do not amplify an overload.
class RetryBudget
{
public:
    /// Adds the retry allowance earned by a first attempt.
    void recordAttempt()
    {
        this->tokens = std::min(MaxTokens, this->tokens + RetryFraction);
    }

    /// Takes one retry from the budget; false if the budget is used up.
    bool takeRetry()
    {
        if (this->tokens < 1) {
            return false;
        }
        this->tokens -= 1;
        return true;
    }

private:
    static constexpr double RetryFraction = 0.1;
    // Enough for one failover of a database with a few dozen waiting callers.
    static constexpr double MaxTokens = 50;
    double tokens = MaxTokens;
};

}
