#include "cp_load_meter.hpp"

#include <algorithm>
#include <cmath>

namespace cardamompost
{

namespace
{

constexpr double permillePerUnit = 1000;

double toSeconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void LoadMeter::record(TimePoint now, std::chrono::nanoseconds processorTime, std::chrono::nanoseconds waited)
{
    waited_ += std::max(waited, std::chrono::nanoseconds(0));
    const std::chrono::nanoseconds elapsed = now - intervalStart_;
    if (hasStarted_ && elapsed < minInterval) {
        return;
    }
    if (hasStarted_) {
        const double used = toSeconds(processorTime - processorTimeAtStart_) / processorShare_ + toSeconds(waited_);
        const double current = std::clamp(used / toSeconds(elapsed), 0.0, maxLoad);
        const double weight = hasLoad_ ? 1 - std::exp(-toSeconds(elapsed) / toSeconds(smoothingTime)) : 1;
        load_ += weight * (current - load_);
        hasLoad_ = true;
    }
    hasStarted_ = true;
    intervalStart_ = now;
    processorTimeAtStart_ = processorTime;
    waited_ = std::chrono::nanoseconds(0);
}

std::uint16_t LoadMeter::permille() const
{
    if (!hasLoad_) {
        return 0;
    }
    return static_cast<std::uint16_t>(std::max(1.0, std::round(load_ * permillePerUnit)));
}

} // namespace cardamompost
