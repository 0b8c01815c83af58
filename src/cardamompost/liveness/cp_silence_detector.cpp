#include <cardamompost/liveness/cp_silence_detector.hpp>

#include <algorithm>
#include <cmath>

namespace cardamompost
{

namespace
{

// The longest gap is worth half after this, so that one bad moment does not slow the next notice for minutes.
constexpr double halfLifeMs = 10'000;
// A silence is suspicious from so many times the longest gap on.
constexpr double margin = 1.5;

} // namespace

void SilenceDetector::observe(TimePoint now)
{
    if (isKnown_) {
        const double gapMs = std::chrono::duration<double, std::milli>(now - last_).count();
        longestMs_ = std::max(gapMs, longestMs_ * std::exp2(-gapMs / halfLifeMs));
    }
    isKnown_ = true;
    last_ = now;
}

void SilenceDetector::restart(TimePoint now)
{
    longestMs_ = 0;
    isKnown_ = true;
    last_ = now;
}

Milliseconds SilenceDetector::suspicionTimeout() const
{
    if (!isKnown_) {
        return bounds_.ceiling;
    }
    const Milliseconds usual(static_cast<std::int64_t>(longestMs_ * margin));
    return std::clamp(usual, std::min(bounds_.floor, bounds_.ceiling), bounds_.ceiling);
}

} // namespace cardamompost
