#include <cardamompost/limits/cp_retry_budget.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

constexpr double retryCost = 1.0;

} // namespace

RetryBudget::RetryBudget(double retriesPerAttempt, double burst)
    : retriesPerAttempt_(retriesPerAttempt)
    , burst_(burst)
    , tokens_(burst)
{
}

void RetryBudget::onFirstAttempt()
{
    tokens_ = std::min(burst_, tokens_ + retriesPerAttempt_);
}

bool RetryBudget::mayRetry() const
{
    return tokens_ >= retryCost;
}

bool RetryBudget::tryRetry()
{
    if (!mayRetry()) {
        return false;
    }
    tokens_ -= retryCost;
    return true;
}

} // namespace cardamompost
