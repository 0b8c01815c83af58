#include <cardamompost/core/cp_invariant.hpp>
#include <cardamompost/journal/cp_journal_writer.hpp>

#include <algorithm>
#include <utility>

namespace cardamompost
{

namespace
{

constexpr std::size_t entryOverheadBytes = 64;
constexpr int maxBackoffDoublings = 6;

} // namespace

JournalWriter::JournalWriter(JournalWriterOptions options)
    : options_(std::move(options))
{
    checkInvariant(!options_.keepers.empty(), "a journal has keepers");
    for (const VmName &name : options_.keepers) {
        keepers_.try_emplace(name);
    }
}

std::size_t JournalWriter::quorum() const
{
    return keepers_.size() / 2 + 1;
}

bool JournalWriter::isFree(const Keeper &keeper, TimePoint now) const
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
    pump(now);
}

LogIndex JournalWriter::append(std::string payload)
{
    checkInvariant(phase_ == JournalPhase::Open, "a journal is appended to only while it is open");
    push(EntryKind::Command, std::move(payload));
    return lastIndex_;
}

void JournalWriter::push(EntryKind kind, std::string payload)
{
    windowSize_ += payload.size() + entryOverheadBytes;
    window_.push_back({++lastIndex_, options_.epoch, kind, std::move(payload)});
}

std::vector<JournalRequest> JournalWriter::takeRequests(TimePoint now)
{
    // Guards against an append that waits for the next tick: a writer that has been quiet knows only an old time, by
    // which a keeper may still seem to rest after a failure.
    now_ = now;
    pump(now);
    return std::exchange(outbox_, {});
}

JournalWriter::Recovered JournalWriter::takeRecovered()
{
    Recovered taken {recovered_.generation, std::move(recovered_.entries)};
    recovered_.entries.clear();
    return taken;
}

std::size_t JournalWriter::upToDateKeepers() const
{
    const auto isSynced = [this](const auto &item) { return item.second.isKnown && item.second.match >= commit_; };
    return static_cast<std::size_t>(std::count_if(keepers_.begin(), keepers_.end(), isSynced));
}

LogIndex JournalWriter::matchOf(const VmName &keeper) const
{
    const auto found = keepers_.find(keeper);
    return found == keepers_.end() ? 0 : found->second.match;
}

void JournalWriter::send(const VmName &name, Keeper &keeper, std::variant<SealRequest, JournalAppend, JournalRead> body)
{
    keeper.pendingId = nextId_++;
    keeper.sentAt = now_;
    outbox_.push_back({name, keeper.pendingId, std::move(body)});
}

void JournalWriter::pump(TimePoint now)
{
    switch (phase_) {
    case JournalPhase::Sealing:
        pumpSealing(now);
        break;
    case JournalPhase::Reading:
        pumpSealing(now);
        pumpReading(now);
        break;
    case JournalPhase::Confirming:
    case JournalPhase::Open:
        for (auto &[name, keeper] : keepers_) {
            if (isFree(keeper, now)) {
                pumpAppending(name, keeper, now);
            }
        }
        break;
    case JournalPhase::Deposed:
        break;
    }
}

void JournalWriter::pumpSealing(TimePoint now)
{
    for (auto &[name, keeper] : keepers_) {
        if (!keeper.sealed && isFree(keeper, now)) {
            send(name, keeper, SealRequest {options_.partition, options_.epoch, options_.self});
        }
    }
}

void JournalWriter::pumpReading(TimePoint now)
{
    Keeper &source = keepers_.at(source_);
    if (isFree(source, now)) {
        source.isReading = true;
        const auto maxBytes = static_cast<std::uint32_t>(options_.maxAppendBytes);
        send(source_, source, JournalRead {options_.partition, options_.epoch, readFrom_, sourceEnd_.index, maxBytes});
    }
}

void JournalWriter::pumpAppending(const VmName &name, Keeper &keeper, TimePoint now)
{
    if (!keeper.isKnown) {
        // An empty append behind the best copy's end finds out how far this keeper agrees.
        keeper.next = keeper.next == 0 ? beforeWindow_.index + 1 : keeper.next;
    }
    if (keeper.next > beforeWindow_.index) {
        if (!keeper.isKnown || keeper.next <= lastIndex_) {
            appendFromWindow(name, keeper);
        }
        return;
    }
    startCopy(name, now);
}

