#ifndef CARDAMOMPOST_CP_TURN_QUEUE_HPP_INCLUDED
#define CARDAMOMPOST_CP_TURN_QUEUE_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace cardamompost
{

//! Position of a waiting turn; lower goes first.
enum class TurnGroup : unsigned {
    InProgress,
    New,
    Late,
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
//! Without shares: by group, rank and arrival. With shares, an account that holds fewer slots than its fair share goes
//! before one that holds more; within an account the order is as without. The fair share is the service's slots divided
//! by the accounts that hold or want some (max-min fairness). No turn is passed over for longer than the maximum queue
//! time of the placement, which takes turns out at that age. Thread-safety: none.
class TurnQueue
{
public:
    explicit TurnQueue(bool sharesByAccount)
        : sharesByAccount_(sharesByAccount)
    {
    }

    void push(QueuedTurn turn);
    //! \returns false if the turn does not wait
    bool remove(const std::string &turn);
    //! The turn to place next; nothing if none of the service waits.
    [[nodiscard]] std::optional<QueuedTurn> first(const std::string &service) const;
    [[nodiscard]] std::size_t waiting(const std::string &service) const;
    //! Slots of a service that its accounts share, when engines come or go.
    void setSlots(const std::string &service, unsigned slots);
    //! The account got or returned a slot.
    void onReserved(const std::string &service, const std::string &account);
    void onReleased(const std::string &service, const std::string &account);
    //! The account holds more slots than its fair share; its turns wait while all engines are full, also those of
    //! programs in progress.
    [[nodiscard]] bool isOverShare(const std::string &service, const std::string &account) const;

private:
    bool sharesByAccount_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_TURN_QUEUE_HPP_INCLUDED
