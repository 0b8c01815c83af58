#ifndef CARDAMOMPOST_CP_LOAD_METER_HPP_INCLUDED
#define CARDAMOMPOST_CP_LOAD_METER_HPP_INCLUDED

#include <cardamompost/policy/cp_entry_selection.hpp>

#include <cstdint>

namespace cardamompost
{

//! Load of a process as a share of the processor time that it may use, smoothed.
//!
//! Time for which the process was ready to run but did not run is added, so that a process that gets no more
//! processor time reports a higher load the longer its work waits.
//! Thread-safety: none. Time is an argument.
class LoadMeter
{
public:
    //! Time constant of the smoothing.
    static constexpr Milliseconds smoothingTime = EntrySelection::loadSmoothingTime;
    //! Shorter intervals are added to the next one.
    static constexpr Milliseconds minInterval {50};
    //! Reported loads are at most this.
    static constexpr double maxLoad = 2;

    //! \param processorShare  share of a processor that the process may use, above 0
    explicit LoadMeter(double processorShare)
        : processorShare_(processorShare)
    {
    }

    //! \param processorTime  processor time that the process has used in total
    //! \param waited  by how much a timer that was due since the last record ran late
    void record(TimePoint now, std::chrono::nanoseconds processorTime, std::chrono::nanoseconds waited);

    [[nodiscard]] double load() const
    {
        return load_;
    }
    //! The load in permille, at least 1; 0 before the first interval has passed.
    [[nodiscard]] std::uint16_t permille() const;

private:
    double processorShare_;
    bool hasStarted_ = false;
    bool hasLoad_ = false;
    TimePoint intervalStart_ {};
    std::chrono::nanoseconds processorTimeAtStart_ {0};
    std::chrono::nanoseconds waited_ {0};
    double load_ = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LOAD_METER_HPP_INCLUDED