void JournalWriter::appendFromWindow(const VmName &name, Keeper &keeper)
{
    JournalAppend request {
        options_.partition, options_.epoch, options_.self, beforeWindow_.index, beforeWindow_.term, {}, commit_};
    if (keeper.next > beforeWindow_.index + 1) {
        request.previousIndex = keeper.next - 1;
        request.previousTerm = options_.epoch;
    }
    addFromWindow(request, keeper.next);
    send(name, keeper, std::move(request));
}

void JournalWriter::addFromWindow(JournalAppend &request, LogIndex from) const
{
    std::size_t bytes = 0;
    // The window has no holes, so an entry's place follows from its index.
    for (std::size_t at = from - beforeWindow_.index - 1; at < window_.size(); ++at) {
        bytes += window_[at].payload.size() + entryOverheadBytes;
        if (bytes > options_.maxAppendBytes && !request.entries.empty()) {
            return;
        }
        request.entries.push_back(window_[at]);
    }
}

void JournalWriter::startCopy(const VmName &laggard, TimePoint now)
{
    Keeper &behind = keepers_.at(laggard);
    for (auto &[name, keeper] : keepers_) {
        const bool holdsAll = keeper.isKnown && keeper.match >= beforeWindow_.index;
        if (name == laggard || !holdsAll || !isFree(keeper, now)) {
            continue;
        }
        keeper.isReading = true;
        keeper.readFor = laggard;
        keeper.readTo = beforeWindow_.index;
        const auto maxBytes = static_cast<std::uint32_t>(options_.maxAppendBytes);
        send(name, keeper,
             JournalRead {options_.partition, options_.epoch, behind.next, beforeWindow_.index, maxBytes});
        // The laggard waits for what is read for it.
        behind.retryAt = now + options_.requestTimeout;
        return;
    }
}

void JournalWriter::onReply(TimePoint now, const VmName &name, std::uint64_t id, const JournalReplyBody &reply)
{
    now_ = now;
    const auto found = keepers_.find(name);
    // Guards against a crossed answer: a reply that comes after its request was given up on must not be taken
    // for the reply to the next one.
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
    pump(now);
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
    if (!keeper.isReading) {
        return;
    }
    keeper.isReading = false;
    keeper.readFor.clear();
    onSourceLost(name, keeper);
}

void JournalWriter::onSourceLost(const VmName &name, Keeper &keeper)
{
    if (phase_ == JournalPhase::Reading && name == source_) {
        // Seal again, and read from whichever copy is best among those that answer.
        keeper.sealed.reset();
        keeper.retryAt = now_ + options_.retryInterval;
        phase_ = JournalPhase::Sealing;
        startReading();
    }
}

bool JournalWriter::isQuiet() const
{
    const auto isLevel = [this](const auto &item) {
        const Keeper &keeper = item.second;
        return keeper.pendingId == 0 && keeper.isKnown && keeper.next > lastIndex_;
    };
    return phase_ == JournalPhase::Open && std::all_of(keepers_.begin(), keepers_.end(), isLevel);
}

void JournalWriter::recheck(const VmName &name)
{
    const auto found = keepers_.find(name);
    if (found != keepers_.end()) {
        // Guards against a second loss: without writes to the partition nobody would notice that one copy is gone.
        found->second.isKnown = false;
        found->second.next = 0;
        found->second.retryAt = {};
    }
}

void JournalWriter::depose(Epoch promised)
{
    checkInvariant(promised > options_.epoch, "only a higher epoch deposes an owner");
    phase_ = JournalPhase::Deposed;
    outbox_.clear();
}

void JournalWriter::onSeal(Keeper &keeper, const SealReply &reply)
{
    if (!reply.accepted && reply.promised <= options_.epoch) {
        // The keeper has lost its disk and can't tell what it once held; the others have to do.
        keeper.retryAt = now_ + options_.requestTimeout;
        return;
    }
    if (!reply.accepted) {
        depose(reply.promised);
        return;
    }
    keeper.sealed = reply;
    if (phase_ == JournalPhase::Sealing) {
        startReading();
    }
}

