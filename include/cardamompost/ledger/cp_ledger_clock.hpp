#ifndef CARDAMOMPOST_CP_LEDGER_CLOCK_HPP_INCLUDED
#define CARDAMOMPOST_CP_LEDGER_CLOCK_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <cstdint>

namespace cardamompost
{

//! Logical time that a leader stamps on its commands and that drives expiry on all members.
//!
//! It counts from the creation of the ledger. A new leader continues from the last command it has applied and advances
//! by its steady clock, so a wrong wall clock cannot expire turns early. Time without a leader does not count, which
//! extends retention by that time.
class LedgerClock
{
public:
    //! Resumes the clock when this member becomes leader.
    //! \param lastMs  time of the last command that this member has applied
    void resumeFrom(std::int64_t lastMs, TimePoint now)
    {
        lastMs_ = lastMs;
        resumedAt_ = now;
    }
    [[nodiscard]] std::int64_t nowMs(TimePoint now) const
    {
        return lastMs_ + toMs(now - resumedAt_);
    }

private:
    std::int64_t lastMs_ = 0;
    TimePoint resumedAt_ {};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LEDGER_CLOCK_HPP_INCLUDED
