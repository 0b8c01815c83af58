#include <cardamompost/policy/cp_response_time_tracker.hpp>

#include <algorithm>
#include <cmath>

namespace cardamompost
{

namespace
{

// RFC 6298's gains.
constexpr double meanGain = 0.125;
constexpr double deviationGain = 0.25;
// Work times that are spread like an exponential distribution exceed this once in some 8,000 requests.
constexpr double deviations = 10;
// Before so many answers, what is known says little.
constexpr unsigned enoughSamples = 8;
// Guards against giving up on servers that merely stand still for a moment, as with a quota of processor time.
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
    samples_ = std::min(samples_ + 1, enoughSamples);
}

Milliseconds ResponseTimeTracker::responseTimeout(Milliseconds timeLeft) const
{
    const Milliseconds half = timeLeft / 2;
    if (samples_ < enoughSamples) {
        return half;
    }
    const auto usual = Milliseconds(static_cast<std::int64_t>(mean_ + deviations * deviation_));
    return std::min(std::max(usual, minResponseTimeout), half);
}

} // namespace cardamompost
