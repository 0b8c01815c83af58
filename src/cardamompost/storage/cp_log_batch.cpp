#include <cardamompost/storage/cp_log_batch.hpp>

#include <cstring>

namespace cardamompost
{

void LogBatch::putHardState(GroupId group, const RaftHardState &state)
{
    records_.push_back({RecordType::HardState, group, 0, state.term, EntryKind::Command, state.votedFor});
}

void LogBatch::putEntry(GroupId group, const LogEntry &entry)
{
    records_.push_back({RecordType::Entry, group, entry.index, entry.term, entry.kind, entry.payload});
}

void LogBatch::putUnorderedEntry(GroupId group, LogIndex index, std::string payload)
{
    records_.push_back({RecordType::MovedEntry, group, index, 0, EntryKind::Command, std::move(payload)});
}

void LogBatch::putSnapshot(GroupId group, const RaftSnapshot &snapshot)
{
    const std::string membership = snapshot.membership.encode();
    const auto size = static_cast<std::uint32_t>(membership.size());
    std::string payload(sizeof(size), '\0');
    std::memcpy(payload.data(), &size, sizeof(size));
    payload += membership;
    payload += snapshot.state;
    records_.push_back(
        {RecordType::Snapshot, group, snapshot.index, snapshot.term, EntryKind::Command, std::move(payload)});
}

void LogBatch::forget(GroupId group, const std::vector<LogIndex> &indexes)
{
    if (indexes.empty()) {
        return;
    }
    std::string payload(indexes.size() * sizeof(LogIndex), '\0');
    std::memcpy(payload.data(), indexes.data(), payload.size());
    records_.push_back({RecordType::Forget, group, 0, 0, EntryKind::Command, std::move(payload)});
}

std::deque<LogBatch> splitBatch(LogBatch &&whole, std::size_t partBytes)
{
    std::deque<LogBatch> parts(1);
    std::size_t bytes = 0;
    for (LogBatch::Record &record : whole.takeRecords()) {
        if (bytes >= partBytes) {
            parts.emplace_back();
            bytes = 0;
        }
        bytes += record.payload.size();
        parts.back().add(std::move(record));
    }
    return parts;
}

std::optional<std::vector<LogIndex>> decodeIndexes(std::string_view payload)
{
    if (payload.size() % sizeof(LogIndex) != 0) {
        return std::nullopt;
    }
    std::vector<LogIndex> indexes(payload.size() / sizeof(LogIndex));
    std::memcpy(indexes.data(), payload.data(), payload.size());
    return indexes;
}

std::optional<RaftSnapshot> decodeSnapshot(const LogBatch::Record &record)
{
    std::uint32_t size = 0;
    if (record.payload.size() < sizeof(size)) {
        return std::nullopt;
    }
    std::memcpy(&size, record.payload.data(), sizeof(size));
    if (record.payload.size() - sizeof(size) < size) {
        return std::nullopt;
    }
    auto membership = Membership::decode(record.payload.substr(sizeof(size), size));
    if (!membership) {
        return std::nullopt;
    }
    return RaftSnapshot {record.index, record.term, std::move(*membership), record.payload.substr(sizeof(size) + size)};
}

} // namespace cardamompost
