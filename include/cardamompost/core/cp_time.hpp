#ifndef CARDAMOMPOST_CP_TIME_HPP_INCLUDED
#define CARDAMOMPOST_CP_TIME_HPP_INCLUDED

#include <chrono>
#include <concepts>

namespace cardamompost
{

//! Time of the monotonic clock of one process; not comparable between processes.
using TimePoint = std::chrono::steady_clock::time_point;

using Milliseconds = std::chrono::milliseconds;

//! A source of monotonic time; a parameter of classes that tests run in virtual time.
template<typename T>
concept MonotonicClock = requires(const T &clock)
{
    {
        clock.now()
        } -> std::same_as<TimePoint>;
};

//! The monotonic clock of the system.
struct SteadyClock {
    [[nodiscard]] TimePoint now() const
    {
        return std::chrono::steady_clock::now();
    }
};

//! Whole milliseconds of a duration, truncated.
template<typename Duration>
[[nodiscard]] constexpr std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_TIME_HPP_INCLUDED
