#include "cp_consensus_driver.hpp"

#include <cardamompost/consensus/cp_compaction_policy.hpp>
#include <cardamompost/core/cp_invariant.hpp>

#include <boost/asio/post.hpp>
#include <fmt/ranges.h>

#include <algorithm>
#include <iterator>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds tickInterval {10};
constexpr Milliseconds proposalTimeout {2500};
constexpr Milliseconds minRoundInterval {4};
// Silence after which the connection to a member is reopened, since it may be dead.
constexpr Milliseconds silenceTimeout {700};
constexpr std::size_t entryOverheadBytes = 128;
constexpr std::size_t snapshotPartBytes = 256U << 10U;

TimePoint timeNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

ConsensusDriver::ConsensusDriver(Parts parts, IReplicatedState &state)
    : parts_(parts)
    , state_(state)
    , timer_(parts.io)
    , roundTimer_(parts.io)
    , committed_(parts.metrics.counter("cardamompost_ledger_commits_total"))
{
}

Result<void> ConsensusDriver::start(RaftOptions options, RaftStoredState stored, const Membership &initial)
{
    if (stored.snapshot.index != 0) {
        BOOST_OUTCOME_TRYV(state_.restore(stored.snapshot));
        snapshotBytes_ = stored.snapshot.state.size();
    }
    applied_ = stored.snapshot.index;
    compactionSlot_ = static_cast<unsigned>(stableHash(options.self) % CompactionPolicy::staggerSlots);
    node_.emplace(std::move(options), std::move(stored), initial, timeNow());
    scheduleTick();
    return boost::outcome_v2::success();
}

void ConsensusDriver::stop()
{
    isStopped_ = true;
    timer_.cancel();
    roundTimer_.cancel();
    failPending();
}

void ConsensusDriver::scheduleTick()
{
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error && !isStopped_) {
            tick();
            scheduleTick();
        }
    });
}

void ConsensusDriver::tick()
{
    const TimePoint now = timeNow();
    if (const std::uint64_t jobsDone = parts_.disk.jobsDone(); jobsDone != diskJobsDone_) {
        diskJobsDone_ = jobsDone;
        node_->noteDiskProgress(now);
    }
    const bool wasStalled = node_->isDiskStalled();
    node_->tick(now);
    if (!wasStalled && node_->isDiskStalled()) {
        parts_.log.warn("disk.stalled", {{"jobs_done", diskJobsDone_}, {"leads", node_->role() == RaftRole::Leader}});
    }
    expireProposals(now);
    processReady();
    if (isProcessingReady_) {
        send(node_->takeUnblockedMessages());
        deliverCommitted();
    }
    logEndOfLeadership();
    state_.onChange();
}

void ConsensusDriver::logEndOfLeadership()
{
    const std::optional<RaftLeadershipReport> report = node_->takeLeadershipReport();
    if (!report) {
        return;
    }
    std::vector<std::string> peers;
    for (const RaftLeadershipReport::Peer &peer : report->peers) {
        peers.push_back(fmt::format("{} silent_ms={} write_ms={} match={}", peer.name, peer.silence.count(),
                                    peer.writeTime.count(), peer.match));
    }
    parts_.log.warn("ledger.leadership_ended",
                    {{"reason", nameOf(leadershipEndNames, report->end)},
                     {"other", report->other},
                     {"term", node_->term()},
                     {"write_ms", report->writeTime.count()},
                     {"stored", report->stored},
                     {"peers", fmt::format("{}", fmt::join(peers, "; "))}});
}

void ConsensusDriver::deliverCommitted()
{
    const RaftReady ready = node_->takeCommitted();
    applyCommitted(ready.committed);
    completeReads(ready);
}

void ConsensusDriver::reconnectIfSilent(const VmName &member)
{
    // Consensus messages are one-way, so a dead connection would otherwise go unnoticed until the kernel's timeout.
    const TimePoint now = timeNow();
    if (silenceOf(member) > silenceTimeout && now - lastReconnected_[member] > silenceTimeout) {
        lastReconnected_[member] = now;
        parts_.peers.reconnect(member);
    }
}

