#include <cardamompost/core/cp_invariant.hpp>
#include <cardamompost/journal/cp_journal_writer.hpp>

#include <algorithm>
#include <utility>

namespace cardamompost
{

namespace
{

// Approximate size of an entry in a request in addition to its payload.
constexpr std::size_t entryOverheadBytes = 64;
constexpr int maxBackoffDoublings = 6;

} // namespace

JournalWriter::JournalWriter(JournalWriterOptions options)
    : options_(std::move(options))
{
    checkInvariant(!options_.keepers.empty(), "a journal needs at least one keeper");
    for (const VmName &name : options_.keepers) {
        keepers_.try_emplace(name);
    }
}

std::size_t JournalWriter::quorum() const
{
    return keepers_.size() / 2 + 1;
}

bool JournalWriter::canSend(const Keeper &keeper, TimePoint now) const
{
    return keeper.pendingId == 0 && now >= keeper.retryAt;
}

void JournalWriter::tick(TimePoint now)
{
    now_ = now;
    for (auto &[name, keeper] : keepers_) {
        if (keeper.pendingId != 0 && now - keeper.sentAt > options_.requestTimeout) {
            onFailure(now, name, keeper.pendingId);
        }
    }
    prepareRequests(now);
}

LogIndex JournalWriter::append(std::string payload)
{
    checkInvariant(phase_ == JournalPhase::Open, "append requires an open journal");
    appendEntry(EntryKind::Command, std::move(payload));
    return lastIndex_;
}

void JournalWriter::appendEntry(EntryKind kind, std::string payload)
{
    windowBytes_ += payload.size() + entryOverheadBytes;
    window_.push_back({++lastIndex_, options_.epoch, kind, std::move(payload)});
}

std::vector<JournalRequest> JournalWriter::takeRequests(TimePoint now)
{
    // An idle writer is not ticked: with an outdated time, a keeper would seem to be in its retry backoff.
    now_ = now;
    prepareRequests(now);
    return std::exchange(outbox_, {});
}

JournalWriter::Recovered JournalWriter::takeRecovered()
{
    Recovered taken {recovered_.generation, std::move(recovered_.entries)};
    recovered_.entries.clear();
    return taken;
}

std::size_t JournalWriter::upToDateKeeperCount() const
{
    const auto isUpToDate
        = [this](const auto &item) { return item.second.isMatchKnown && item.second.matchIndex >= commitIndex_; };
    return static_cast<std::size_t>(std::count_if(keepers_.begin(), keepers_.end(), isUpToDate));
}

LogIndex JournalWriter::matchIndexOf(const VmName &keeper) const
{
    const auto found = keepers_.find(keeper);
    return found == keepers_.end() ? 0 : found->second.matchIndex;
}

void JournalWriter::send(const VmName &name, Keeper &keeper, std::variant<SealRequest, JournalAppend, JournalRead> body)
{
    keeper.pendingId = nextId_++;
    keeper.sentAt = now_;
    outbox_.push_back({name, keeper.pendingId, std::move(body)});
}

void JournalWriter::prepareRequests(TimePoint now)
{
    switch (phase_) {
    case JournalPhase::Sealing:
        prepareSeals(now);
        break;
    case JournalPhase::Recovering:
        prepareSeals(now);
        prepareRecoveryRead(now);
        break;
    case JournalPhase::CommittingBarrier:
    case JournalPhase::Open:
        for (auto &[name, keeper] : keepers_) {
            if (canSend(keeper, now)) {
                prepareAppend(name, keeper, now);
            }
        }
        break;
    case JournalPhase::Deposed:
        break;
    }
}

void JournalWriter::prepareSeals(TimePoint now)
{
    for (auto &[name, keeper] : keepers_) {
        if (!keeper.sealReply && canSend(keeper, now)) {
            send(name, keeper, SealRequest {options_.partition, options_.epoch, options_.self});
        }
    }
}

void JournalWriter::prepareRecoveryRead(TimePoint now)
{
    Keeper &source = keepers_.at(readSource_);
    if (canSend(source, now)) {
        source.isReadPending = true;
        const auto maxBytes = static_cast<std::uint32_t>(options_.maxAppendBytes);
        send(readSource_, source,
             JournalRead {options_.partition, options_.epoch, readFrom_, sourceEnd_.index, maxBytes});
    }
}

void JournalWriter::prepareAppend(const VmName &name, Keeper &keeper, TimePoint now)
{
    if (!keeper.isMatchKnown) {
        // The first append, possibly empty, starts at the window and determines the keeper's match index.
        keeper.nextIndex = keeper.nextIndex == 0 ? beforeWindow_.index + 1 : keeper.nextIndex;
    }
    if (keeper.nextIndex > beforeWindow_.index) {
        if (!keeper.isMatchKnown || keeper.nextIndex <= lastIndex_) {
            appendFromWindow(name, keeper);
        }
        return;
    }
    startCatchUp(name, now);
}

void JournalWriter::appendFromWindow(const VmName &name, Keeper &keeper)
{
    JournalAppend request {
        options_.partition, options_.epoch, options_.self, beforeWindow_.index, beforeWindow_.term, {}, commitIndex_};
    if (keeper.nextIndex > beforeWindow_.index + 1) {
        request.previousIndex = keeper.nextIndex - 1;
        request.previousTerm = options_.epoch;
    }
    addFromWindow(request, keeper.nextIndex);
    send(name, keeper, std::move(request));
}

void JournalWriter::addFromWindow(JournalAppend &request, LogIndex from) const
{
    std::size_t bytes = 0;
    // Indexes in the window are contiguous.
    for (std::size_t at = from - beforeWindow_.index - 1; at < window_.size(); ++at) {
        bytes += window_[at].payload.size() + entryOverheadBytes;
        if (bytes > options_.maxAppendBytes && !request.entries.empty()) {
            return;
        }
        request.entries.push_back(window_[at]);
    }
}

void JournalWriter::startCatchUp(const VmName &lagging, TimePoint now)
{
    Keeper &target = keepers_.at(lagging);
    for (auto &[name, keeper] : keepers_) {
        const bool holdsAll = keeper.isMatchKnown && keeper.matchIndex >= beforeWindow_.index;
        if (name == lagging || !holdsAll || !canSend(keeper, now)) {
            continue;
        }
        keeper.isReadPending = true;
        keeper.readForLaggingKeeper = lagging;
        keeper.readTo = beforeWindow_.index;
        const auto maxBytes = static_cast<std::uint32_t>(options_.maxAppendBytes);
        send(name, keeper,
             JournalRead {options_.partition, options_.epoch, target.nextIndex, beforeWindow_.index, maxBytes});
        // Nothing is sent to the lagging keeper until the read has ended or timed out.
        target.retryAt = now + options_.requestTimeout;
        return;
    }
}

void JournalWriter::onReply(TimePoint now, const VmName &name, std::uint64_t id, const JournalReplyBody &reply)
{
    now_ = now;
    const auto found = keepers_.find(name);
    // A reply that arrives after its request has timed out must not be taken for the reply to the next request.
    if (found == keepers_.end() || found->second.pendingId != id || phase_ == JournalPhase::Deposed) {
        return;
    }
    Keeper &keeper = found->second;
    keeper.pendingId = 0;
    keeper.failures = 0;
    if (const auto *seal = std::get_if<SealReply>(&reply)) {
        onSeal(keeper, *seal);
    } else if (const auto *append = std::get_if<JournalAppendReply>(&reply)) {
        onAppend(keeper, *append);
    } else {
        onRead(name, keeper, std::get<JournalReadReply>(reply));
    }
    prepareRequests(now);
}

void JournalWriter::onFailure(TimePoint now, const VmName &name, std::uint64_t id)
{
    now_ = now;
    const auto found = keepers_.find(name);
    if (found == keepers_.end() || found->second.pendingId != id) {
        return;
    }
    Keeper &keeper = found->second;
    keeper.pendingId = 0;
    keeper.retryAt = now + std::min(options_.retryInterval * (1 << keeper.failures), options_.requestTimeout);
    keeper.failures = std::min(keeper.failures + 1, maxBackoffDoublings);
    if (!keeper.isReadPending) {
        return;
    }
    keeper.isReadPending = false;
    keeper.readForLaggingKeeper.clear();
    onReadSourceLost(name, keeper);
}

void JournalWriter::onReadSourceLost(const VmName &name, Keeper &keeper)
{
    if (phase_ == JournalPhase::Recovering && name == readSource_) {
        // Seals this keeper again and restarts the recovery once a quorum is sealed, from the most complete replica.
        keeper.sealReply.reset();
        keeper.retryAt = now_ + options_.retryInterval;
        phase_ = JournalPhase::Sealing;
        startRecovery();
    }
}

bool JournalWriter::isIdle() const
{
    const auto isCaughtUp = [this](const auto &item) {
        const Keeper &keeper = item.second;
        return keeper.pendingId == 0 && keeper.isMatchKnown && keeper.nextIndex > lastIndex_;
    };
    return phase_ == JournalPhase::Open && std::all_of(keepers_.begin(), keepers_.end(), isCaughtUp);
}

void JournalWriter::invalidateMatchIndex(const VmName &name)
{
    const auto found = keepers_.find(name);
    if (found != keepers_.end()) {
        // Without appends, a lost replica would otherwise go undetected until a second one is lost.
        found->second.isMatchKnown = false;
        found->second.nextIndex = 0;
        found->second.retryAt = {};
    }
}

void JournalWriter::depose(Epoch promised)
{
    checkInvariant(promised > options_.epoch, "an owner is deposed only by a higher epoch");
    phase_ = JournalPhase::Deposed;
    outbox_.clear();
}

void JournalWriter::onSeal(Keeper &keeper, const SealReply &reply)
{
    if (!reply.accepted && reply.promised <= options_.epoch) {
        // The keeper has lost its disk and can't count in the quorum.
        keeper.retryAt = now_ + options_.requestTimeout;
        return;
    }
    if (!reply.accepted) {
        depose(reply.promised);
        return;
    }
    keeper.sealReply = reply;
    if (phase_ == JournalPhase::Sealing) {
        startRecovery();
    }
}

void JournalWriter::startRecovery()
{
    std::size_t sealedCount = 0;
    Position best;
    for (const auto &[name, keeper] : keepers_) {
        if (!keeper.sealReply) {
            continue;
        }
        const Position end {keeper.sealReply->lastIndex, keeper.sealReply->lastTerm};
        if (sealedCount == 0 || std::pair(end.term, end.index) > std::pair(best.term, best.index)) {
            best = end;
            readSource_ = name;
        }
        ++sealedCount;
    }
    if (sealedCount < quorum()) {
        return;
    }
    phase_ = JournalPhase::Recovering;
    sourceEnd_ = best;
    readFrom_ = 1;
    recovered_ = {recovered_.generation + 1, {}};
    if (best.index == 0) {
        finishRecovery();
    }
}

void JournalWriter::onRead(const VmName &name, Keeper &keeper, const JournalReadReply &reply)
{
    keeper.isReadPending = false;
    const VmName readForLaggingKeeper = std::exchange(keeper.readForLaggingKeeper, {});
    if (!reply.accepted && reply.promised > options_.epoch) {
        depose(reply.promised);
        return;
    }
    if (!reply.accepted) {
        // The source has lost its disk since it was selected.
        keeper.isMatchKnown = false;
        onReadSourceLost(name, keeper);
        return;
    }
    if (!readForLaggingKeeper.empty()) {
        onCatchUpRead(readForLaggingKeeper, keeper.readTo, reply);
        return;
    }
    if (phase_ != JournalPhase::Recovering || name != readSource_) {
        return;
    }
    for (const LogEntry &entry : reply.entries) {
        readFrom_ = entry.index + 1;
        recovered_.entries.push_back(entry);
    }
    if (reply.isComplete) {
        finishRecovery();
    }
}

void JournalWriter::finishRecovery()
{
    beforeWindow_ = sourceEnd_;
    lastIndex_ = sourceEnd_.index;
    phase_ = JournalPhase::CommittingBarrier;
    // As in Raft, entries of earlier terms are committed only indirectly, by an entry of the current term.
    appendEntry(EntryKind::Barrier, {});
    barrierIndex_ = lastIndex_;
}

void JournalWriter::onCatchUpRead(const VmName &laggingName, LogIndex readTo, const JournalReadReply &reply)
{
    Keeper &lagging = keepers_.at(laggingName);
    lagging.retryAt = now_;
    if (lagging.pendingId != 0) {
        return;
    }
    JournalAppend request {options_.partition, options_.epoch, options_.self, reply.previousIndex,
                           reply.previousTerm, reply.entries,  commitIndex_};
    if (reply.isComplete && readTo == beforeWindow_.index) {
        // The source may have forgotten the entry before the window, so the lagging keeper could not match a request
        // that starts at the window. If the window has advanced since the read, the gap would look forgotten; then
        // only the read entries are sent, and the rest is read next.
        addFromWindow(request, beforeWindow_.index + 1);
    }
    send(laggingName, lagging, std::move(request));
}

void JournalWriter::onAppend(Keeper &keeper, const JournalAppendReply &reply)
{
    if (!reply.accepted && reply.promised > options_.epoch) {
        depose(reply.promised);
        return;
    }
    keeper.nextIndex = reply.index + 1;
    if (!reply.accepted) {
        // An index below the match index means that the keeper has lost its disk.
        keeper.matchIndex = std::min(keeper.matchIndex, reply.index);
        return;
    }
    keeper.isMatchKnown = true;
    keeper.matchIndex = std::max(keeper.matchIndex, reply.index);
    advanceCommit();
    trimWindow();
}

void JournalWriter::advanceCommit()
{
    std::vector<LogIndex> matches;
    for (const auto &[name, keeper] : keepers_) {
        matches.push_back(keeper.matchIndex);
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const LogIndex candidate = matches[quorum() - 1];
    if (candidate < barrierIndex_ || candidate <= commitIndex_) {
        return;
    }
    checkInvariant(candidate <= lastIndex_, "a match index must not exceed the last index");
    commitIndex_ = candidate;
    if (phase_ == JournalPhase::CommittingBarrier) {
        phase_ = JournalPhase::Open;
    }
}

void JournalWriter::trimWindow()
{
    LogIndex matchedByAll = lastIndex_;
    for (const auto &[name, keeper] : keepers_) {
        matchedByAll = std::min(matchedByAll, keeper.matchIndex);
    }
    while (!window_.empty()) {
        const LogEntry &first = window_.front();
        const bool isOverfull = windowBytes_ > options_.windowBytes && first.index <= commitIndex_;
        if (first.index > matchedByAll && !isOverfull) {
            return;
        }
        beforeWindow_ = {first.index, first.term};
        windowBytes_ -= first.payload.size() + entryOverheadBytes;
        window_.pop_front();
    }
}

} // namespace cardamompost
