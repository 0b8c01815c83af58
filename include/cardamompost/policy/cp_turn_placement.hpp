#ifndef CARDAMOMPOST_CP_TURN_PLACEMENT_HPP_INCLUDED
#define CARDAMOMPOST_CP_TURN_PLACEMENT_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/policy/cp_admission_control.hpp>
#include <cardamompost/policy/cp_engine_load_index.hpp>
#include <cardamompost/policy/cp_placement_options.hpp>
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
    //! waiting at clear(). Not called for a turn that is released while it waits.
    using PlacementCallback = std::function<void(const std::string &engine)>;

    explicit TurnPlacement(std::uint64_t seed, PlacementOptions options = {});

    //! Replaces the engines; draining engines receive no new turns.
    void setServers(const std::vector<BackendServer> &servers, TimePoint now);
    //! Adds or changes some engines and removes others.
    void updateServers(const std::vector<BackendServer> &changed, const std::vector<std::string> &removed,
                       TimePoint now);
    //! Requests a slot. The callback runs immediately, or during a later call to request(), release(), setServers(),
    //! updateServers(), tick() or clear(). A repeated request replaces the callback of a turn that waits.
    void request(SlotRequest request, TimePoint now, PlacementCallback callback);
    //! Asks, before request(), whether the first turn of a program can be served in time; nothing if it can, or if
    //! PlacementOptions::refusesHopelessPrograms is off. Turns of programs in progress, and turns that were requested
    //! before, are not refused.
    [[nodiscard]] std::optional<AdmissionRefusal> refuse(const SlotRequest &request, TimePoint now);
    //! Releases the turn's slot or removes it from the queue.
    void release(const std::string &turn, TimePoint now);
    //! Records on a follower the engine that ran a program's last turn, as replicated in the log.
    void recordLastEngine(const std::string &program, const std::string &engine, TimePoint now);
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
    //! Slots that the account's turns hold; those of all accounts without shares.
    [[nodiscard]] unsigned heldSlots(const std::string &service, const std::string &account) const
    {
        return queue_.held(service, account);
    }
    //! Turns that hold a slot at the engine.
    [[nodiscard]] unsigned turnsAt(const std::string &engine) const;
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

        [[nodiscard]] ServerVersion version() const
        {
            return {service, softwareVersion};
        }
    };
    using Engines = std::unordered_map<std::string, Engine>;
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
    void openEngine(Engine &engine, const BackendServer &server);
    void closeEngine(const std::string &id);
    //! Adds an open engine to the slots that accounts share, or takes it from them.
    void countSlots(const Engine &engine, int sign);
    //! An engine of the service has room for a turn of a new program.
    [[nodiscard]] bool hasRoom(const std::string &name, TimePoint now);
    //! The engine for the turn that is next in its service; nothing while it has to wait.
    [[nodiscard]] std::optional<std::string> chooseForFirst(const SlotRequest &request, TimePoint now);
    //! Updates the engine's position in the index of its service; call it after each change of its load.
    void reindex(const std::string &id, const Engine &engine);
    //! Makes avoided engines usable again whose time has passed.
    void restoreAvoided(TimePoint now);
    void removeFromIndex(Service &indexed, const std::string &id, const Engine &engine);
    [[nodiscard]] bool hasService(const std::string &service) const;
    [[nodiscard]] Service &service(const std::string &name);
    void reserveSlot(const SlotRequest &request, const std::string &engine, TimePoint now);
    //! The turn must wait.
    WaitingTurn removeFromQueue(const std::string &turn);
    void placeWaitingTurns(TimePoint now);
    //! Reserves a slot for a turn that has left the queue, and answers it.
    void place(const WaitingTurn &waiting, const std::string &engine, TimePoint now);
    void expireReservations(TimePoint now);
    void expireAffinities(TimePoint now);

    std::uint64_t seed_;
    PlacementOptions options_;
    Engines engines_;
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
