#include <cardamompost/policy/cp_expected_completion.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

// Part of a decode step that does not depend on the number of turns, as a multiple of what each turn adds to it. The
// prompts that are computed between the decode steps count with their turns.
constexpr double fixedShare = 18;
// Prompt tokens computed in the time of a decode step.
constexpr double promptTokensPerStep = 200;
// For programs whose tokens are unknown.
constexpr double defaultPromptTokens = 4000;
constexpr double defaultOutputTokens = 100;

//! Load that a queued turn adds, in turns; the engine completes one per slot in the time of a turn.
double queuedTurnLoad(double slots)
{
    return (fixedShare + slots) / slots;
}

} // namespace

double equivalentLoad(double load, unsigned slots, double slowness)
{
    if (slowness == 1 || slots == 0) {
        return load;
    }
    const double running = std::min<double>(load, slots);
    const double time = slowness * (fixedShare + running + (load - running) * (1 + queuedTurnLoad(slots)));
    const double fullTime = fixedShare + slots;
    return time <= fullTime ? time - fixedShare : slots + (time - fullTime) / (1 + queuedTurnLoad(slots));
}

double recomputationLoad(std::uint32_t promptTokens, std::uint32_t outputTokens)
{
    const double prompt = promptTokens == 0 ? defaultPromptTokens : promptTokens;
    const double output = outputTokens == 0 ? defaultOutputTokens : outputTokens;
    return fixedShare * prompt / promptTokensPerStep / output;
}

} // namespace cardamompost
