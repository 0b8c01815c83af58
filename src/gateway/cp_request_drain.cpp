#include "cp_request_drain.hpp"

namespace cardamompost
{

namespace
{

constexpr unsigned statusUnavailable = 503;
// Another entry can take the request at once.
constexpr Milliseconds retryElsewhereAfter {20};
// A request may take this many times as long as the slowest recent one of its route.
constexpr int slownessAllowance = 2;
// Share of the time limit that a request is expected to take if no other one of its route has ended recently.
constexpr int unknownTimeDivisor = 4;

TimePoint timeNow()
{
    return std::chrono::steady_clock::now();
}

Milliseconds toMilliseconds(TimePoint::duration time)
{
    return std::chrono::duration_cast<Milliseconds>(time);
}

} // namespace

RequestDrain::RequestDrain(Parts parts)
    : parts_(parts)
    , refused_(parts.metrics.counter("cardamompost_requests_refused_total", {{"reason", "shutting-down"}}))
    , givenUp_(parts.metrics.counter("cardamompost_requests_given_up_at_shutdown_total"))
{
}

void RequestDrain::remove(ForwardedRequest &request)
{
    inFlight_.erase(&request);
    if (request.route != nullptr && request.runs > 0) {
        const TimePoint now = timeNow();
        completionTimes_[request.route->name].observe(toMilliseconds(now - request.arrived), now);
    }
}

void RequestDrain::forgetRoutesExcept(const RouteTable &table)
{
    std::erase_if(completionTimes_, [&](const auto &item) { return !table.hasRoute(item.first); });
}

void RequestDrain::begin(TimePoint now, const DrainSchedule &schedule)
{
    responsesDue_ = now + schedule.responseTime;
    streamEstimatesUntil_ = now + schedule.streamEstimateTime;
    for (ForwardedRequest *request : inFlight_) {
        request->deadline = std::min(request->deadline, *responsesDue_);
    }
}

Milliseconds RequestDrain::expectedTime(const ForwardedRequest &request, TimePoint now) const
{
    const Milliseconds timeLeft = toMilliseconds(request.callerDeadline - now);
    const bool isLateStream = request.route->kind == RouteKind::Streaming && now >= streamEstimatesUntil_;
    if (isLateStream || parts_.settings.drainForwarding == DrainForwarding::Certain) {
        return timeLeft;
    }
    const auto found = completionTimes_.find(request.route->name);
    std::optional<Milliseconds> longest = found == completionTimes_.end() ? std::nullopt : found->second.longest(now);
    // Servers that have become slow show first in requests that have not ended.
    for (const ForwardedRequest *other : inFlight_) {
        if (other != &request && other->route != nullptr && other->route->name == request.route->name) {
            longest = std::max(longest, std::optional(toMilliseconds(now - other->arrived)));
        }
    }
    const Milliseconds expected = longest ? *longest * slownessAllowance : timeLeft / unknownTimeDivisor;
    return std::min(timeLeft, expected);
}

std::optional<LocalResponse> RequestDrain::check(ForwardedRequest &request)
{
    if (!responsesDue_) {
        return std::nullopt;
    }
    const TimePoint now = timeNow();
    if (now + expectedTime(request, now) > *responsesDue_) {
        refused_.add();
        return LocalResponse {statusUnavailable, "the entry is shutting down", retryElsewhereAfter};
    }
    request.deadline = std::min(request.deadline, *responsesDue_);
    return std::nullopt;
}

void RequestDrain::giveUp()
{
    for (ForwardedRequest *request : inFlight_) {
        if (!request->isGivenUp) {
            request->isGivenUp = true;
            givenUp_.add();
            parts_.log.warn("request.given_up",
                            {{"id", request->metadata.id},
                             {"ms", toMilliseconds(timeNow() - request->arrived).count()},
                             {"backend", request->lastBackend}});
        }
        request->stopWaiting(BeginFailure::ShuttingDown);
    }
}

} // namespace cardamompost