void JournalWriter::startReading()
{
    std::size_t sealed = 0;
    Position best;
    for (const auto &[name, keeper] : keepers_) {
        if (!keeper.sealed) {
            continue;
        }
        const Position end {keeper.sealed->lastIndex, keeper.sealed->lastTerm};
        if (sealed == 0 || std::pair(end.term, end.index) > std::pair(best.term, best.index)) {
            best = end;
            source_ = name;
        }
        ++sealed;
    }
    if (sealed < quorum()) {
        return;
    }
    phase_ = JournalPhase::Reading;
    sourceEnd_ = best;
    readFrom_ = 1;
    recovered_ = {recovered_.generation + 1, {}};
    if (best.index == 0) {
        finishReading();
    }
}

void JournalWriter::onRead(const VmName &name, Keeper &keeper, const JournalReadReply &reply)
{
    keeper.isReading = false;
    const VmName readFor = std::exchange(keeper.readFor, {});
    if (!reply.accepted && reply.promised > options_.epoch) {
        depose(reply.promised);
        return;
    }
    if (!reply.accepted) {
        // The source has lost its disk since it was chosen.
        keeper.isKnown = false;
        onSourceLost(name, keeper);
        return;
    }
    if (!readFor.empty()) {
        onCopyRead(readFor, keeper.readTo, reply);
        return;
    }
    if (phase_ != JournalPhase::Reading || name != source_) {
        return;
    }
    for (const LogEntry &entry : reply.entries) {
        readFrom_ = entry.index + 1;
        recovered_.entries.push_back(entry);
    }
    if (reply.isComplete) {
        finishReading();
    }
}

void JournalWriter::finishReading()
{
    beforeWindow_ = sourceEnd_;
    lastIndex_ = sourceEnd_.index;
    phase_ = JournalPhase::Confirming;
    // Entries of earlier epochs can't be committed by counting them; the barrier commits them with itself.
    push(EntryKind::Barrier, {});
    barrier_ = lastIndex_;
}

void JournalWriter::onCopyRead(const VmName &laggingKeeperName, LogIndex readTo, const JournalReadReply &reply)
{
    Keeper &laggard = keepers_.at(laggingKeeperName);
    laggard.retryAt = now_;
    if (laggard.pendingId != 0) {
        return;
    }
    JournalAppend request {options_.partition, options_.epoch, options_.self, reply.previousIndex,
                           reply.previousTerm, reply.entries,  commit_};
    if (reply.isComplete && readTo == beforeWindow_.index) {
        // The entry right before the window may be forgotten at the source, so the window can't be joined to it by
        // a request of its own. When the window has moved on since the reading began, what lies between would look
        // forgotten; then only what was read is sent, and the rest is read next.
        addFromWindow(request, beforeWindow_.index + 1);
    }
    send(laggingKeeperName, laggard, std::move(request));
}

void JournalWriter::onAppend(Keeper &keeper, const JournalAppendReply &reply)
{
    if (!reply.accepted && reply.promised > options_.epoch) {
        depose(reply.promised);
        return;
    }
    keeper.next = reply.index + 1;
    if (!reply.accepted) {
        // Less than it once confirmed means that it has lost its disk.
        keeper.match = std::min(keeper.match, reply.index);
        return;
    }
    keeper.isKnown = true;
    keeper.match = std::max(keeper.match, reply.index);
    advanceCommit();
    trimWindow();
}

void JournalWriter::advanceCommit()
{
    std::vector<LogIndex> matches;
    for (const auto &[name, keeper] : keepers_) {
        matches.push_back(keeper.match);
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const LogIndex candidate = matches[quorum() - 1];
    if (candidate < barrier_ || candidate <= commit_) {
        return;
    }
    checkInvariant(candidate <= lastIndex_, "no keeper holds more than its owner wrote");
    commit_ = candidate;
    if (phase_ == JournalPhase::Confirming) {
        phase_ = JournalPhase::Open;
    }
}

void JournalWriter::trimWindow()
{
    LogIndex heldByAll = lastIndex_;
    for (const auto &[name, keeper] : keepers_) {
        heldByAll = std::min(heldByAll, keeper.match);
    }
    while (!window_.empty()) {
        const LogEntry &first = window_.front();
        const bool isOverfull = windowSize_ > options_.windowBytes && first.index <= commit_;
        if (first.index > heldByAll && !isOverfull) {
            return;
        }
        beforeWindow_ = {first.index, first.term};
        windowSize_ -= first.payload.size() + entryOverheadBytes;
        window_.pop_front();
    }
}

} // namespace cardamompost
