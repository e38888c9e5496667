#pragma once

#include <algorithm>

namespace endiveshore::daemon {

/// Limits retries to a fraction of the traffic of one service, so that retries cannot multiply an overload.
class RetryBudget
{
public:
    /// Adds the share of one first attempt.
    void recordAttempt()
    {
        this->tokens = std::min(MaxTokens, this->tokens + RetryFraction);
    }

    /// Takes one retry; false if the budget is spent.
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
    // Covers one failover of a database with a few dozen waiting callers.
    static constexpr double MaxTokens = 50;
    double tokens = MaxTokens;
};

}
