#ifndef CARDAMOMPOST_CP_RESPONSE_TIME_TRACKER_HPP_INCLUDED
#define CARDAMOMPOST_CP_RESPONSE_TIME_TRACKER_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

namespace cardamompost
{

//! Estimates the time to the first byte of a response, to tell lost responses from slow ones.
//!
//! Source: smoothed mean and deviation of RFC 6298, with a larger deviation factor because service times vary more than
//! round trips.
//! Thread-safety: none.
class ResponseTimeTracker
{
public:
    //! Adds the time from sending a request to receiving the response head.
    void observe(Milliseconds time);

    //! How long to wait for a response before the request is sent to another server.
    //! \param timeLeft  time to the request's deadline; half of it is reserved for the other server
    [[nodiscard]] Milliseconds responseTimeout(Milliseconds timeLeft) const;

private:
    double mean_ = 0;
    double deviation_ = 0;
    unsigned samples_ = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_RESPONSE_TIME_TRACKER_HPP_INCLUDED
