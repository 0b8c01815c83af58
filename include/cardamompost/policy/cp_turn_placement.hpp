#ifndef CARDAMOMPOST_CP_TURN_PLACEMENT_HPP_INCLUDED
#define CARDAMOMPOST_CP_TURN_PLACEMENT_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/policy/cp_admission_control.hpp>
#include <cardamompost/policy/cp_engine_load_index.hpp>
#include <cardamompost/policy/cp_placement_options.hpp>
#include <cardamompost/policy/cp_service_rates.hpp>
#include <cardamompost/policy/cp_turn_queue.hpp>
#include <cardamompost/routing/cp_backend_list.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace cardamompost
{

//! A turn's request for an engine slot.
struct SlotRequest {
    //! Request id; a repeated request with the same id gets the same slot.
    std::string turn;
    std::string program;
    //! Empty if the turn's service has no engines; such a turn gets no slot.
    std::string service;
    //! Failure domain of the entry that sends the turn.
    std::string failureDomain;
    //! 0 goes first.
    unsigned rank = 0;
    //! The program has completed a turn or runs one now.
    bool isInProgress = false;
    //! The program is past its target completion.
    bool isLate = false;
    //! Maximum time that the turn may hold its slot.
    Milliseconds timeLeft {0};
    //! The only software version that may run the turn; empty for any.
    std::string softwareVersion {};
    //! Client account; empty if the document has none.
    std::string account {};
    //! Tokens of the whole prompt, and expected generated tokens; 0 if unknown.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    //! Time to the program's target completion; nothing if unknown.
    std::optional<Milliseconds> programTimeLeft {};
};

//! A change of an engine's slowness from or to the usual.
struct EngineRateChange {
    std::string engine;
    std::string service;
    //! 1 for usual.
    double slowness = 1;
    //! As ServiceRates::samples().
    unsigned samples = 0;
};

//! Assigns turns to engine slots for all entries.
//!
//! Uses least-loaded selection with cache affinity to the engine of the program's last turn and a preference for the
//! entry's failure domain. Turns are placed in the order of a priority queue: programs in progress first, then new
//! ones, then late ones, each by rank. The first turn of a new program waits while all engines are at their load limit;
//! turns of programs in progress may exceed it, unless their account holds more than its fair share of the slots. Under
//! overload a program that is not late thus waits once, at its start. Followers track where programs ran, so that a new
//! leader keeps the affinities. The work for a turn does not grow with the number of engines. Thread-safety: none. Time
//! is an argument; no input or output.
class TurnPlacement
{
public:
    //! Called at most once, with the engine's id. The id is empty if no engine can be chosen, or if the turn was still
    //! waiting at clear(). Not called for a turn that is released while it waits. Until the list is known, the engine
    //! may be one of another service or gone; the sender of the turn has to check that.
    using PlacementCallback = std::function<void(const std::string &engine)>;

    explicit TurnPlacement(std::uint64_t seed, PlacementOptions options = {});

    //! Replaces the engines; draining engines receive no new turns.
    void setServers(const std::vector<BackendServer> &servers, TimePoint now);
    //! Adds or changes some engines and removes others.
    void updateServers(const std::vector<BackendServer> &changed, const std::vector<std::string> &removed,
                       TimePoint now);
    //! Requests a slot. The callback runs immediately, or during a later call to request(), release(), setServers(),
    //! updateServers(), tick() or clear(). A repeated request replaces the callback of a turn that waits; one for a
    //! turn with a slot gets its engine, or none if that does not run the service any more.
    void request(SlotRequest request, TimePoint now, PlacementCallback callback);
    //! Asks, before request(), whether the first turn of a program can be served in time; nothing if it can, or if
    //! PlacementOptions::refusesHopelessPrograms is off. Turns of programs in progress, and turns that were requested
    //! before, are not refused.
    [[nodiscard]] std::optional<AdmissionRefusal> refuse(const SlotRequest &request, TimePoint now);
    //! Releases the turn's slot or removes it from the queue.
    void release(const std::string &turn, TimePoint now);
    //! Records on a follower the engine that ran a program's last turn, as replicated in the log.
    void recordLastEngine(const std::string &program, const std::string &engine, TimePoint now);
    //! Records a completed turn, on every member. Affects placement only with PlacementOptions::usesServiceRates.
    void recordSample(const ServiceSample &sample, TimePoint now);
    //! Updates the engines' slowness at intervals. \returns engines that became slow, fast or usual
    std::vector<EngineRateChange> updateRates(TimePoint now);
    //! Excludes an engine that an entry could not reach from selection until the given time.
    void avoid(const std::string &engine, TimePoint until);
    //! Releases expired slots, and places turns that reached the maximum queue time regardless of load.
    void tick(TimePoint now);
    //! Drops all turns and engines but keeps affinities; callbacks of waiting turns receive an empty id.
    void clear();

    //! False if the engines of the service are known and none of them has the software version.
    [[nodiscard]] bool mayHaveVersion(const std::string &service, const std::string &softwareVersion) const;
    //! Version of an open engine; unknown if there is none with this id.
    [[nodiscard]] ServerVersion versionOf(const std::string &engine) const;
    [[nodiscard]] std::size_t waiting() const;
    //! Id of another engine that is expected to have the prompt of a turn with a slot in its cache; empty if there is
    //! none. Only with PlacementOptions::namesPromptSources.
    [[nodiscard]] std::string promptSourceOf(const std::string &turn) const;
    //! Slots that the account's turns hold; those of all accounts without shares.
    [[nodiscard]] unsigned heldSlots(const std::string &service, const std::string &account) const
    {
        return queue_.held(service, account);
    }
    //! The turn holds a slot at the engine.
    [[nodiscard]] bool holdsSlot(const std::string &turn, const std::string &engine) const
    {
        const auto found = reservations_.find(turn);
        return found != reservations_.end() && found->second.engine == engine;
    }
    //! Turns that hold a slot at the engine.
    [[nodiscard]] unsigned turnsAt(const std::string &engine) const;
    //! False if the engine is known to run another service, to be leaving or to be gone.
    [[nodiscard]] bool mayRunAt(const std::string &engine, const std::string &service) const;
    //! The same, without those that wait in the engine's queue.
    [[nodiscard]] unsigned turnsRunningAt(const std::string &engine) const;
    [[nodiscard]] const ServiceRates &rates() const
    {
        return rates_;
    }
    //! As known to placement; 1 for an unknown engine.
    [[nodiscard]] double slownessOf(const std::string &engine) const;
    //! Open engines that are slower or faster than usual.
    [[nodiscard]] std::size_t unusualEngines() const;
    //! Engines examined for all placements so far.
    [[nodiscard]] std::uint64_t examinedEngines() const;

private:
    struct Engine {
        std::string service;
        std::string failureDomain;
        unsigned slots = 1;
        unsigned turns = 0;
        //! Programs with affinity to this engine.
        unsigned programs = 0;
        bool isOpen = false;
        TimePoint avoidUntil {};
        //! As BackendServer::incarnation.
        std::uint64_t incarnation = 0;
        std::string softwareVersion;
        //! As ServiceRates::slowness(); 1 without PlacementOptions::usesServiceRates.
        double slowness = 1;
        //! The last EngineRateChange reported the engine as slow or fast.
        bool isReportedUnusual = false;

        [[nodiscard]] ServerVersion version() const
        {
            return {service, softwareVersion};
        }
    };
    using Engines = std::unordered_map<std::string, Engine>;
    //! An engine that gets no new turns, but keeps its cached prompts until it has left the list.
    struct LeavingEngine {
        ServerVersion version;
        std::uint64_t incarnation = 0;
        TimePoint avoidUntil {};
    };
    //! The open engines of a service.
    struct Service {
        EngineLoadIndex usable;
        //! The same engines by software version.
        std::map<std::string, EngineLoadIndex> usableByVersion;
        //! Excluded from selection for a time.
        std::set<std::string> avoided;
        //! Slots of the open engines, and turns that they take before they count as full.
        int slots = 0;
        int room = 0;
    };
    struct SlotReservation {
        std::string engine;
        TimePoint expiresAt;
        std::string promptSource;
        std::string service;
        std::string account;
    };
    struct WaitingTurn {
        SlotRequest request;
        TimePoint queuedAt;
        PlacementCallback callback;
    };
    struct Affinity {
        std::string engine;
        TimePoint lastUsed;
        //! Incarnation of the engine that ran the turn; 0 if unknown.
        std::uint64_t incarnation = 0;
    };
    //! Turns by a time, earliest first.
    using TurnTimes = std::set<std::pair<TimePoint, std::string>>;

    [[nodiscard]] std::optional<std::string> choose(const SlotRequest &request, TimePoint now, bool mayOverload);
    //! The engine of the program's last turn; null if it is unknown, unusable, or far more loaded than another one.
    [[nodiscard]] const std::string *affinityEngine(const SlotRequest &request, TimePoint now) const;
    void setAffinity(const std::string &program, const std::string &engine, TimePoint now);
    void removeAffinity(const Affinity &affinity);
    //! Counts the programs with affinity to engines that have just been opened.
    void countPrograms(const std::set<std::string> &opened);
    //! Drops the turns and affinities of an engine that restarted under the same id.
    void resetEngine(const std::string &id);
    //! Ends the reservations at an engine that are for another service.
    //! \param service  empty to end all of them
    //! \returns how many have ended
    unsigned dropReservations(const std::string &engine, const std::string &service);
    void openEngine(Engine &engine, const BackendServer &server, TimePoint now);
    void closeEngine(const std::string &id);
    //! Adds an open engine to the slots that accounts share, or takes it from them.
    void countSlots(const Engine &engine, int sign);
    //! An engine of the service has room for a turn of a new program.
    [[nodiscard]] bool serviceHasRoom(const std::string &name, TimePoint now);
    //! The engine for the turn that is next in its service; nothing while it has to wait.
    [[nodiscard]] std::optional<std::string> chooseForFirst(const SlotRequest &request, TimePoint now);
    //! Updates the engine's position in the index of its service; call it after each change of its load.
    void reindex(const std::string &id, const Engine &engine);
    //! The engine has room for turns of new programs.
    [[nodiscard]] static bool hasRoom(const Engine &engine);
    //! Turns with which an engine of usual speed counts as full.
    [[nodiscard]] static unsigned roomOf(const Engine &engine);
    //! A program should leave the engine that caches its prompt.
    //! \param fewestTurns  at any engine of the service, as EngineLoad::turns
    [[nodiscard]] static bool isWorthLeaving(const Engine &engine, const SlotRequest &request, double fewestTurns);
    //! \returns false if it is as before, but for small changes
    bool updateSlowness(const std::string &id, Engine &engine, TimePoint now);
    //! Makes avoided engines usable again whose time has passed.
    void restoreAvoided(TimePoint now);
    void removeFromIndex(Service &indexed, const std::string &id, const Engine &engine);
    [[nodiscard]] bool hasService(const std::string &service) const;
    [[nodiscard]] Service &service(const std::string &name);
    void reserveSlot(const SlotRequest &request, const std::string &engine, TimePoint now);
    //! The turn must wait.
    WaitingTurn removeFromQueue(const std::string &turn);
    void placeWaitingTurns(TimePoint now);
    //! Answers turns that wait for a service or software version without engines.
    void answerUnplaceableTurns();
    //! The engine for a turn while the list is not known: that of its program's last turn; empty if there is none.
    [[nodiscard]] std::string lastEngineOf(const SlotRequest &request) const;
    //! The engine whose cache has the prompt of a turn that is placed on another one; empty if there is none.
    [[nodiscard]] std::string findPromptSource(const SlotRequest &request, const std::string &engine,
                                               TimePoint now) const;
    //! Whether an engine still keeps the prompts of programs with this affinity, and a server of the other version can
    //! fetch them.
    [[nodiscard]] bool keepsPrompts(const Affinity &affinity, const ServerVersion &target, TimePoint now) const;
    [[nodiscard]] std::uint64_t incarnationOf(const std::string &engine) const;
    void addLeaving(const BackendServer &server);
    //! Reserves a slot for a turn that has left the queue, and answers it.
    void place(const WaitingTurn &waiting, const std::string &engine, TimePoint now);
    void expireReservations(TimePoint now);
    void expireAffinities(TimePoint now);

    std::uint64_t seed_;
    PlacementOptions options_;
    //! False from clear() until the engines are set.
    bool hasList_ = false;
    Engines engines_;
    //! Engines that the list names as leaving.
    std::unordered_map<std::string, LeavingEngine> leaving_;
    ServiceRates rates_;
    TimePoint nextRateUpdate_ {};
    std::unordered_map<std::string, Service> services_;
    //! Ends of the times for which engines are avoided; an engine may have several.
    std::multimap<TimePoint, std::string> avoidedUntil_;
    std::unordered_map<std::string, SlotReservation> reservations_;
    TurnTimes reservationExpiries_;
    TurnQueue queue_;
    AdmissionControl admission_;
    std::unordered_map<std::string, WaitingTurn> waiting_;
    TurnTimes queueTimes_;
    std::unordered_map<std::string, Affinity> affinities_;
    TimePoint nextAffinityExpiry_ {};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_TURN_PLACEMENT_HPP_INCLUDED
