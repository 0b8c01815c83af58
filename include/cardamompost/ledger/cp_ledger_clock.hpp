#ifndef CARDAMOMPOST_CP_LEDGER_CLOCK_HPP_INCLUDED
#define CARDAMOMPOST_CP_LEDGER_CLOCK_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <cstdint>

namespace cardamompost
{

//! The time that a leader gives its commands; what is kept expires by it, on all members alike.
//!
//! It goes on from where the last leader's commands ended, by this machine's steady clock, and counts from the ledger's
//! founding. Guards against time of day that is wrong: a leader an hour ahead, for one command only, would have every
//! turn expire at once, and callers would be told that what they had said is unknown. The price: time in which nobody
//! leads does not count, so what is kept stays longer by that much.
class LedgerClock
{
public:
    //! This member leads from now on.
    //! \param lastMs  time of the last command that it has applied
    void takeOver(std::int64_t lastMs, TimePoint now)
    {
        lastMs_ = lastMs;
        since_ = now;
    }
    [[nodiscard]] std::int64_t nowMs(TimePoint now) const
    {
        return lastMs_ + toMs(now - since_);
    }

private:
    std::int64_t lastMs_ = 0;
    TimePoint since_ {};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LEDGER_CLOCK_HPP_INCLUDED
