#include <cardamompost/core/cp_invariant.hpp>
#include <cardamompost/journal/cp_journal_keeper.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

// Approximate size of an entry in a reply in addition to its payload.
constexpr std::size_t entryOverheadBytes = 64;

// Pseudo-group that marks a replaced disk; the term of its hard state is one of the two below.
constexpr GroupId diskLossGroup = 0xFFFFFFFFU;
constexpr Term promisesLost = 1;
constexpr Term promisesRestored = 2;

// Indexes that the keeper holds but a request skips: forgotten by the sender, or never committed by an earlier owner.
// Neither may be read again.
std::vector<LogIndex> findOmitted(const StoredGroup &group, const JournalAppend &request)
{
    std::vector<LogIndex> omitted;
    LogIndex before = request.previousIndex;
    for (const LogEntry &entry : request.entries) {
        auto held = std::ranges::upper_bound(group.entries, before, {}, &StoredEntry::index);
        for (; held != group.entries.end() && held->index < entry.index; ++held) {
            omitted.push_back(held->index);
        }
        before = entry.index;
    }
    return omitted;
}

} // namespace

JournalKeeper::JournalKeeper(LogStore &store)
    : store_(store)
{
}

const StoredGroup &JournalKeeper::groupOf(PartitionId partition) const
{
    return store_.group(journalGroup(partition));
}

void JournalKeeper::markUninitialized(LogBatch &batch)
{
    batch.putHardState(diskLossGroup, {promisesLost, std::string(unknownVotedFor)});
}

void JournalKeeper::restorePromises(const std::vector<Epoch> &epochs, LogBatch &batch)
{
    // Keeps owners fenced that were deposed before the loss. Every promised epoch was assigned by the control log, so
    // its current epochs are at least as high as the lost promises.
    for (PartitionId partition = 0; partition < epochs.size(); ++partition) {
        batch.putHardState(journalGroup(partition), {epochs[partition], std::string(unknownVotedFor)});
    }
    batch.putHardState(diskLossGroup, {promisesRestored, std::string(unknownVotedFor)});
}

bool JournalKeeper::isReady() const
{
    return store_.group(diskLossGroup).hard.term != promisesLost;
}

bool JournalKeeper::isUninitialized(PartitionId partition) const
{
    return groupOf(partition).hard.votedFor == unknownVotedFor;
}

bool JournalKeeper::promise(PartitionId partition, Epoch epoch, const VmName &owner, LogBatch &batch)
{
    const RaftHardState &hard = groupOf(partition).hard;
    if (epoch < hard.term) {
        return false;
    }
    const bool isReplicaUninitialized = isUninitialized(partition);
    checkInvariant(epoch > hard.term || owner == hard.votedFor || isReplicaUninitialized, "an epoch has one owner");
    if (epoch > hard.term) {
        batch.putHardState(journalGroup(partition),
                           {epoch, isReplicaUninitialized ? std::string(unknownVotedFor) : owner});
    }
    return true;
}

SealReply JournalKeeper::seal(const SealRequest &request, LogBatch &batch)
{
    const StoredGroup &group = groupOf(request.partition);
    SealReply reply;
    if (isUninitialized(request.partition)) {
        reply.promised = group.hard.term;
        return reply;
    }
    reply.accepted = promise(request.partition, request.epoch, request.owner, batch);
    reply.promised = std::max(group.hard.term, request.epoch);
    reply.lastIndex = group.lastIndex();
    reply.lastTerm = group.lastTerm();
    return reply;
}

JournalAppendReply JournalKeeper::append(const JournalAppend &request, LogBatch &batch)
{
    const StoredGroup &group = groupOf(request.partition);
    JournalAppendReply reply;
    reply.promised = std::max(group.hard.term, request.epoch);
    if (!promise(request.partition, request.epoch, request.owner, batch)) {
        return reply;
    }
    if (request.previousIndex != 0) {
        const StoredEntry *previous = group.find(request.previousIndex);
        if (previous == nullptr || previous->term != request.previousTerm) {
            const StoredEntry *below = group.findBelow(request.previousIndex);
            reply.index = below == nullptr ? 0 : below->index;
            return reply;
        }
    }
    reply.accepted = true;
    reply.index = request.entries.empty() ? request.previousIndex : request.entries.back().index;
    const GroupId id = journalGroup(request.partition);
    batch.forget(id, findOmitted(group, request));
    bool isReplacing = false;
    for (const LogEntry &entry : request.entries) {
        const StoredEntry *held = group.find(entry.index);
        if (!isReplacing && held != nullptr && held->term == entry.term) {
            continue;
        }
        // The entry was committed and forgotten here; storing it would truncate the committed entries after it.
        if (!isReplacing && held == nullptr && entry.index < group.lastIndex()) {
            continue;
        }
        checkInvariant(held == nullptr || held->term < request.epoch,
                       "an owner must not replace an entry of its own epoch");
        isReplacing = true;
        batch.putEntry(id, entry);
    }
    if (isUninitialized(request.partition) && request.commit != 0 && reply.index >= request.commit) {
        batch.putHardState(id, {request.epoch, request.owner});
    }
    return reply;
}

bool JournalKeeper::forget(const JournalForget &request, LogBatch &batch)
{
    if (!promise(request.partition, request.epoch, request.owner, batch)) {
        return false;
    }
    const StoredGroup &group = groupOf(request.partition);
    // The last entry is kept: a seal reports its index and term as the end of this replica.
    std::vector<LogIndex> held;
    for (const LogIndex index : request.indexes) {
        if (index < group.lastIndex() && group.find(index) != nullptr) {
            held.push_back(index);
        }
    }
    batch.forget(journalGroup(request.partition), held);
    return true;
}

Result<JournalReadReply> JournalKeeper::read(const JournalRead &request)
{
    const StoredGroup &group = groupOf(request.partition);
    JournalReadReply reply;
    reply.promised = group.hard.term;
    // A reader of a lower epoch could miss that a newer owner has replaced entries. On an uninitialized replica,
    // missing entries would look forgotten, and the reader would drop them from complete replicas.
    if (request.epoch < group.hard.term || isUninitialized(request.partition)) {
        return reply;
    }
    reply.accepted = true;
    if (const StoredEntry *below = group.findBelow(request.from)) {
        reply.previousIndex = below->index;
        reply.previousTerm = below->term;
    }
    std::size_t bytes = 0;
    auto entry = std::ranges::lower_bound(group.entries, request.from, {}, &StoredEntry::index);
    for (; entry != group.entries.end() && entry->index <= request.to; ++entry) {
        bytes += entry->length + entryOverheadBytes;
        if (bytes > request.maxBytes && !reply.entries.empty()) {
            return reply;
        }
        BOOST_OUTCOME_TRY(LogEntry loaded, store_.read(journalGroup(request.partition), *entry));
        reply.entries.push_back(std::move(loaded));
    }
    reply.isComplete = true;
    return reply;
}

} // namespace cardamompost
