#include "cp_consensus_driver.hpp"

#include <cardamompost/consensus/cp_compaction_policy.hpp>
#include <cardamompost/core/cp_invariant.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds tickInterval {10};
constexpr Milliseconds proposalTimeout {2500};
// Shortest time between two rounds of a leader.
constexpr Milliseconds leaderPace {4};
// A member that was silent for so long may be behind a connection that is dead without anybody having noticed.
constexpr Milliseconds reopenAfter {700};
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
    , paceTimer_(parts.io)
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
    cutTurn_ = static_cast<unsigned>(stableHash(options.self) % CompactionPolicy::turns);
    node_.emplace(std::move(options), std::move(stored), initial, timeNow());
    scheduleTick();
    return boost::outcome_v2::success();
}

void ConsensusDriver::stop()
{
    isStopped_ = true;
    timer_.cancel();
    paceTimer_.cancel();
    failWaiting();
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
    node_->tick(now);
    expireProposals(now);
    processReady();
    state_.onChange();
}

void ConsensusDriver::reopenIfSilent(const VmName &member)
{
    // Guards against connections that go silent for good while new ones work: messages between members have no replies
    // of their own, so nothing else would show it before the kernel's time-out.
    const TimePoint now = timeNow();
    if (silenceOf(member) > reopenAfter && now - lastReopened_[member] > reopenAfter) {
        lastReopened_[member] = now;
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
    // A member whose disk has failed stays silent: it could promise or confirm what it can't keep.
    if (!isRunning() || !parts_.disk.isHealthy()) {
        return;
    }
    node_->step(timeNow(), std::move(message));
    processReady();
}

bool ConsensusDriver::isPaced()
{
    if (node_->role() != RaftRole::Leader) {
        return false;
    }
    const TimePoint now = timeNow();
    const auto since = now - lastReady_;
    if (since >= leaderPace) {
        lastReady_ = now;
        return false;
    }
    // Guards a leader with little processor time: each round costs it a message to every follower and one back, so
    // under load what comes within a pace goes into one round. The first after a quiet time waits for nothing.
    if (!isPaceArmed_) {
        isPaceArmed_ = true;
        paceTimer_.expires_after(leaderPace - since);
        paceTimer_.async_wait([this](const boost::system::error_code &error) {
            isPaceArmed_ = false;
            if (!error) {
                processReady();
            }
        });
    }
    return true;
}

void ConsensusDriver::processReady()
{
    if (isBusy_ || isStopped_ || !node_->hasReady() || isPaced()) {
        return;
    }
    isBusy_ = true;
    store(std::make_shared<RaftReady>(node_->takeReady()));
}

void ConsensusDriver::store(const std::shared_ptr<RaftReady> &ready)
{
    const bool needsDisk = ready->hard || ready->snapshot || !ready->entries.empty();
    if (!needsDisk) {
        complete(*ready);
        return;
    }
    // A leader's appends may leave while it syncs the same entries itself: they promise nothing in its name, and its
    // own copy counts only once persisted() is called (the thesis, 10.2.1). A vote has to be synced first.
    if (!ready->hard && node_->role() == RaftRole::Leader) {
        send(std::exchange(ready->messages, {}));
    }
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
            if (goesOnAfter(isWritten)) {
                complete(*ready);
            }
        });
    };
    parts_.disk.post(std::move(job));
}

bool ConsensusDriver::goesOnAfter(bool isWritten)
{
    isStopped_ = isStopped_ || !isWritten;
    if (isStopped_) {
        failWaiting();
    }
    return !isStopped_;
}

void ConsensusDriver::send(std::vector<RaftMessage> messages)
{
    for (RaftMessage &message : messages) {
        reopenIfSilent(message.to);
        if (const auto client = parts_.peers.client(message.to)) {
            client->notify(std::move(message));
        }
    }
}

