#include "azurewell/routing/retry_budget.h"

#include <algorithm>

namespace azurewell {

void countFirstAttempt(RetryBudget &budget)
{
    budget.tokens = std::min(budget.tokens + budget.earned, budget.maxSaved);
}

bool takeRetry(RetryBudget &budget)
{
    if (budget.tokens < 1.0)
        return false;
    budget.tokens -= 1.0;
    return true;
}

void returnRetry(RetryBudget &budget)
{
    budget.tokens = std::min(budget.tokens + 1.0, budget.maxSaved);
}

} // namespace azurewell