Milliseconds ConsensusDriver::silenceOf(const VmName &member) const
{
    const auto found = lastHeard_.find(member);
    return found == lastHeard_.end() ? Milliseconds::max()
                                     : std::chrono::duration_cast<Milliseconds>(timeNow() - found->second);
}

void ConsensusDriver::onMessage(RaftMessage message)
{
    lastHeard_[message.from] = timeNow();
    // A member whose disk has failed must not vote or acknowledge entries.
    if (!isRunning() || !parts_.disk.isHealthy()) {
        return;
    }
    node_->step(timeNow(), std::move(message));
    processReady();
    if (isProcessingReady_) {
        deliverCommitted();
    }
}

bool ConsensusDriver::mustDeferRound()
{
    if (node_->role() != RaftRole::Leader) {
        return false;
    }
    const TimePoint now = timeNow();
    const auto since = now - lastRoundAt_;
    if (since >= minRoundInterval) {
        lastRoundAt_ = now;
        return false;
    }
    // Batches proposals under load, since each round costs a message to and from every follower. The first round after
    // an idle interval starts immediately.
    if (!isRoundScheduled_) {
        isRoundScheduled_ = true;
        roundTimer_.expires_after(minRoundInterval - since);
        roundTimer_.async_wait([this](const boost::system::error_code &error) {
            isRoundScheduled_ = false;
            if (!error) {
                processReady();
            }
        });
    }
    return true;
}

void ConsensusDriver::processReady()
{
    if (isProcessingReady_ || isStopped_ || !node_->hasReady() || mustDeferRound()) {
        return;
    }
    isProcessingReady_ = true;
    const auto ready = std::make_shared<RaftReady>(node_->takeReady());
    if (!ready->snapshot) {
        // Nothing that is committed waits for the write of later entries.
        applyCommitted(std::exchange(ready->committed, {}));
        completeReads(*ready);
        ready->reads.clear();
        ready->failedReads.clear();
    }
    store(ready);
}

void ConsensusDriver::store(const std::shared_ptr<RaftReady> &ready)
{
    const bool needsDisk = ready->hard || ready->snapshot || !ready->entries.empty();
    if (!needsDisk) {
        complete(*ready);
        return;
    }
    // A leader may send its appends while it writes the same entries: its own copy counts towards the quorum only after
    // persisted() (Ongaro's Raft thesis, 10.2.1). A vote has to be durable before it is sent.
    if (!ready->hard && node_->role() == RaftRole::Leader) {
        send(std::exchange(ready->messages, {}));
    }
    if (ready->snapshot) {
        storeReceivedSnapshot(ready);
    } else {
        write(ready);
    }
}

void ConsensusDriver::storeReceivedSnapshot(const std::shared_ptr<RaftReady> &ready)
{
    const bool isStoringParts = !snapshotParts_.empty();
    // Data outside the state is durable only in the log until this member's next snapshot, and the received one
    // discards the log.
    LogBatch data;
    state_.addToSnapshot(data);
    if (!data.isEmpty()) {
        std::ranges::move(splitBatch(std::move(data), snapshotPartBytes), std::back_inserter(snapshotParts_));
    }
    if (snapshotParts_.empty()) {
        write(ready);
        return;
    }
    receivedSnapshot_ = ready;
    if (!isStoringParts) {
        storeSnapshotPart();
    }
}

