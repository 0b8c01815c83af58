#ifndef CARDAMOMPOST_CP_COMPLETION_TIMES_HPP_INCLUDED
#define CARDAMOMPOST_CP_COMPLETION_TIMES_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <optional>

namespace cardamompost
{

//! The longest time that requests of one kind have taken recently, from arrival to the end of the response.
//!
//! Holds the maxima of two consecutive windows, so memory and time are constant. Thread-safety: none.
class CompletionTimes
{
public:
    //! A time counts for one to two windows.
    static constexpr Milliseconds window {30'000};

    void observe(Milliseconds time, TimePoint now);
    //! Nothing if no request has ended recently.
    [[nodiscard]] std::optional<Milliseconds> longest(TimePoint now) const;

private:
    std::optional<Milliseconds> current_;
    std::optional<Milliseconds> previous_;
    TimePoint currentSince_ {};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_COMPLETION_TIMES_HPP_INCLUDED
