#include <cardamompost/policy/cp_response_time_tracker.hpp>

#include <algorithm>
#include <cmath>

namespace cardamompost
{

namespace
{

// Gains of RFC 6298.
constexpr double meanGain = 0.125;
constexpr double deviationGain = 0.25;
// An exponentially distributed service time exceeds the timeout once in some 8,000 requests.
constexpr double deviationFactor = 10;
constexpr unsigned minSamples = 8;
// Tolerates short stalls of a server, such as CPU throttling.
constexpr Milliseconds minResponseTimeout {200};

} // namespace

void ResponseTimeTracker::observe(Milliseconds time)
{
    const auto ms = static_cast<double>(time.count());
    if (samples_ == 0) {
        mean_ = ms;
        deviation_ = ms / 2;
    } else {
        deviation_ += deviationGain * (std::abs(ms - mean_) - deviation_);
        mean_ += meanGain * (ms - mean_);
    }
    samples_ = std::min(samples_ + 1, minSamples);
}

Milliseconds ResponseTimeTracker::responseTimeout(Milliseconds timeLeft) const
{
    const Milliseconds half = timeLeft / 2;
    if (samples_ < minSamples) {
        return half;
    }
    const auto estimate = Milliseconds(static_cast<std::int64_t>(mean_ + deviationFactor * deviation_));
    return std::min(std::max(estimate, minResponseTimeout), half);
}

} // namespace cardamompost
