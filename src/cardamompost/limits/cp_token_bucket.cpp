#include <cardamompost/limits/cp_token_bucket.hpp>

#include <algorithm>
#include <cmath>

namespace cardamompost
{

TokenBucket::TokenBucket(double perSecond, double burst, TimePoint now)
    : perSecond_(perSecond)
    , burst_(burst)
    , tokens_(burst)
    , refilled_(now)
{
}

void TokenBucket::refill(TimePoint now)
{
    if (now > refilled_) {
        const double seconds = std::chrono::duration<double>(now - refilled_).count();
        tokens_ = std::min(burst_, tokens_ + seconds * perSecond_);
        refilled_ = now;
    }
}

bool TokenBucket::tryTake(double tokens, TimePoint now)
{
    refill(now);
    if (tokens_ < tokens) {
        return false;
    }
    tokens_ -= tokens;
    return true;
}

Milliseconds TokenBucket::timeUntil(double tokens, TimePoint now) const
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - refilled_).count());
    const double missing = tokens - std::min(burst_, tokens_ + seconds * perSecond_);
    return Milliseconds(missing <= 0 ? 0 : static_cast<std::int64_t>(std::ceil(missing / perSecond_ * 1000.0)));
}

void TokenBucket::setRate(double perSecond, double burst, TimePoint now)
{
    refill(now);
    perSecond_ = perSecond;
    burst_ = burst;
    tokens_ = std::min(tokens_, burst_);
}

} // namespace cardamompost