void ConsensusDriver::complete(RaftReady &ready)
{
    if (!ready.entries.empty()) {
        node_->persisted(ready.entries.back().index, ready.entries.back().term);
    }
    if (ready.snapshot) {
        const Result<void> restored = state_.restore(*ready.snapshot);
        checkInvariant(restored.has_value(), "a received snapshot can be read");
        applied_ = ready.snapshot->index;
        snapshotBytes_ = ready.snapshot->state.size();
        bytesSinceSnapshot_ = 0;
    }
    send(std::move(ready.messages));
    applyCommitted(ready.committed);
    answerReads(ready);
    compactIfLong();
    state_.onChange();
    isBusy_ = false;
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
            // Another leader's entry at the index means that the proposed one is gone for good.
            proposal.mapped().done(proposal.mapped().term == entry.term);
        }
    }
}

void ConsensusDriver::answerReads(const RaftReady &ready)
{
    for (const RaftReadyRead &read : ready.reads) {
        if (auto waiting = reads_.extract(read.id); !waiting.empty()) {
            confirmedReads_.emplace(read.index, std::move(waiting.mapped()));
        }
    }
    // The state that is applied here has to include all that was committed when a read was asked for.
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
               return node_->matchOf(learner) < node_->commitIndex() && silenceOf(learner) < reopenAfter;
           });
}

void ConsensusDriver::compactIfLong()
{
    const CompactionPolicy cut {bytesSinceSnapshot_, snapshotBytes_, hasLaggingLearner(), cutTurn_};
    if (!snapshotParts_.empty() || !cut.isDue()) {
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
    // Last, since it voids the log's entries that hold the same; until then a restart finds these.
    snapshotParts_.back().putSnapshot(controlGroup, node_->log().snapshot());
    storeSnapshot();
}

void ConsensusDriver::storeSnapshot()
{
    // Guards turns that wait for the disk: megabytes in one write hold up every append and vote behind them, at the
    // leader for a third of a second, and entries ask for another leader meanwhile.
    DiskThread::Job job;
    job.group = snapshotParts_.size() > 1 ? textGroup : controlGroup;
    auto part = std::make_shared<LogBatch>(std::move(snapshotParts_.front()));
    job.prepare = [part](LogStore & /*store*/, LogBatch &batch) { batch.append(std::move(*part)); };
    job.finish = [this](const Result<void> &written) {
        asio::post(parts_.io, [this, isWritten = written.has_value()] {
            if (!goesOnAfter(isWritten)) {
                return;
            }
            snapshotParts_.pop_front();
            if (snapshotParts_.empty()) {
                state_.onSnapshotStored();
            } else {
                storeSnapshot();
            }
        });
    };
    parts_.disk.post(std::move(job));
}

void ConsensusDriver::propose(std::string payload, Committed done)
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
    proposals_[index.value()] = {node_->term(), timeNow(), std::move(done)};
    processReady();
}

void ConsensusDriver::expireProposals(TimePoint now)
{
    // Guards against silence: a deposed leader's proposal may be applied under its index much later, or never.
    while (!proposals_.empty() && now - proposals_.begin()->second.since > proposalTimeout) {
        const Committed done = std::move(proposals_.begin()->second.done);
        proposals_.erase(proposals_.begin());
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

void ConsensusDriver::handOver()
{
    if (!isRunning() || node_->role() != RaftRole::Leader) {
        return;
    }
    VmName best;
    for (const VmName &voter : node_->membership().voters) {
        const bool isOther = lastHeard_.contains(voter) && node_->matchOf(voter) == node_->log().lastIndex();
        if (isOther && (best.empty() || silenceOf(voter) < silenceOf(best))) {
            best = voter;
        }
    }
    if (!best.empty()) {
        node_->transferLeadership(best);
        processReady();
    }
}

void ConsensusDriver::failWaiting()
{
    // Guards against silence: a member that has stopped would never answer those who wait for it.
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
