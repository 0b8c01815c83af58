#ifndef CARDAMOMPOST_CP_ENGINE_LOAD_INDEX_HPP_INCLUDED
#define CARDAMOMPOST_CP_ENGINE_LOAD_INDEX_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>

namespace cardamompost
{

//! Load of an engine as it counts for selection.
struct EngineLoad {
    std::string failureDomain;
    //! Turns at the engine, as equivalentLoad().
    double turns = 0;
    //! The same for the turns plus a share of a turn for each program with affinity to the engine.
    double load = 0;
    //! Turns of new programs may be placed on the engine.
    bool hasRoom = false;
};

//! The usable engines of one service, ordered by load within each failure domain.
//!
//! A selection examines two engines of each failure domain, however many engines there are. Engines with equal loads
//! are in random order, so that successive selections are spread over them. Thread-safety: none.
class EngineLoadIndex
{
public:
    explicit EngineLoadIndex(std::uint64_t seed)
        : random_(seed)
    {
    }

    //! Adds an engine, or updates its load.
    void set(const std::string &id, const EngineLoad &load);
    void remove(const std::string &id);

    [[nodiscard]] bool isEmpty() const
    {
        return positions_.empty();
    }
    //! The lowest number of turns of any engine; nothing if there is no engine.
    [[nodiscard]] std::optional<double> fewestTurns() const;
    [[nodiscard]] std::size_t enginesIn(const std::string &failureDomain) const;
    //! The engine with the lowest cost, which is its load, plus crossDomainCost in another failure domain than the
    //! given one.
    //! \param needsRoom  only engines with room for turns of new programs
    [[nodiscard]] std::optional<std::string> leastLoaded(const std::string &failureDomain, double crossDomainCost,
                                                         bool needsRoom);
    //! Engines examined by selections so far.
    [[nodiscard]] std::uint64_t examined() const
    {
        return examined_;
    }

private:
    struct Key {
        double load = 0;
        std::uint64_t tieBreak = 0;
        std::string id;

        friend bool operator<(const Key &left, const Key &right)
        {
            return std::tie(left.load, left.tieBreak, left.id) < std::tie(right.load, right.tieBreak, right.id);
        }
    };
    using Ordered = std::set<Key>;
    struct Domain {
        Ordered withRoom;
        Ordered full;
    };
    struct Position {
        EngineLoad load;
        Key key;
    };

    [[nodiscard]] Ordered &orderedFor(const EngineLoad &load);

    std::mt19937_64 random_;
    std::map<std::string, Domain> domains_;
    std::unordered_map<std::string, Position> positions_;
    //! Number of engines by number of turns.
    std::map<double, std::size_t> countByTurns_;
    std::uint64_t examined_ = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ENGINE_LOAD_INDEX_HPP_INCLUDED
