#include "cp_log_record.hpp"

#include <cardamompost/core/cp_invariant.hpp>
#include <cardamompost/storage/cp_log_store.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace cardamompost
{

namespace
{

constexpr std::string_view filePrefix = "segment-";
constexpr std::string_view fileSuffix = ".log";

const auto indexOf = [](const StoredEntry &entry) { return entry.index; };

std::uint64_t bytesOf(const StoredEntry &entry)
{
    return sizeof(RecordHeader) + entry.length;
}

std::optional<std::uint64_t> segmentNumber(std::string_view name)
{
    if (!name.starts_with(filePrefix) || !name.ends_with(fileSuffix)) {
        return std::nullopt;
    }
    name.remove_prefix(filePrefix.size());
    name.remove_suffix(fileSuffix.size());
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), number);
    return error == std::errc {} && end == name.data() + name.size() ? std::optional(number) : std::nullopt;
}

bool hasValidHeader(std::string_view bytes)
{
    SegmentHeader header;
    if (bytes.size() < sizeof(header)) {
        return false;
    }
    std::memcpy(&header, bytes.data(), sizeof(header));
    return header.magic == segmentMagic && header.version == segmentVersion;
}

// True when a valid record of a batch later than the limit is found at or after an offset.
bool hasRecordAfterBatch(std::string_view bytes, std::size_t offset, std::uint64_t batchLimit)
{
    for (std::size_t at = offset; at + sizeof(RecordHeader) <= bytes.size(); ++at) {
        std::uint64_t batch = 0;
        std::memcpy(&batch, bytes.data() + at + offsetof(RecordHeader, batch), sizeof(batch));
        // The batch number is checked first, so that a checksum is computed at few offsets only.
        if (batch > batchLimit && batch < batchLimit + (1ULL << 32U) && decodeRecord(bytes, at)) {
            return true;
        }
    }
    return false;
}

} // namespace

const StoredEntry *StoredGroup::find(LogIndex index) const
{
    const auto found = std::ranges::lower_bound(entries, index, {}, indexOf);
    return found == entries.end() || found->index != index ? nullptr : &*found;
}

const StoredEntry *StoredGroup::findBelow(LogIndex index) const
{
    const auto found = std::ranges::lower_bound(entries, index, {}, indexOf);
    return found == entries.begin() ? nullptr : &*std::prev(found);
}

LogStore::LogStore(IFiles &files, LogStoreOptions options)
    : files_(&files)
    , options_(options)
{
}

Result<LogStore> LogStore::open(IFiles &files, LogStoreOptions options)
{
    LogStore store(files, options);
    BOOST_OUTCOME_TRYV(store.openSegments());
    return store;
}

std::string LogStore::fileName(std::uint64_t number) const
{
    return fmt::format("{}{:012}{}", filePrefix, number, fileSuffix);
}

Result<void> LogStore::openSegments()
{
    BOOST_OUTCOME_TRY(const std::vector<std::string> names, files_->list());
    for (const std::string &name : names) {
        if (const auto number = segmentNumber(name)) {
            BOOST_OUTCOME_TRY(auto file, files_->open(name));
            segments_[*number].file = std::move(file);
        }
    }
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, segment] : segments_) {
        numbers.push_back(number);
    }
    for (const std::uint64_t number : numbers) {
        BOOST_OUTCOME_TRYV(replay(number, number == numbers.back()));
    }
    // A process that was killed between a write and its sync leaves unsynced records that are replayed here. They are
    // synced before later ones are written; otherwise a power loss could drop them and keep the later ones.
    if (!segments_.empty()) {
        BOOST_OUTCOME_TRYV(segments_.rbegin()->second.file->sync());
        BOOST_OUTCOME_TRYV(files_->syncFolder());
    }
    // New batches go to a new segment, so that a torn write is never in the same segment as records of an earlier run.
    return addSegment();
}

