#ifndef CARDAMOMPOST_CP_TURN_PLACEMENT_HPP_INCLUDED
#define CARDAMOMPOST_CP_TURN_PLACEMENT_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/routing/cp_backend_list.hpp>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>

namespace cardamompost
{

//! A turn that wants a place at an engine.
struct TurnToPlace {
    //! Request's id; the same one asks for the same place again.
    std::string turn;
    std::string program;
    std::string service;
    //! Of the entry that will send it.
    std::string failureDomain;
    //! 0 goes first.
    unsigned rank = 0;
    //! Its program has run a turn before, or runs one now.
    bool isInProgress = false;
    //! Its program should be finished by now.
    bool isLate = false;
    //! How long the turn may hold its place at most.
    Milliseconds timeLeft {0};
};

//! Where turns go and in which order, decided in one place for all entries.
//!
//! A turn goes to the engine with the fewest turns, with a preference for the one that ran its program's last turn and
//! for the entry's failure domain. While all places are taken, turns wait: those of programs under way go first, so
//! that under overload a program waits once, at its begin, and not before each of its turns; those of programs that are
//! late already go last. Members that do not lead follow where programs run, so that one that comes to lead sends them
//! back there. Thread-safety: none. Time is an argument; no input or output.
class TurnPlacement
{
public:
    //! Called once with the id of the engine; empty when no engine of the service is known, or for want of patience.
    using Placed = std::function<void(const std::string &engine)>;

    explicit TurnPlacement(std::uint64_t seed);

    //! The engines that may take turns; those that are leaving take none.
    void setServers(const std::vector<BackendServer> &servers, TimePoint now);
    //! Asks for a place; answered at once, or later by release(), setServers() or tick().
    void request(TurnToPlace turn, TimePoint now, Placed placed);
    //! Gives a place back, or a turn's wait up.
    void release(const std::string &turn, TimePoint now);
    //! A turn of a program ended at an engine, as a member that does not lead learns from the log. Should it come to
    //! lead, it sends the program back there.
    void noteRan(const std::string &program, const std::string &engine, TimePoint now);
    //! No turn goes to an engine for a while, since an entry could not reach it.
    void avoid(const std::string &engine, TimePoint until);
    //! Places whose time is over are given back, and turns that have waited for long enough are placed.
    void tick(TimePoint now);
    //! Forgets all turns and engines, and not where programs ran last; turns that wait are placed nowhere.
    void clear();

    [[nodiscard]] std::size_t waiting() const;
    //! Turns at an engine now.
    [[nodiscard]] unsigned turnsAt(const std::string &engine) const;

private:
    struct Engine {
        std::string service;
        std::string failureDomain;
        unsigned slots = 1;
        unsigned turns = 0;
        //! Programs whose last turn was here.
        unsigned programs = 0;
        bool isOpen = false;
        TimePoint avoidUntil {};
        //! As BackendServer::born.
        std::uint64_t incarnation = 0;
    };
    struct Held {
        std::string engine;
        TimePoint until;
    };
    //! Lower goes first.
    struct Order {
        unsigned group = 0;
        unsigned rank = 0;
        std::uint64_t sequence = 0;

        friend bool operator<(const Order &left, const Order &right)
        {
            return std::tie(left.group, left.rank, left.sequence) < std::tie(right.group, right.rank, right.sequence);
        }
    };
    struct Waiting {
        TurnToPlace turn;
        TimePoint since;
        Placed placed;
    };
    struct Warm {
        std::string engine;
        TimePoint at;
    };
    using Queue = std::map<Order, Waiting>;

    [[nodiscard]] std::optional<std::string> choose(const TurnToPlace &turn, TimePoint now, bool mayOverload);
    [[nodiscard]] static double cost(const Engine &engine, const TurnToPlace &turn);
    //! Null when the program has none that is of use now.
    [[nodiscard]] const std::string *warmEngine(const TurnToPlace &turn, TimePoint now) const;
    void setWarm(const std::string &program, const std::string &engine, TimePoint now);
    void leaveWarm(const Warm &warm);
    void countPrograms();
    //! An engine has started again under its id.
    void forgetIncarnation(const std::string &id);
    [[nodiscard]] bool hasService(const std::string &service) const;
    [[nodiscard]] bool hasUsableEngine(const std::string &service, TimePoint now) const;
    void hold(const TurnToPlace &turn, const std::string &engine, TimePoint now);
    void serveQueues(TimePoint now);
    void expireHeld(TimePoint now);
    void forgetCold(TimePoint now);

    std::mt19937_64 random_;
    std::map<std::string, Engine> engines_;
    std::unordered_map<std::string, Held> held_;
    std::map<std::string, Queue> queues_;
    std::unordered_map<std::string, std::pair<std::string, Order>> places_;
    std::unordered_map<std::string, Warm> warm_;
    std::uint64_t nextSequence_ = 0;
    TimePoint nextForget_ {};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_TURN_PLACEMENT_HPP_INCLUDED
