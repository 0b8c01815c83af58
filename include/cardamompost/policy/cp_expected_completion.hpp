#ifndef CARDAMOMPOST_CP_EXPECTED_COMPLETION_HPP_INCLUDED
#define CARDAMOMPOST_CP_EXPECTED_COMPLETION_HPP_INCLUDED

#include <cstdint>

namespace cardamompost
{

//! The load at which an engine of usual speed completes a turn as soon as the given engine does; the load itself for a
//! slowness of 1. Engines are compared by it.
//!
//! A turn takes the fixed part of a decode step, which is expressed in turns, plus one part for each turn at the
//! engine. Turns above the number of slots wait in the engine's queue as well, each for the fraction of a turn's time
//! after which a slot becomes free.
[[nodiscard]] double equivalentLoad(double load, unsigned slots, double slowness);

//! Load that takes a turn as long as to compute its prompt again. 0 stands for an unknown number of tokens.
[[nodiscard]] double recomputationLoad(std::uint32_t promptTokens, std::uint32_t outputTokens);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_EXPECTED_COMPLETION_HPP_INCLUDED
