#ifndef CARDAMOMPOST_CP_RESPONSE_TIME_TRACKER_HPP_INCLUDED
#define CARDAMOMPOST_CP_RESPONSE_TIME_TRACKER_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

namespace cardamompost
{

//! How long backend servers usually take to begin an answer, learned from those that came, so that an answer that was
//! lost is told from one that is slow.
//!
//! Source: the smoothed mean and deviation of RFC 6298, with a wider factor, since work spreads more than round trips.
//! Thread-safety: none.
class ResponseTimeTracker
{
public:
    //! Takes the time from the sending of a request to the head of its answer.
    void observe(Milliseconds time);

    //! How long to wait for an answer before the request goes to another server.
    //! \param timeLeft  until the request's deadline; half of it is kept for the other server
    [[nodiscard]] Milliseconds responseTimeout(Milliseconds timeLeft) const;

private:
    double mean_ = 0;
    double deviation_ = 0;
    unsigned samples_ = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_RESPONSE_TIME_TRACKER_HPP_INCLUDED
