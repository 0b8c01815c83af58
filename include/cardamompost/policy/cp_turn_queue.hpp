#ifndef CARDAMOMPOST_CP_TURN_QUEUE_HPP_INCLUDED
#define CARDAMOMPOST_CP_TURN_QUEUE_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cardamompost
{

//! Position of a waiting turn; lower goes first.
enum class TurnGroup : unsigned {
    InProgress,
    New,
    Late,
};

//! Longest time that a turn waits; then it is placed regardless of load, to reach an engine's own queue before its
//! client gives up.
inline constexpr Milliseconds maxQueueTime {1200};

//! Accounts with equal loads hold somewhat more and less than the fair share by turns; none of them is over it.
inline constexpr double shareTolerance = 1.5;

//! Slots are given out to the classes in their order.
struct TurnClass {
    //! The account holds more than its fair share.
    bool isOverShare = false;
    TurnGroup group = TurnGroup::New;
    unsigned rank = 0;

    friend bool operator<(const TurnClass &left, const TurnClass &right)
    {
        return std::tie(left.isOverShare, left.group, left.rank) < std::tie(right.isOverShare, right.group, right.rank);
    }
};

//! A turn that waits for a slot.
struct QueuedTurn {
    std::string turn;
    std::string service;
    //! Client account; empty if the document has none.
    std::string account;
    TurnGroup group = TurnGroup::New;
    unsigned rank = 0;
    TimePoint queuedAt {};
};

//! The turns that wait for slots, in the order in which they are placed.
//!
//! Without shares: by group, rank and arrival. With shares (max-min fairness), accounts within their share go before
//! those over it. Among accounts within their share, the one whose first turn has the lower group and rank goes first,
//! then the one that holds fewer slots: an urgent turn doesn't wait for a less urgent one of another account. Among
//! accounts over their share, the one that holds the fewest slots goes first. Within an account the order is as
//! without shares. The fair share is the service's slots divided by the accounts that hold or want some. An account is
//! over its share if it holds more than shareTolerance times as many; a single account never is.
//!
//! The work for a change grows with the logarithm of the turns and accounts that wait, plus the waiting accounts that
//! the change moves across the fair share. Thread-safety: none.
class TurnQueue
{
public:
    explicit TurnQueue(bool sharesByAccount)
        : sharesByAccount_(sharesByAccount)
    {
    }

    //! The turn must not wait yet.
    void push(QueuedTurn turn);
    //! \returns false if the turn does not wait
    bool remove(const std::string &turn);
    //! Forgets all turns, slots and accounts.
    void clear();
    //! The turn to place next; null if none of the service waits. Valid until the next change.
    [[nodiscard]] const QueuedTurn *first(const std::string &service) const;
    [[nodiscard]] bool contains(const std::string &turn) const
    {
        return positions_.contains(turn);
    }
    [[nodiscard]] std::size_t waiting() const
    {
        return positions_.size();
    }
    [[nodiscard]] std::size_t waiting(const std::string &service) const;
    //! The services with waiting turns, by name.
    [[nodiscard]] std::vector<std::string> services() const;

    //! Slots of a service that its accounts share, when engines come or go.
    //! \param room  turns that the engines take before they count as full
    void setSlots(const std::string &service, unsigned slots, unsigned room);
    //! The account got or returned a slot.
    void onReserved(const std::string &service, const std::string &account);
    void onReleased(const std::string &service, const std::string &account);
    //! The account holds more slots than its fair share; its turns wait while the service is full, also those of
    //! programs in progress.
    [[nodiscard]] bool isOverShare(const std::string &service, const std::string &account) const;
    //! All accounts together hold as many slots as the engines take before they count as full.
    [[nodiscard]] bool isFull(const std::string &service) const;
    [[nodiscard]] unsigned held(const std::string &service, const std::string &account) const;
    //! Place of a turn that would be pushed next.
    struct Outlook {
        TurnClass turnClass;
        //! Turns that would get slots before it, if no others came.
        std::size_t turnsAhead = 0;
    };
    //! Only turns of accounts within their share count as ahead of a turn that its account's share covers. The work
    //! grows with the accounts that wait.
    [[nodiscard]] Outlook outlook(const QueuedTurn &turn) const;
    //! Slots of each account that holds or wants some.
    [[nodiscard]] double fairShare(const std::string &service) const;

private:
    //! Lower goes first.
    struct TurnKey {
        TurnGroup group = TurnGroup::New;
        unsigned rank = 0;
        std::uint64_t sequence = 0;

        friend bool operator<(const TurnKey &left, const TurnKey &right)
        {
            return std::tie(left.group, left.rank, left.sequence) < std::tie(right.group, right.rank, right.sequence);
        }
    };
    struct Account {
        std::map<TurnKey, QueuedTurn> turns;
        unsigned held = 0;
        //! Turns by group and rank.
        std::map<std::pair<TurnGroup, unsigned>, std::size_t> counts;
        //! Listed among the accounts over their share; valid while turns wait.
        bool isOver = false;

        //! Turns of lower groups and ranks, and of the same.
        [[nodiscard]] std::size_t turnsBefore(TurnGroup group, unsigned rank) const;
        [[nodiscard]] std::size_t turnsOf(TurnGroup group, unsigned rank) const;
    };
    using WithinKey = std::tuple<TurnGroup, unsigned, unsigned, std::uint64_t>;
    //! Slots held, and the first turn.
    using OverKey = std::pair<unsigned, TurnKey>;
    //! Waiting accounts are listed in `within` and `withinByHeld`, or in `over`.
    struct Service {
        unsigned slots = 0;
        unsigned room = 0;
        std::size_t heldByAll = 0;
        std::size_t waiting = 0;
        //! The accounts that hold or want slots.
        std::unordered_map<std::string, Account> accounts;
        std::map<WithinKey, Account *> within;
        std::map<OverKey, Account *> withinByHeld;
        std::map<OverKey, Account *> over;

        [[nodiscard]] bool isOverShare(unsigned held) const
        {
            return accounts.size() > 1 && held * static_cast<double>(accounts.size()) > slots * shareTolerance;
        }
    };
    struct Position {
        std::string service;
        std::string account;
        TurnKey key;
    };

    //! The account as it counts here: one for all without shares.
    [[nodiscard]] const std::string &shareHolder(const std::string &account) const;
    [[nodiscard]] const Account *find(const std::string &service, const std::string &account) const;
    static void enlist(Service &service, Account &account);
    static void unlist(Service &service, Account &account);
    //! Lists the account again after a change, or removes it if it neither holds nor wants slots.
    static void update(Service &service, const std::string &name, Account &account);
    //! Moves waiting accounts across the fair share after it has changed.
    static void rebalance(Service &service);

    bool sharesByAccount_;
    std::map<std::string, Service> services_;
    std::unordered_map<std::string, Position> positions_;
    std::uint64_t nextSequence_ = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_TURN_QUEUE_HPP_INCLUDED