void ConsensusDriver::write(const std::shared_ptr<RaftReady> &ready)
{
    DiskThread::Job job;
    job.group = controlGroup;
    job.prepare = [ready](LogStore & /*store*/, LogBatch &batch) {
        if (ready->hard) {
            batch.putHardState(controlGroup, *ready->hard);
        }
        if (ready->snapshot) {
            batch.putSnapshot(controlGroup, *ready->snapshot);
        }
        for (const LogEntry &entry : ready->entries) {
            batch.putEntry(controlGroup, entry);
        }
    };
    job.finish = [this, ready](const Result<void> &written) {
        asio::post(parts_.io, [this, ready, isWritten = written.has_value()] {
            if (handleWriteResult(isWritten)) {
                complete(*ready);
            }
        });
    };
    parts_.disk.post(std::move(job));
}

bool ConsensusDriver::handleWriteResult(bool isWritten)
{
    isStopped_ = isStopped_ || !isWritten;
    if (isStopped_) {
        failPending();
    }
    return !isStopped_;
}

void ConsensusDriver::send(std::vector<RaftMessage> messages)
{
    for (RaftMessage &message : messages) {
        reconnectIfSilent(message.to);
        if (const auto client = parts_.peers.client(message.to)) {
            client->notify(std::move(message));
        }
    }
}

void ConsensusDriver::complete(RaftReady &ready)
{
    node_->persisted(ready);
    if (ready.snapshot) {
        const Result<void> restored = state_.restore(*ready.snapshot);
        checkInvariant(restored.has_value(), "a received snapshot can be read");
        applied_ = ready.snapshot->index;
        snapshotBytes_ = ready.snapshot->state.size();
        bytesSinceSnapshot_ = 0;
    }
    send(std::move(ready.messages));
    applyCommitted(ready.committed);
    completeReads(ready);
    compactIfDue();
    state_.onChange();
    isProcessingReady_ = false;
    processReady();
}

void ConsensusDriver::applyCommitted(const std::vector<LogEntry> &entries)
{
    for (const LogEntry &entry : entries) {
        if (entry.kind == EntryKind::Command) {
            state_.apply(entry);
        }
        applied_ = entry.index;
        bytesSinceSnapshot_ += entry.payload.size() + entryOverheadBytes;
        committed_.add();
        auto proposal = proposals_.extract(entry.index);
        if (!proposal.empty()) {
            // An entry of another term at this index means that the proposed entry was overwritten.
            proposal.mapped().done(proposal.mapped().term == entry.term);
        }
    }
}

void ConsensusDriver::completeReads(const RaftReady &ready)
{
    for (const RaftReadyRead &read : ready.reads) {
        if (auto waiting = reads_.extract(read.id); !waiting.empty()) {
            confirmedReads_.emplace(read.index, std::move(waiting.mapped()));
        }
    }
    // A read may proceed once everything committed at the time of its request has been applied.
    while (!confirmedReads_.empty() && confirmedReads_.begin()->first <= applied_) {
        auto read = confirmedReads_.extract(confirmedReads_.begin());
        read.mapped()(true);
    }
    for (const std::uint64_t id : ready.failedReads) {
        if (auto waiting = reads_.extract(id); !waiting.empty()) {
            waiting.mapped()(false);
        }
    }
}

bool ConsensusDriver::hasLaggingLearner() const
{
    const std::set<VmName> &learners = node_->membership().learners;
    return node_->role() == RaftRole::Leader
        && std::any_of(learners.begin(), learners.end(), [this](const VmName &learner) {
               return node_->matchIndexOf(learner) < node_->commitIndex() && silenceOf(learner) < silenceTimeout;
           });
}

void ConsensusDriver::compactIfDue()
{
    const CompactionPolicy policy {bytesSinceSnapshot_, snapshotBytes_, hasLaggingLearner(), compactionSlot_};
    if (!snapshotParts_.empty() || !policy.isDue()) {
        return;
    }
    std::string state = state_.encodeSnapshot();
    snapshotBytes_ = state.size();
    bytesSinceSnapshot_ = 0;
    parts_.log.info("ledger.compacted", {{"index", applied_}, {"bytes", snapshotBytes_}});
    node_->compact(applied_, std::move(state));
    LogBatch texts;
    state_.addToSnapshot(texts);
    snapshotParts_ = splitBatch(std::move(texts), snapshotPartBytes);
    // Written last, since it discards the log entries from which a restart would rebuild the other parts.
    snapshotParts_.back().putSnapshot(controlGroup, node_->log().snapshot());
    storeSnapshotPart();
}

