#ifndef CARDAMOMPOST_CP_SILENCE_DETECTOR_HPP_INCLUDED
#define CARDAMOMPOST_CP_SILENCE_DETECTOR_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

namespace cardamompost
{

//! Between which times a silence becomes suspicious.
struct SuspicionBounds {
    //! No shorter silence is suspicious, however dense the contacts are.
    Milliseconds floor {0};
    //! Any longer one is, and every one as long as nothing is known.
    Milliseconds ceiling {0};
};

//! How long somebody who is heard from again and again may be silent before that says something, from what was
//! observed of them.
//!
//! Keeps the longest gap between two contacts, which fades by half within some seconds. A silence that exceeds it
//! clearly is out of the pattern. The longest and not the mean decides: a VM whose share of a processor is used up
//! stands still for most of a tenth of a second now and then, and packets that were lost come a fifth of a second late.
//! Thread-safety: none. Time is an argument.
class SilenceDetector
{
public:
    explicit SilenceDetector(SuspicionBounds bounds)
        : bounds_(bounds)
    {
    }

    //! They were heard from.
    void observe(TimePoint now);
    //! What was known is of somebody else; a silence that has begun counts from now.
    void restart(TimePoint now);
    //! The silence from which on they are suspect.
    [[nodiscard]] Milliseconds suspicionTimeout() const;

private:
    SuspicionBounds bounds_;
    TimePoint last_ {};
    double longestMs_ = 0;
    bool isKnown_ = false;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_SILENCE_DETECTOR_HPP_INCLUDED
