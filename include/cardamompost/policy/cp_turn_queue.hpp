#ifndef CARDAMOMPOST_CP_TURN_QUEUE_HPP_INCLUDED
#define CARDAMOMPOST_CP_TURN_QUEUE_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

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

//! The turns that wait for slots, in the order in which they are placed: by group, rank and arrival.
//! Thread-safety: none.
class TurnQueue
{
public:
    //! The turn must not wait yet.
    void push(QueuedTurn turn);
    //! \returns false if the turn does not wait
    bool remove(const std::string &turn);
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

private:
    //! Lower goes first.
    struct Key {
        TurnGroup group = TurnGroup::New;
        unsigned rank = 0;
        std::uint64_t sequence = 0;

        friend bool operator<(const Key &left, const Key &right)
        {
            return std::tie(left.group, left.rank, left.sequence) < std::tie(right.group, right.rank, right.sequence);
        }
    };
    using Turns = std::map<Key, QueuedTurn>;
    struct Position {
        std::string service;
        Key key;
    };

    std::map<std::string, Turns> services_;
    std::unordered_map<std::string, Position> positions_;
    std::uint64_t nextSequence_ = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_TURN_QUEUE_HPP_INCLUDED