Result<void> LogStore::replay(std::uint64_t number, bool isLast)
{
    IFile &file = *segments_.at(number).file;
    BOOST_OUTCOME_TRY(const std::string bytes, file.readAt(0, file.size()));
    if (!hasValidHeader(bytes)) {
        // The header is synced before any batch, so a last segment without one was still being created.
        if (isLast && !hasRecordAfterBatch(bytes, 0, lastBatch_)) {
            segments_.erase(number);
            return files_->remove(fileName(number));
        }
        return makeError(
            ErrorKind::StorageCorrupt,
            fmt::format("{}: the segment header is damaged or has an unsupported version", fileName(number)));
    }
    std::uint64_t offset = sizeof(SegmentHeader);
    // Batches do not span segments; after a torn write, the next batch starts in a new segment.
    isLastBatchComplete_ = true;
    while (offset < bytes.size()) {
        const auto decoded = decodeRecord(bytes, offset);
        if (!decoded) {
            return handleDamagedRecord(number, bytes, offset, isLast);
        }
        const bool isConsecutive
            = decoded->header.batch == lastBatch_ + (isLastBatchComplete_ ? 1 : 0) || lastBatch_ == 0;
        if (!isConsecutive) {
            return makeError(
                ErrorKind::StorageCorrupt,
                fmt::format("{}: a batch is missing before the record at offset {}", fileName(number), offset));
        }
        apply(decoded->record, number, offset);
        lastBatch_ = decoded->header.batch;
        isLastBatchComplete_ = decoded->header.endsBatch != 0;
        offset += sizeof(RecordHeader) + decoded->header.length;
    }
    return boost::outcome_v2::success();
}

Result<void> LogStore::handleDamagedRecord(std::uint64_t number, const std::string &bytes, std::uint64_t offset,
                                           bool isLast)
{
    const std::uint64_t tornBatch = isLastBatchComplete_ ? lastBatch_ + 1 : lastBatch_;
    if (!isLast || hasRecordAfterBatch(bytes, offset, tornBatch)) {
        return makeError(ErrorKind::StorageCorrupt,
                         fmt::format("{}: the record at offset {} is damaged and is followed by synced records",
                                     fileName(number), offset));
    }
    return segments_.at(number).file->truncate(offset);
}

Result<void> LogStore::addSegment()
{
    const std::uint64_t number = segments_.empty() ? 1 : segments_.rbegin()->first + 1;
    BOOST_OUTCOME_TRY(auto file, files_->open(fileName(number)));
    const SegmentHeader header {segmentMagic, segmentVersion, 0};
    BOOST_OUTCOME_TRYV(file->append({reinterpret_cast<const char *>(&header), sizeof(header)}));
    BOOST_OUTCOME_TRYV(file->sync());
    BOOST_OUTCOME_TRYV(files_->syncFolder());
    segments_[number].file = std::move(file);
    return boost::outcome_v2::success();
}

Result<void> LogStore::write(const LogBatch &batch)
{
    if (batch.isEmpty()) {
        return boost::outcome_v2::success();
    }
    if (hasFailed_) {
        return makeError(ErrorKind::StorageFailed, "an earlier write failed; the store must be reopened");
    }
    Result<void> written = writeRecords(batch.records());
    // After a failed sync the kernel may drop the dirty pages, and the next sync would succeed without them.
    hasFailed_ = written.has_error();
    return written;
}

Result<void> LogStore::writeRecords(const std::vector<LogBatch::Record> &records)
{
    if (segments_.rbegin()->second.file->size() >= options_.segmentBytes) {
        BOOST_OUTCOME_TRYV(addSegment());
    }
    const std::uint64_t number = segments_.rbegin()->first;
    IFile &file = *segments_.rbegin()->second.file;
    const std::uint64_t start = file.size();
    // The number of a truncated batch is not reused, since its first records may remain.
    const std::uint64_t batch = lastBatch_ + 1;
    std::string bytes;
    std::vector<std::uint64_t> offsets;
    for (const LogBatch::Record &record : records) {
        offsets.push_back(start + bytes.size());
        encodeRecord(record, batch, &record == &records.back(), bytes);
    }
    BOOST_OUTCOME_TRYV(file.append(bytes));
    BOOST_OUTCOME_TRYV(file.sync());
    lastBatch_ = batch;
    isLastBatchComplete_ = true;
    for (std::size_t i = 0; i < records.size(); ++i) {
        apply(records[i], number, offsets[i]);
    }
    return boost::outcome_v2::success();
}

