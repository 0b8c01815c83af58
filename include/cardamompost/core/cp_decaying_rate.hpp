#ifndef CARDAMOMPOST_CP_DECAYING_RATE_HPP_INCLUDED
#define CARDAMOMPOST_CP_DECAYING_RATE_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <cmath>

namespace cardamompost
{

//! Events a second, as an exponentially decaying mean. Thread-safety: none.
class DecayingRate
{
public:
    //! \param window  after this time, an event counts for 1/e
    void add(TimePoint now, Milliseconds window)
    {
        perSecond_ = perSecond(now, window) + 1 / secondsOf(window);
        updatedAt_ = now;
    }
    [[nodiscard]] double perSecond(TimePoint now, Milliseconds window) const
    {
        return perSecond_ == 0 ? 0 : perSecond_ * std::exp(-secondsOf(now - updatedAt_) / secondsOf(window));
    }

private:
    template<typename Duration>
    [[nodiscard]] static double secondsOf(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    double perSecond_ = 0;
    TimePoint updatedAt_ {};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_DECAYING_RATE_HPP_INCLUDED
