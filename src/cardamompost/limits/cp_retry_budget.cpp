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
    // Guards against a retry storm: when every replica of a deployment answers late, each timeout would
    // start another attempt and the replicas never catch up. An empty bucket ends that, because retries
    // can then come no faster than callers bring new first attempts.
    if (!mayRetry()) {
        return false;
    }
    tokens_ -= retryCost;
    return true;
}

} // namespace cardamompost
