#ifndef CARDAMOMPOST_CP_FAILURE_DETECTOR_HPP_INCLUDED
#define CARDAMOMPOST_CP_FAILURE_DETECTOR_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

namespace cardamompost
{

struct SuspicionBounds {
    //! Smallest timeout, however frequent the contacts are.
    Milliseconds floor {0};
    //! Largest timeout, and the timeout before the first contact.
    Milliseconds ceiling {0};
};

//! Adaptive failure detector for a peer that is contacted regularly.
//!
//! The suspicion timeout is a multiple of the longest observed gap between two contacts, which decays over time. The
//! longest gap is used instead of the mean, since CPU throttling and packet retransmissions cause rare but long gaps.
//! Thread-safety: none. Time is an argument.
class FailureDetector
{
public:
    explicit FailureDetector(SuspicionBounds bounds)
        : bounds_(bounds)
    {
    }

    //! Records a contact.
    void observe(TimePoint now);
    //! Discards the observed gaps, for use with a different peer; its first gap counts from now.
    void restart(TimePoint now);
    //! Silence after which the peer is suspected to have failed.
    [[nodiscard]] Milliseconds suspicionTimeout() const;

private:
    SuspicionBounds bounds_;
    TimePoint lastContact_ {};
    double longestGapMs_ = 0;
    bool hasContact_ = false;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_FAILURE_DETECTOR_HPP_INCLUDED
