#ifndef CARDAMOMPOST_CP_LOG_BATCH_HPP_INCLUDED
#define CARDAMOMPOST_CP_LOG_BATCH_HPP_INCLUDED

#include <cardamompost/consensus/cp_raft_node.hpp>

#include <deque>
#include <utility>

namespace cardamompost
{

//! Identifies a replicated log within a store: 0 for the control log, partition + 1 for a journal.
using GroupId = std::uint32_t;

inline constexpr GroupId controlGroup = 0;

//! Texts of turns, stored as unordered entries beside the log of the ledger. Reserved: no journal has this number.
inline constexpr GroupId textGroup = 0xffff'ffff;

//! Cached membership of the ledger's group, as one snapshot. Reserved: no journal has this number.
inline constexpr GroupId membershipCacheGroup = 0xffff'fffe;

[[nodiscard]] constexpr GroupId journalGroup(PartitionId partition)
{
    return partition + 1;
}

enum class RecordType : std::uint8_t {
    HardState = 1,
    //! Replaces the entries of its group from its index on.
    Entry = 2,
    //! An entry copied by segment cleaning, or an unordered entry; replaces only an entry with the same index.
    MovedEntry = 3,
    Snapshot = 4,
    //! Deletes single entries; later entries stay.
    Forget = 5,
};

//! Changes that are written and synced together.
class LogBatch
{
public:
    struct Record {
        RecordType type = RecordType::Entry;
        GroupId group = 0;
        LogIndex index = 0;
        Term term = 0;
        EntryKind kind = EntryKind::Command;
        std::string payload;
    };

    void putHardState(GroupId group, const RaftHardState &state);
    void putEntry(GroupId group, const LogEntry &entry);
    //! Adds an entry that replaces no later ones, for groups whose entries are independent of each other.
    void putUnorderedEntry(GroupId group, LogIndex index, std::string payload);
    void putSnapshot(GroupId group, const RaftSnapshot &snapshot);
    void forget(GroupId group, const std::vector<LogIndex> &indexes);

    [[nodiscard]] bool isEmpty() const
    {
        return records_.empty();
    }
    [[nodiscard]] const std::vector<Record> &records() const
    {
        return records_;
    }
    void add(Record record)
    {
        records_.push_back(std::move(record));
    }
    //! Removes and returns the records, in order.
    [[nodiscard]] std::vector<Record> takeRecords()
    {
        return std::exchange(records_, {});
    }
    //! Moves the records of another batch to the end of this one.
    void append(LogBatch &&other)
    {
        for (Record &record : other.records_) {
            records_.push_back(std::move(record));
        }
        other.records_.clear();
    }

private:
    std::vector<Record> records_;
};

//! Splits a batch, in order, into parts of at least partBytes of payload each except the last; one empty part for an
//! empty batch.
[[nodiscard]] std::deque<LogBatch> splitBatch(LogBatch &&whole, std::size_t partBytes);

//! Parses the payload of a Forget record; empty for a malformed payload.
[[nodiscard]] std::optional<std::vector<LogIndex>> decodeIndexes(std::string_view payload);

//! Parses a Snapshot record; empty for a malformed payload.
[[nodiscard]] std::optional<RaftSnapshot> decodeSnapshot(const LogBatch::Record &record);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LOG_BATCH_HPP_INCLUDED