void LogStore::apply(const LogBatch::Record &record, std::uint64_t segment, std::uint64_t offset)
{
    StoredGroup &group = groups_[record.group];
    const StoredEntry entry {record.index, record.term, record.kind, static_cast<std::uint32_t>(record.payload.size()),
                             segment,      offset};
    switch (record.type) {
    case RecordType::HardState:
        group.hard = {record.term, record.payload};
        group.hardStateSegment_ = segment;
        break;
    case RecordType::Entry:
    case RecordType::MovedEntry:
        applyEntry(group, entry, record.type == RecordType::MovedEntry);
        break;
    case RecordType::Snapshot:
        applySnapshot(group, entry);
        break;
    case RecordType::Forget:
        applyForget(group, record);
        break;
    }
}

void LogStore::applyEntry(StoredGroup &group, const StoredEntry &entry, bool isMoved)
{
    auto position = std::ranges::lower_bound(group.entries, entry.index, {}, indexOf);
    if (isMoved) {
        if (position != group.entries.end() && position->index == entry.index) {
            subtractLiveBytes(*position);
            *position = entry;
        } else {
            group.entries.insert(position, entry);
        }
    } else {
        std::for_each(position, group.entries.end(),
                      [this](const StoredEntry &replaced) { subtractLiveBytes(replaced); });
        group.entries.erase(position, group.entries.end());
        group.entries.push_back(entry);
    }
    addLiveBytes(entry.segment, bytesOf(entry));
}

void LogStore::applySnapshot(StoredGroup &group, const StoredEntry &entry)
{
    if (entry.index < group.snapshotIndex) {
        return;
    }
    subtractLiveBytes(group.snapshotEntry_);
    const auto firstKept = std::ranges::upper_bound(group.entries, entry.index, {}, indexOf);
    std::for_each(group.entries.begin(), firstKept,
                  [this](const StoredEntry &replaced) { subtractLiveBytes(replaced); });
    group.entries.erase(group.entries.begin(), firstKept);
    group.snapshotIndex = entry.index;
    group.snapshotTerm = entry.term;
    group.snapshotEntry_ = entry;
    addLiveBytes(entry.segment, bytesOf(entry));
}

void LogStore::applyForget(StoredGroup &group, const LogBatch::Record &record)
{
    std::vector<LogIndex> indexes = decodeIndexes(record.payload).value_or(std::vector<LogIndex> {});
    if (indexes.empty()) {
        return;
    }
    std::ranges::sort(indexes);
    // Erased in one pass, since erasing each entry alone would be quadratic.
    const auto begin = std::ranges::lower_bound(group.entries, indexes.front(), {}, indexOf);
    const auto end = std::ranges::upper_bound(begin, group.entries.end(), indexes.back(), {}, indexOf);
    const auto kept = std::remove_if(begin, end, [&](const StoredEntry &entry) {
        const bool isDeleted = std::ranges::binary_search(indexes, entry.index);
        if (isDeleted) {
            subtractLiveBytes(entry);
        }
        return isDeleted;
    });
    group.entries.erase(kept, end);
}

void LogStore::addLiveBytes(std::uint64_t segment, std::uint64_t bytes)
{
    segments_.at(segment).liveBytes += bytes;
}

void LogStore::subtractLiveBytes(const StoredEntry &entry)
{
    const auto segment = segments_.find(entry.segment);
    if (entry.segment != 0 && segment != segments_.end()) {
        checkInvariant(segment->second.liveBytes >= bytesOf(entry), "live bytes are never negative");
        segment->second.liveBytes -= bytesOf(entry);
    }
}

const StoredGroup &LogStore::group(GroupId id) const
{
    static const StoredGroup empty;
    const auto found = groups_.find(id);
    return found == groups_.end() ? empty : found->second;
}

