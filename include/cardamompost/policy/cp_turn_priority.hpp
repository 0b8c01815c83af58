#ifndef CARDAMOMPOST_CP_TURN_PRIORITY_HPP_INCLUDED
#define CARDAMOMPOST_CP_TURN_PRIORITY_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <optional>

namespace cardamompost
{

//! What decides in which order engines admit turns.
struct TurnUrgency {
    //! The rank of the turn's route; 0 goes first.
    unsigned rank = 0;
    //! Until its program should be finished; nothing when the caller does not say.
    std::optional<Milliseconds> timeLeft;
};

//! Urgency of a turn for an engine, from 0, which goes first, to 9.
//!
//! Only turns whose program is too late already go behind the others. Finer steps were measured and cost more than they
//! gave: engines stop running turns for more urgent ones, and read their prompts again (docs/design/decisions.md).
[[nodiscard]] int turnPriority(const TurnUrgency &urgency);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_TURN_PRIORITY_HPP_INCLUDED