void ConsensusDriver::storeSnapshotPart()
{
    // Written in parts, so that appends and votes do not wait for one large write.
    DiskThread::Job job;
    auto part = std::make_shared<LogBatch>(std::move(snapshotParts_.front()));
    job.group = part->records().back().group;
    job.prepare = [part](LogStore & /*store*/, LogBatch &batch) { batch.append(std::move(*part)); };
    job.finish = [this](const Result<void> &written) {
        asio::post(parts_.io, [this, isWritten = written.has_value()] {
            if (!handleWriteResult(isWritten)) {
                return;
            }
            snapshotParts_.pop_front();
            if (!snapshotParts_.empty()) {
                storeSnapshotPart();
                return;
            }
            state_.onSnapshotStored();
            if (const auto received = std::exchange(receivedSnapshot_, nullptr)) {
                write(received);
            }
        });
    };
    parts_.disk.post(std::move(job));
}

void ConsensusDriver::propose(std::string payload, ProposalExpiry expiry, CommitCallback done)
{
    if (!isRunning()) {
        done(false);
        return;
    }
    const Result<LogIndex> index = node_->propose(std::move(payload));
    if (!index) {
        done(false);
        return;
    }
    proposals_[index.value()] = {node_->term(), timeNow(), expiry, std::move(done)};
    processReady();
}

void ConsensusDriver::expireProposals(TimePoint now)
{
    // A deposed leader's proposal may never be committed or overwritten. While the leader stays, how long a commit
    // takes depends on the disks, and the entry that sent the proposal knows how long its caller waits.
    const Term leadingTerm = node_->role() == RaftRole::Leader ? node_->term() : 0;
    std::vector<CommitCallback> expired;
    for (auto item = proposals_.begin(); item != proposals_.end();) {
        Proposal &proposal = item->second;
        const bool isWaiting = proposal.expiry == ProposalExpiry::LostLeadership && proposal.term == leadingTerm;
        if (isWaiting || now - proposal.since <= proposalTimeout) {
            ++item;
            continue;
        }
        expired.push_back(std::move(proposal.done));
        item = proposals_.erase(item);
    }
    for (const CommitCallback &done : expired) {
        done(false);
    }
}

void ConsensusDriver::confirmRead(std::function<void(bool)> done)
{
    const std::uint64_t id = nextRead_++;
    if (!isRunning() || !node_->requestRead(id)) {
        done(false);
        return;
    }
    reads_.emplace(id, std::move(done));
    processReady();
}

Result<void> ConsensusDriver::proposeMembership(const Membership &next)
{
    BOOST_OUTCOME_TRYV(node_->proposeMembership(next));
    processReady();
    return boost::outcome_v2::success();
}

bool ConsensusDriver::transferLeadership()
{
    if (!isRunning() || node_->role() != RaftRole::Leader) {
        return false;
    }
    VmName best;
    for (const VmName &voter : node_->membership().voters) {
        const bool isOther = lastHeard_.contains(voter) && node_->matchIndexOf(voter) == node_->log().lastIndex();
        if (isOther && (best.empty() || silenceOf(voter) < silenceOf(best))) {
            best = voter;
        }
    }
    if (best.empty()) {
        return false;
    }
    node_->transferLeadership(best);
    processReady();
    return true;
}

void ConsensusDriver::failPending()
{
    // A member that has stopped would never answer them.
    for (auto &[index, proposal] : std::exchange(proposals_, {})) {
        proposal.done(false);
    }
    for (auto &[id, done] : std::exchange(reads_, {})) {
        done(false);
    }
    for (auto &[index, done] : std::exchange(confirmedReads_, {})) {
        done(false);
    }
}

} // namespace cardamompost
