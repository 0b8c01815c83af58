#include <cardamompost/core/cp_invariant.hpp>
#include <cardamompost/journal/cp_journal_keeper.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

// Room that an entry takes in a reply besides its payload.
constexpr std::size_t entryOverheadBytes = 64;

// Holds one hard state, which says that this disk replaces a lost one, and by its term how far it has come since.
constexpr GroupId markerGroup = 0xFFFFFFFFU;
constexpr Term promisesLost = 1;
constexpr Term promisesRestored = 2;

// Indexes that a request leaves out, but the keeper still holds. They were forgotten at the sender, or are
// leftovers of an owner that never got a quorum for them; neither may be read again.
std::vector<LogIndex> findVoided(const StoredGroup &group, const JournalAppend &request)
{
    std::vector<LogIndex> voided;
    LogIndex before = request.previousIndex;
    for (const LogEntry &entry : request.entries) {
        auto held = std::ranges::upper_bound(group.entries, before, {}, &StoredEntry::index);
        for (; held != group.entries.end() && held->index < entry.index; ++held) {
            voided.push_back(held->index);
        }
        before = entry.index;
    }
    return voided;
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
    batch.putHardState(markerGroup, {promisesLost, std::string(unknownVote)});
}

void JournalKeeper::restorePromises(const std::vector<Epoch> &epochs, LogBatch &batch)
{
    // Guards against an owner that was deposed before the loss: the promise that kept it out is gone, and it could
    // get entries confirmed beside the present owner. Whatever was promised, the control log had given out before.
    for (PartitionId partition = 0; partition < epochs.size(); ++partition) {
        batch.putHardState(journalGroup(partition), {epochs[partition], std::string(unknownVote)});
    }
    batch.putHardState(markerGroup, {promisesRestored, std::string(unknownVote)});
}

bool JournalKeeper::isReady() const
{
    return store_.group(markerGroup).hard.term != promisesLost;
}

bool JournalKeeper::isUninitialized(PartitionId partition) const
{
    return groupOf(partition).hard.votedFor == unknownVote;
}

bool JournalKeeper::promise(PartitionId partition, Epoch epoch, const VmName &owner, LogBatch &batch)
{
    const RaftHardState &hard = groupOf(partition).hard;
    if (epoch < hard.term) {
        return false;
    }
    const bool isOwnUninitialized = isUninitialized(partition);
    checkInvariant(epoch > hard.term || owner == hard.votedFor || isOwnUninitialized, "an epoch belongs to one owner");
    if (epoch > hard.term) {
        batch.putHardState(journalGroup(partition), {epoch, isOwnUninitialized ? std::string(unknownVote) : owner});
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
    batch.forget(id, findVoided(group, request));
    bool isReplacing = false;
    for (const LogEntry &entry : request.entries) {
        const StoredEntry *held = group.find(entry.index);
        if (!isReplacing && held != nullptr && held->term == entry.term) {
            continue;
        }
        // A hole here was committed and forgotten; stored again, the entry would void the committed ones behind it.
        if (!isReplacing && held == nullptr && entry.index < group.lastIndex()) {
            continue;
        }
        checkInvariant(held == nullptr || held->term < request.epoch, "an owner never replaces its own entry");
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
    // The last entry stays, whatever it holds: its index and term tell a new owner how far this copy goes.
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
    // A reader of a lower epoch could take entries for committed that a newer owner has replaced since.
    // A copy that is being filled up anew must not be a source: what it lacks would look forgotten to the reader,
    // and be dropped from copies that are whole.
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
