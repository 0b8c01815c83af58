#include <cardamompost/liveness/cp_failure_detector.hpp>

#include <algorithm>
#include <cmath>

namespace cardamompost
{

namespace
{

// Half-life of the longest gap, so that a single long pause does not delay later detections.
constexpr double halfLifeMs = 10'000;
// Ratio of the suspicion timeout to the longest gap.
constexpr double margin = 1.5;

} // namespace

void FailureDetector::observe(TimePoint now)
{
    if (hasContact_) {
        const double gapMs = std::chrono::duration<double, std::milli>(now - lastContact_).count();
        longestGapMs_ = std::max(gapMs, longestGapMs_ * std::exp2(-gapMs / halfLifeMs));
    }
    hasContact_ = true;
    lastContact_ = now;
}

void FailureDetector::restart(TimePoint now)
{
    longestGapMs_ = 0;
    hasContact_ = true;
    lastContact_ = now;
}

Milliseconds FailureDetector::suspicionTimeout() const
{
    if (!hasContact_) {
        return bounds_.ceiling;
    }
    const Milliseconds unclamped(static_cast<std::int64_t>(longestGapMs_ * margin));
    return std::clamp(unclamped, std::min(bounds_.floor, bounds_.ceiling), bounds_.ceiling);
}

} // namespace cardamompost
