#include "azurewell/routing/retry_budget.h"

#include <algorithm>

namespace azurewell {

void countFirstTry(RetryBudget &budget)
{
    budget.tokens = std::min(budget.tokens + budget.earned, budget.mostSaved);
}

bool takeRetry(RetryBudget &budget)
{
    if (budget.tokens < 1.0)
        return false;
    budget.tokens -= 1.0;
    return true;
}

void giveBackRetry(RetryBudget &budget)
{
    budget.tokens = std::min(budget.tokens + 1.0, budget.mostSaved);
}

} // namespace azurewell