Result<LogEntry> LogStore::read(GroupId id, const StoredEntry &entry)
{
    const auto segment = segments_.find(entry.segment);
    if (segment == segments_.end()) {
        return makeError(ErrorKind::StorageFailed, "the segment of the entry was removed");
    }
    BOOST_OUTCOME_TRY(const std::string bytes, segment->second.file->readAt(entry.offset, bytesOf(entry)));
    const auto decoded = decodeRecord(bytes, 0);
    if (!decoded || decoded->record.group != id || decoded->record.index != entry.index) {
        return makeError(ErrorKind::StorageCorrupt,
                         fmt::format("{}: the record at offset {} is damaged", fileName(entry.segment), entry.offset));
    }
    return LogEntry {entry.index, entry.term, entry.kind, decoded->record.payload};
}

Result<RaftStoredState> LogStore::loadRaft(GroupId id)
{
    const StoredGroup &stored = group(id);
    RaftStoredState state;
    state.hard = stored.hard;
    if (stored.snapshotIndex != 0) {
        BOOST_OUTCOME_TRY(const LogEntry record, read(id, stored.snapshotEntry_));
        const auto snapshot
            = decodeSnapshot({RecordType::Snapshot, id, record.index, record.term, record.kind, record.payload});
        if (!snapshot) {
            return makeError(ErrorKind::StorageCorrupt, "the snapshot is malformed");
        }
        state.snapshot = *snapshot;
    }
    for (const StoredEntry &entry : stored.entries) {
        BOOST_OUTCOME_TRY(LogEntry loaded, read(id, entry));
        state.entries.push_back(std::move(loaded));
    }
    return state;
}

std::uint64_t LogStore::totalBytes() const
{
    std::uint64_t total = 0;
    for (const auto &[number, segment] : segments_) {
        total += segment.file->size();
    }
    return total;
}

std::uint64_t LogStore::liveBytes() const
{
    std::uint64_t live = 0;
    for (const auto &[number, segment] : segments_) {
        live += segment.liveBytes;
    }
    return live;
}

Result<void> LogStore::collectLiveRecords(std::uint64_t segment, LogBatch &moves)
{
    for (auto &[id, group] : groups_) {
        if (group.hardStateSegment_ == segment) {
            moves.putHardState(id, group.hard);
        }
        if (group.snapshotEntry_.segment == segment) {
            BOOST_OUTCOME_TRY(LogEntry snapshot, read(id, group.snapshotEntry_));
            moves.add(
                {RecordType::Snapshot, id, snapshot.index, snapshot.term, snapshot.kind, std::move(snapshot.payload)});
        }
        for (const StoredEntry &entry : group.entries) {
            if (entry.segment == segment) {
                BOOST_OUTCOME_TRY(LogEntry moved, read(id, entry));
                moves.add({RecordType::MovedEntry, id, moved.index, moved.term, moved.kind, std::move(moved.payload)});
            }
        }
    }
    return boost::outcome_v2::success();
}

Result<void> LogStore::clean()
{
    // Only the oldest segment is removed: a record that deletes or replaces entries is stored after them, and without
    // it the next open would restore them.
    const std::uint64_t oldest = segments_.begin()->first;
    const bool isCleaningDue
        = static_cast<double>(liveBytes()) < options_.cleanBelowLiveShare * static_cast<double>(totalBytes());
    if (segments_.size() < 2 || !isCleaningDue || totalBytes() < options_.segmentBytes) {
        return boost::outcome_v2::success();
    }
    LogBatch moves;
    BOOST_OUTCOME_TRYV(collectLiveRecords(oldest, moves));
    BOOST_OUTCOME_TRYV(write(moves));
    checkInvariant(segments_.at(oldest).liveBytes == 0, "a removed segment has no live records");
    segments_.erase(oldest);
    BOOST_OUTCOME_TRYV(files_->remove(fileName(oldest)));
    return files_->syncFolder();
}

} // namespace cardamompost
