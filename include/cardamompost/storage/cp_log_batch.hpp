#ifndef CARDAMOMPOST_CP_LOG_BATCH_HPP_INCLUDED
#define CARDAMOMPOST_CP_LOG_BATCH_HPP_INCLUDED

#include <cardamompost/consensus/cp_raft_node.hpp>

#include <deque>
#include <utility>

namespace cardamompost
{

//! Number of a replicated log within a store: 0 for the control log, partition + 1 for a journal.
using GroupId = std::uint32_t;

inline constexpr GroupId controlGroup = 0;

//! What turns said, beside the ledger's log: entries with holes, each by itself. No partition has this number.
inline constexpr GroupId textGroup = 0xffff'ffff;

//! The way to the ledger's group, as one snapshot. No partition has this number.
inline constexpr GroupId membershipCacheGroup = 0xffff'fffe;

[[nodiscard]] constexpr GroupId journalGroup(PartitionId partition)
{
    return partition + 1;
}

//! What one record of a store says.
enum class RecordType : std::uint8_t {
    HardState = 1,
    //! Voids the entries of its group from its index on.
    Entry = 2,
    //! An entry copied from a segment that is to be removed, or one of a group whose entries stand by themselves;
    //! voids nothing but an older one of its index.
    MovedEntry = 3,
    Snapshot = 4,
    //! Entries that are not needed any more, without those that follow them.
    Forget = 5,
};

//! Changes that become durable together, in one sync.
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
    //! An entry that voids no others, for groups whose entries stand by themselves.
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
    //! What it holds, in order; it is empty afterwards.
    [[nodiscard]] std::vector<Record> takeRecords()
    {
        return std::exchange(records_, {});
    }
    //! Takes over what another batch holds.
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

//! A batch's records in order, in batches that are done once they hold so many bytes; one empty batch for none.
[[nodiscard]] std::deque<LogBatch> splitBatch(LogBatch &&whole, std::size_t partBytes);

//! The indexes that a Forget record's payload holds; nothing for a payload of another form.
[[nodiscard]] std::optional<std::vector<LogIndex>> decodeIndexes(std::string_view payload);

//! The snapshot of a Snapshot record; nothing for a payload of another form.
[[nodiscard]] std::optional<RaftSnapshot> decodeSnapshot(const LogBatch::Record &record);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LOG_BATCH_HPP_INCLUDED
