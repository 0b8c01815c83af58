#ifndef CARDAMOMPOST_CP_CALL_MACHINE_HPP_INCLUDED
#define CARDAMOMPOST_CP_CALL_MACHINE_HPP_INCLUDED

#include <cardamompost/core/cp_name_table.hpp>

#include <cstdint>

namespace cardamompost
{

//! The state of a call.
enum class CallState : std::uint8_t {
    //! Journaled, waiting for earlier calls of its program and for a replica.
    Queued,
    //! The intent of an attempt is journaled; the backend server may have received it.
    Dispatched,
    //! Executed; the answer is journaled.
    Answered,
    //! Not executed, and never will be.
    NotRun,
    //! May have been executed; will not be executed again.
    Unknown,
};

inline constexpr std::array callStateNames {
    Named {CallState::Queued, "queued"},     Named {CallState::Dispatched, "dispatched"},
    Named {CallState::Answered, "answered"}, Named {CallState::NotRun, "not-run"},
    Named {CallState::Unknown, "unknown"},
};

//! An event that changes the state of a call. Each comes from a journal record.
enum class CallEvent : std::uint8_t {
    //! The first attempt, or a retry of an idempotent call.
    IntentWritten,
    //! A retry after an attempt that provably never reached its backend server.
    IntentAfterNotSent,
    ResultRan,
    ResultNotRun,
    ResultUnknown,
};

//! State machine of a call.
//!
//! Guarantees at-most-once execution: a call that is not idempotent has no transition from Dispatched to another
//! attempt, except after one that was not sent. The transitions are the table of a Boost.MSM machine in the source
//! file.
class CallMachine
{
public:
    explicit CallMachine(bool isIdempotent = true)
        : isIdempotent_(isIdempotent)
    {
    }

    //! Returns false and keeps the state if it has no transition for the event.
    [[nodiscard]] bool process(CallEvent event);

    [[nodiscard]] CallState state() const
    {
        return state_;
    }
    [[nodiscard]] bool isFinal() const
    {
        return state_ != CallState::Queued && state_ != CallState::Dispatched;
    }

private:
    CallState state_ = CallState::Queued;
    bool isIdempotent_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CALL_MACHINE_HPP_INCLUDED
