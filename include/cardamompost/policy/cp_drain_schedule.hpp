#ifndef CARDAMOMPOST_CP_DRAIN_SCHEDULE_HPP_INCLUDED
#define CARDAMOMPOST_CP_DRAIN_SCHEDULE_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <algorithm>

namespace cardamompost
{

//! The stages of a process's shutdown, as times from the signal on. They fit into any grace period.
struct DrainSchedule {
    //! Connections are accepted until then, from callers whose cached directory response lists the process.
    Milliseconds acceptTime;
    //! The process ends from then on, once it is idle.
    Milliseconds earliestExitTime;
    //! Requests in flight get their final response then.
    Milliseconds responseTime;
    //! The process ends then, even if a caller has not taken its response.
    Milliseconds exitTime;

    static constexpr Milliseconds maxAcceptTime {3700};
    //! For responses and closed connections in transit.
    static constexpr Milliseconds closeTime {500};
    //! Reserved for writing the final responses and reporting them to the ledger.
    static constexpr Milliseconds maxResponseMargin {600};
    //! Reserved for the end of the process, which may get little processor time.
    static constexpr Milliseconds maxExitMargin {200};
    //! Writing the final responses gets at least this time, even if the process was frozen past its other times.
    static constexpr Milliseconds maxFinalAnswerTime {100};
    //! Largest share of the grace period that a margin takes.
    static constexpr int responseMarginDivisor = 4;
    static constexpr int exitMarginDivisor = 12;

    [[nodiscard]] constexpr Milliseconds minFinalAnswerTime() const
    {
        return std::min(maxFinalAnswerTime, exitTime - responseTime);
    }

    //! \param grace  time from the signal until the process is killed
    static constexpr DrainSchedule forGrace(Milliseconds grace)
    {
        const Milliseconds responseTime = grace - std::min(maxResponseMargin, grace / responseMarginDivisor);
        const Milliseconds exitTime = grace - std::min(maxExitMargin, grace / exitMarginDivisor);
        const Milliseconds acceptTime = std::min(maxAcceptTime, responseTime / 2);
        return {acceptTime, std::min(acceptTime + closeTime, responseTime), responseTime, exitTime};
    }
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_DRAIN_SCHEDULE_HPP_INCLUDED
