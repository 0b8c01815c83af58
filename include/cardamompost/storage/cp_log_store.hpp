#ifndef CARDAMOMPOST_CP_LOG_STORE_HPP_INCLUDED
#define CARDAMOMPOST_CP_LOG_STORE_HPP_INCLUDED

#include <cardamompost/storage/cp_ifiles.hpp>
#include <cardamompost/storage/cp_log_batch.hpp>

#include <map>

namespace cardamompost
{

struct LogStoreOptions {
    std::uint64_t segmentBytes = 16U << 20U;
    //! The oldest segment is cleaned when the share of live bytes in the store falls below this, 0 to 1.
    double cleanBelowLiveShare = 0.5;
};

//! Location and metadata of a stored entry.
struct StoredEntry {
    LogIndex index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::Command;
    std::uint32_t length = 0;
    std::uint64_t segment = 0;
    std::uint64_t offset = 0;
};

//! Index of a group's records. Entries are ordered by index; deleted entries leave gaps.
struct StoredGroup {
    RaftHardState hard;
    LogIndex snapshotIndex = 0;
    Term snapshotTerm = 0;
    std::vector<StoredEntry> entries;

    [[nodiscard]] LogIndex lastIndex() const
    {
        return entries.empty() ? snapshotIndex : entries.back().index;
    }
    [[nodiscard]] Term lastTerm() const
    {
        return entries.empty() ? snapshotTerm : entries.back().term;
    }
    //! The entry at an index; null for a deleted entry or beyond the end.
    [[nodiscard]] const StoredEntry *find(LogIndex index) const;
    //! The last entry below an index; null when there is none.
    [[nodiscard]] const StoredEntry *findBelow(LogIndex index) const;

private:
    friend class LogStore;
    std::uint64_t hardStateSegment_ = 0;
    StoredEntry snapshotEntry_;
};

//! Write-ahead log for several replicated logs in one sequence of segment files, so that they share syncs.
//!
//! Each record has a checksum, the number of its batch and a flag on the last record of a batch. A batch is written
//! only after the previous one is synced. On open, a damaged record without a later batch behind it is therefore a torn
//! write that was never acknowledged, and is truncated. Any other damaged record is corruption of synced data, and
//! open() fails: a member that lacks acknowledged entries has to be restored from the other members.
//!
//! After a failed write or sync, all further writes fail until the store is reopened.
//!
//! Thread-safety: none; to be used from one thread.
class LogStore
{
public:
    //! Errors: StorageFailed; StorageCorrupt, with the file and the offset if known.
    [[nodiscard]] static Result<LogStore> open(IFiles &files, LogStoreOptions options = {});

    //! Appends and syncs a batch. Errors: StorageFailed, after which every further write fails.
    Result<void> write(const LogBatch &batch);

    //! The index of a group; empty for an unknown group.
    [[nodiscard]] const StoredGroup &group(GroupId id) const;
    [[nodiscard]] Result<LogEntry> read(GroupId id, const StoredEntry &entry);
    //! Loads the state that a RaftNode starts from. Errors: StorageFailed, StorageCorrupt.
    [[nodiscard]] Result<RaftStoredState> loadRaft(GroupId id);

    //! Copies the live records out of the oldest segment and removes it, if too few bytes of the store are live.
    Result<void> clean();

    //! True when the store holds no records.
    [[nodiscard]] bool isEmpty() const
    {
        return groups_.empty();
    }
    [[nodiscard]] std::uint64_t totalBytes() const;
    [[nodiscard]] std::uint64_t liveBytes() const;
    [[nodiscard]] bool hasFailed() const
    {
        return hasFailed_;
    }

private:
    struct Segment {
        std::unique_ptr<IFile> file;
        std::uint64_t liveBytes = 0;
    };

    LogStore(IFiles &files, LogStoreOptions options);

    Result<void> openSegments();
    Result<void> replay(std::uint64_t number, bool isLast);
    Result<void> handleDamagedRecord(std::uint64_t number, const std::string &bytes, std::uint64_t offset, bool isLast);
    Result<void> addSegment();
    Result<void> writeRecords(const std::vector<LogBatch::Record> &records);
    void apply(const LogBatch::Record &record, std::uint64_t segment, std::uint64_t offset);
    void applyEntry(StoredGroup &group, const StoredEntry &entry, bool isMoved);
    void applySnapshot(StoredGroup &group, const StoredEntry &entry);
    void applyForget(StoredGroup &group, const LogBatch::Record &record);
    void addLiveBytes(std::uint64_t segment, std::uint64_t bytes);
    void subtractLiveBytes(const StoredEntry &entry);
    [[nodiscard]] std::string fileName(std::uint64_t number) const;
    Result<void> collectLiveRecords(std::uint64_t segment, LogBatch &moves);

    IFiles *files_;
    LogStoreOptions options_;
    std::map<std::uint64_t, Segment> segments_;
    std::map<GroupId, StoredGroup> groups_;
    std::uint64_t lastBatch_ = 0;
    bool isLastBatchComplete_ = true;
    bool hasFailed_ = false;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LOG_STORE_HPP_INCLUDED
