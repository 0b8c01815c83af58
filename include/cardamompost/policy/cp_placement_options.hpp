#ifndef CARDAMOMPOST_CP_PLACEMENT_OPTIONS_HPP_INCLUDED
#define CARDAMOMPOST_CP_PLACEMENT_OPTIONS_HPP_INCLUDED

namespace cardamompost
{

//! Optional parts of turn placement.
struct PlacementOptions {
    //! Engines are compared by expected completion, with the rates that ServiceRates measures, and not by counts.
    bool usesServiceRates = false;
    //! Waiting turns are ordered by their accounts' use of slots.
    bool sharesByAccount = false;
    //! The first turn of a program that can't be served in time is refused at once.
    bool refusesHopelessPrograms = false;
    //! The reply to a turn that leaves its program's engine names the engine that caches its prompt.
    bool namesPromptSources = false;
    //! The more engines a failure domain has, the higher the load difference at which a first turn leaves it.
    bool prefersNearEngines = false;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_PLACEMENT_OPTIONS_HPP_INCLUDED
