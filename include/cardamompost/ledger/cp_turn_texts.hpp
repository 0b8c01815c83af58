#ifndef CARDAMOMPOST_CP_TURN_TEXTS_HPP_INCLUDED
#define CARDAMOMPOST_CP_TURN_TEXTS_HPP_INCLUDED

#include <cardamompost/core/cp_ids.hpp>

#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cardamompost
{

//! What turns said, by the index of the log's entry that ended the turn: the same on all members.
//!
//! A text is held in memory until it is on this member's own disk. After that only the ones used last stay, up to a
//! limit, so that a member's memory does not grow with what programs say. This class knows what is where; whoever owns
//! it reads, writes and asks other members. Thread-safety: none. No input or output.
class TurnTexts
{
public:
    //! \param cacheBytes  limit for texts that are on disk too
    explicit TurnTexts(std::size_t cacheBytes = defaultCacheBytes)
        : cacheBytes_(cacheBytes)
    {
    }

    void setCacheBytes(std::size_t bytes)
    {
        cacheBytes_ = bytes;
    }

    //! A text that the log has brought; in memory until it is stored.
    void add(LogIndex index, std::string text);
    //! A text that was read from the disk or got from another member; it may be dropped again.
    void cache(LogIndex index, std::string text);
    //! Null when it is not in memory.
    [[nodiscard]] const std::string *find(LogIndex index);
    //! The texts one after the other; nothing unless all are in memory.
    [[nodiscard]] std::optional<std::string> join(const std::vector<LogIndex> &indexes);
    //! The turn has expired.
    void forget(LogIndex index);

    //! Texts that have to be stored now, oldest first, and are taken as being written until endStoring().
    [[nodiscard]] std::vector<LogIndex> beginStoring();
    void endStoring();
    //! Indexes whose texts on the disk are of no use any more; each is told once.
    [[nodiscard]] std::vector<LogIndex> takeForgotten();

    //! Found on the disk at the start.
    void noteFound(LogIndex index);
    //! A missing text is on the disk now.
    void noteFetched(LogIndex index);
    //! The state was replaced: only these turns are kept, with their texts' sizes. Those that are neither in memory nor
    //! on the disk are missing from now on.
    void retain(const std::map<LogIndex, std::size_t> &sizes);

    [[nodiscard]] bool isStored(LogIndex index) const
    {
        return stored_.contains(index);
    }
    //! Texts that this member should hold and does not, with their sizes.
    [[nodiscard]] const std::map<LogIndex, std::size_t> &missing() const
    {
        return missing_;
    }
    //! Bytes of texts in memory, with those that wait for the disk.
    [[nodiscard]] std::size_t memoryBytes() const
    {
        return memoryBytes_;
    }

    static constexpr std::size_t defaultCacheBytes = 16U << 20U;

private:
    struct Item {
        std::string text;
        //! In recent_, unless the text has to stay in memory.
        std::optional<std::list<LogIndex>::iterator> place;
    };

    void makeDroppable(LogIndex index, Item &item);
    void erase(LogIndex index);
    void dropOldest();

    std::size_t cacheBytes_;
    std::unordered_map<LogIndex, Item> items_;
    //! Texts that may be dropped, the one used last at the front.
    std::list<LogIndex> recent_;
    std::size_t droppableBytes_ = 0;
    std::size_t memoryBytes_ = 0;
    std::set<LogIndex> unstored_;
    std::vector<LogIndex> writing_;
    std::unordered_set<LogIndex> stored_;
    std::vector<LogIndex> forgotten_;
    std::map<LogIndex, std::size_t> missing_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_TURN_TEXTS_HPP_INCLUDED
