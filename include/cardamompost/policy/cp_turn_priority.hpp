#ifndef CARDAMOMPOST_CP_TURN_PRIORITY_HPP_INCLUDED
#define CARDAMOMPOST_CP_TURN_PRIORITY_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <optional>

namespace cardamompost
{

//! Inputs of turnPriority().
struct TurnUrgency {
    //! The rank of the turn's route; 0 goes first.
    unsigned rank = 0;
    //! Time to the program's target completion; empty if the client did not state one.
    std::optional<Milliseconds> timeLeft;
};

//! Priority of a turn at an engine, from 0 (first) to 9.
//!
//! Only turns of programs past their target completion are ranked behind others: finer priorities make engines preempt
//! running turns and recompute their prompts.
[[nodiscard]] int turnPriority(const TurnUrgency &urgency);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_TURN_PRIORITY_HPP_INCLUDED
