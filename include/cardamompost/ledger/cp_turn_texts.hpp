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

//! Turn texts (input and output of each turn), identified by the log index of the entry that finished the turn.
//!
//! A text is pinned in memory until it is on this member's disk; then it is subject to LRU eviction, which bounds
//! memory. The class tracks where texts are and performs no I/O: its owner reads and writes them and fetches missing
//! ones from other members. Thread-safety: none.
class TurnTexts
{
public:
    //! \param cacheBytes  limit for evictable texts; pinned texts do not count
    explicit TurnTexts(std::size_t cacheBytes = defaultCacheBytes)
        : cacheBytes_(cacheBytes)
    {
    }

    void setCacheBytes(std::size_t bytes)
    {
        cacheBytes_ = bytes;
    }

    //! Adds a text from the log and pins it in memory until it is stored.
    void add(LogIndex index, std::string text);
    //! Adds a text read from disk or fetched from another member; it may be evicted at any time.
    void cache(LogIndex index, std::string text);
    //! Returns null if the text is not in memory.
    [[nodiscard]] const std::string *find(LogIndex index);
    //! Concatenates texts; returns nothing unless all are in memory.
    [[nodiscard]] std::optional<std::string> join(const std::vector<LogIndex> &indexes);
    //! Removes the text of an expired turn.
    void remove(LogIndex index);

    //! Returns the texts to write to disk in addition to those being written, oldest first. They stay pinned until
    //! endStoring().
    [[nodiscard]] std::vector<LogIndex> beginStoring();
    //! All texts being written are on disk.
    void endStoring();
    //! Returns texts to delete from disk, each only once.
    [[nodiscard]] std::vector<LogIndex> takeObsolete();

    //! Registers a text found on disk at startup.
    void markStored(LogIndex index);
    //! Registers a text that was fetched from another member and written to disk.
    void markFetched(LogIndex index);
    //! Removes all texts except the given ones after the state was replaced. Given texts that are neither pinned in
    //! memory nor on disk become missing. Pinned ones count as held, so they must be on disk before the log that holds
    //! them is discarded.
    //! \param sizes  in bytes, by index
    void retain(const std::map<LogIndex, std::size_t> &sizes);

    [[nodiscard]] bool isStored(LogIndex index) const
    {
        return stored_.contains(index);
    }
    //! Sizes of the texts that this member should hold but does not, by index.
    [[nodiscard]] const std::map<LogIndex, std::size_t> &missing() const
    {
        return missing_;
    }
    //! Bytes of all texts in memory, pinned or evictable.
    [[nodiscard]] std::size_t memoryBytes() const
    {
        return memoryBytes_;
    }

    static constexpr std::size_t defaultCacheBytes = 16U << 20U;

private:
    struct CachedText {
        std::string text;
        //! Position in lruList_; empty while the text is pinned.
        std::optional<std::list<LogIndex>::iterator> lruPosition;
    };

    void makeEvictable(LogIndex index, CachedText &item);
    void evict(LogIndex index);
    void evictLeastRecentlyUsed();

    std::size_t cacheBytes_;
    std::unordered_map<LogIndex, CachedText> cached_;
    //! Evictable texts, most recently used first.
    std::list<LogIndex> lruList_;
    std::size_t evictableBytes_ = 0;
    std::size_t memoryBytes_ = 0;
    std::set<LogIndex> unstored_;
    std::vector<LogIndex> storing_;
    std::unordered_set<LogIndex> stored_;
    //! Texts on disk that are not needed; an index that is needed again is removed.
    std::set<LogIndex> obsolete_;
    std::map<LogIndex, std::size_t> missing_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_TURN_TEXTS_HPP_INCLUDED
