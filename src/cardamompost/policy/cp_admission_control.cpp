#include <cardamompost/policy/cp_admission_control.hpp>

#include <algorithm>
#include <cmath>

namespace cardamompost
{

namespace
{

constexpr Milliseconds rateWindow {2000};
// Rates that were measured for a shorter time are not used.
constexpr Milliseconds minMeasuredTime {1000};
// Share of the time to a program's target that its first turn may wait; the rest is for the service itself.
constexpr double maxWaitShare = 0.25;
// Stands for all longer waits.
constexpr Milliseconds maxExpectedWait {60'000};
constexpr Milliseconds minRetryAfter {300};
constexpr Milliseconds maxRetryAfter {10'000};

} // namespace

void AdmissionControl::onReleased(const std::string &service, TimePoint now)
{
    drain(service, now).released.add(now, rateWindow);
}

void AdmissionControl::onPlaced(const std::string &service, const TurnClass &turnClass, TimePoint now)
{
    drain(service, now).placed[turnClass].add(now, rateWindow);
}

void AdmissionControl::clear()
{
    drains_.clear();
}

AdmissionControl::Drain &AdmissionControl::drain(const std::string &service, TimePoint now)
{
    const auto [found, isNew] = drains_.try_emplace(service);
    if (isNew) {
        found->second.measuredSince = now;
    }
    return found->second;
}

std::optional<Milliseconds> AdmissionControl::expectedWait(const std::string &service, const TurnClass &turnClass,
                                                           std::size_t turnsAhead, TimePoint now) const
{
    const auto found = drains_.find(service);
    if (found == drains_.end() || now - found->second.measuredSince < minMeasuredTime) {
        return std::nullopt;
    }
    const Drain &drain = found->second;
    double perSecond = drain.released.perSecond(now, rateWindow);
    for (const auto &[placedClass, rate] : drain.placed) {
        if (!(placedClass < turnClass)) {
            break;
        }
        perSecond -= rate.perSecond(now, rateWindow);
    }
    // The means start at 0.
    const std::chrono::duration<double> measured = now - drain.measuredSince;
    perSecond /= 1 - std::exp(-measured / std::chrono::duration<double>(rateWindow));
    const double waitMs = 1000.0 * static_cast<double>(turnsAhead + 1) / std::max(perSecond, 0.001);
    return Milliseconds(static_cast<std::int64_t>(std::min(waitMs, static_cast<double>(maxExpectedWait.count()))));
}

std::optional<AdmissionRefusal> AdmissionControl::refuse(const AdmissionRequest &request, TimePoint now)
{
    if (request.hasRoom) {
        return std::nullopt;
    }
    const std::optional<Milliseconds> wait = expectedWait(request.service, request.turnClass, request.turnsAhead, now);
    if (!wait) {
        return std::nullopt;
    }
    AdmissionRefusal refusal;
    refusal.turnsAhead = request.turnsAhead;
    refusal.expectedWait = *wait;
    refusal.slack = maxQueueTime;
    if (request.programTimeLeft) {
        const Milliseconds forWaiting(
            static_cast<std::int64_t>(maxWaitShare * static_cast<double>(request.programTimeLeft->count())));
        refusal.reason = forWaiting < maxQueueTime ? AdmissionReason::TooLate : AdmissionReason::QueueTooLong;
        refusal.slack = std::clamp(forWaiting, Milliseconds(0), maxQueueTime);
    }
    if (*wait <= refusal.slack) {
        return std::nullopt;
    }
    // Spread, so that refused programs don't all come back at once.
    const Milliseconds drained = *wait - refusal.slack;
    const Milliseconds spread(std::uniform_int_distribution<std::int64_t>(0, drained.count())(random_));
    refusal.retryAfter = std::clamp(drained + spread, minRetryAfter, maxRetryAfter);
    return refusal;
}

} // namespace cardamompost
