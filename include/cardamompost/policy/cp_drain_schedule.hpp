#ifndef CARDAMOMPOST_CP_DRAIN_SCHEDULE_HPP_INCLUDED
#define CARDAMOMPOST_CP_DRAIN_SCHEDULE_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <algorithm>
#include <optional>

namespace cardamompost
{

//! The stages of a process's shutdown, as times from the signal on. They fit into any grace period.
struct DrainSchedule {
    //! Streams are forwarded on an estimate of their time until then, and later only if their deadline passes in time:
    //! a stream that has begun can't get another final response.
    Milliseconds streamEstimateTime;
    //! Connections are accepted until then, from callers whose cached directory response lists the process.
    Milliseconds acceptTime;
    //! The process ends from then on, once it is idle.
    Milliseconds earliestExitTime;
    //! Requests in flight get their final response then.
    Milliseconds responseTime;
    //! The process ends then, even if a caller has not taken its response.
    Milliseconds exitTime;

    static constexpr Milliseconds maxStreamEstimateTime {2900};
    static constexpr Milliseconds maxAcceptTime {3700};
    //! For responses and closed connections in transit.
    static constexpr Milliseconds closeTime {500};
    //! Reserved for writing the final responses and reporting them to the ledger.
    static constexpr Milliseconds maxResponseMargin {600};
    //! Reserved for the end of the process, which may get little processor time.
    static constexpr Milliseconds maxExitMargin {200};
    //! Largest share of the grace period that a margin takes.
    static constexpr int responseMarginDivisor = 8;
    static constexpr int exitMarginDivisor = 24;

    //! \param grace  time from the signal until the process is killed
    static constexpr DrainSchedule forGrace(Milliseconds grace)
    {
        const Milliseconds responseTime = grace - std::min(maxResponseMargin, grace / responseMarginDivisor);
        const Milliseconds exitTime = grace - std::min(maxExitMargin, grace / exitMarginDivisor);
        const Milliseconds acceptTime = std::min(maxAcceptTime, responseTime / 2);
        const Milliseconds streamEstimateTime = std::min(maxStreamEstimateTime, acceptTime);
        return {streamEstimateTime, acceptTime, std::min(acceptTime + closeTime, responseTime), responseTime, exitTime};
    }
};

//! Where a shutdown stands in its schedule. Thread-safety: none.
class DrainProgress
{
public:
    DrainProgress(TimePoint startedAt, const DrainSchedule &schedule)
        : startedAt_(startedAt)
        , schedule_(schedule)
    {
    }

    //! Short enough for the last stage.
    [[nodiscard]] Milliseconds pollInterval() const
    {
        return std::min(maxPollInterval, lastStage() / minPolls);
    }
    [[nodiscard]] bool hasPassed(Milliseconds stage, TimePoint now) const
    {
        return now - startedAt_ >= stage;
    }
    //! True once requests in flight have to get their final response.
    [[nodiscard]] bool mustGiveUp(TimePoint now)
    {
        if (!gaveUpAt_ && hasPassed(schedule_.responseTime, now)) {
            gaveUpAt_ = now;
        }
        return gaveUpAt_.has_value();
    }
    //! True once the final responses have had their time to be written, also if the process was suspended before.
    [[nodiscard]] bool isOutOfTime(TimePoint now) const
    {
        return gaveUpAt_ && now - *gaveUpAt_ >= lastStage();
    }

private:
    static constexpr Milliseconds maxPollInterval {50};
    static constexpr int minPolls = 4;

    [[nodiscard]] Milliseconds lastStage() const
    {
        return schedule_.exitTime - schedule_.responseTime;
    }

    TimePoint startedAt_;
    DrainSchedule schedule_;
    std::optional<TimePoint> gaveUpAt_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_DRAIN_SCHEDULE_HPP_INCLUDED
