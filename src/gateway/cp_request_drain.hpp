#ifndef CARDAMOMPOST_CP_REQUEST_DRAIN_HPP_INCLUDED
#define CARDAMOMPOST_CP_REQUEST_DRAIN_HPP_INCLUDED

#include "cp_forwarded_request.hpp"
#include "cp_gateway_settings.hpp"

#include <cardamompost/observe/cp_event_log.hpp>
#include <cardamompost/policy/cp_completion_times.hpp>
#include <cardamompost/policy/cp_drain_schedule.hpp>

#include <unordered_set>

namespace cardamompost
{

//! Knows the requests in flight, and gives each its final response before the process ends.
//!
//! Once the process is told to stop, a request is forwarded only if it is expected to end in time. The others are
//! refused at once, so that their callers can use another entry. Thread-safety: none.
class RequestDrain
{
public:
    struct Parts {
        const GatewaySettings &settings;
        EventLog &log;
        MetricRegistry &metrics;
    };

    explicit RequestDrain(Parts parts);

    void add(ForwardedRequest &request)
    {
        inFlight_.insert(&request);
    }
    //! Removes a request that has its final response, and learns from the time it took.
    void remove(ForwardedRequest &request);
    [[nodiscard]] const std::unordered_set<ForwardedRequest *> &inFlight() const
    {
        return inFlight_;
    }
    void forgetRoutesExcept(const RouteTable &table);

    //! Starts the drain.
    void begin(TimePoint now, const DrainSchedule &schedule);
    //! The response to a request that must not be forwarded; nothing if it may be. Shortens the deadline of one that
    //! is forwarded during a drain.
    [[nodiscard]] std::optional<LocalResponse> check(ForwardedRequest &request);
    //! Ends the waits of all requests, which makes them respond. To be repeated until none is in flight.
    void giveUp();

private:
    //! Time that a request is expected to take from now on.
    [[nodiscard]] Milliseconds expectedTime(const ForwardedRequest &request, TimePoint now) const;

    Parts parts_;
    std::unordered_set<ForwardedRequest *> inFlight_;
    //! Keyed by route name.
    std::unordered_map<std::string, CompletionTimes> completionTimes_;
    //! When all requests get their final response; set during a drain.
    std::optional<TimePoint> responsesDue_;
    TimePoint streamEstimatesUntil_ = TimePoint::max();
    Counter &refused_;
    Counter &givenUp_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_REQUEST_DRAIN_HPP_INCLUDED
