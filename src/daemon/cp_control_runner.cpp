#include "cp_control_runner.hpp"

#include "cp_control_times.hpp"

#include <cardamompost/control/cp_partition_planner.hpp>
#include <cardamompost/core/cp_invariant.hpp>

#include <boost/asio/post.hpp>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds tickInterval {20};
constexpr Milliseconds firstAssignmentDelay {1000};
constexpr Milliseconds proposalTimeout {2000};
constexpr LogIndex entriesPerSnapshot = 2000;
// Bounds the size of a command and the work of applying one entry.
constexpr std::size_t maxMovesPerCommand = 2048;

TimePoint timeNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

ControlRunner::ControlRunner(asio::any_io_executor executor, Parts parts)
    : strand_(asio::make_strand(std::move(executor)))
    , parts_(parts)
    , timer_(strand_)
{
}

Result<void> ControlRunner::load()
{
    BOOST_OUTCOME_TRY(RaftStoredState stored, parts_.disk.store().loadRaft(controlGroup));
    if (stored.snapshot.index != 0) {
        BOOST_OUTCOME_TRYV(parts_.replica.restore(stored.snapshot.index, stored.snapshot.state));
    }
    lastSnapshotIndex_ = stored.snapshot.index;
    Membership initial;
    for (const KeeperPeer &keeper : parts_.settings.keepers) {
        initial.voters.insert(keeper.name);
    }
    RaftOptions options;
    options.self = parts_.settings.vm;
    options.seed = randomIdentity();
    node_.emplace(options, std::move(stored), initial, timeNow());
    isFormed_ = node_->log().lastIndex() > 0;
    term_ = node_->term();
    return boost::outcome_v2::success();
}

void ControlRunner::start()
{
    asio::post(strand_, [self = shared_from_this()] { self->scheduleTick(); });
}

void ControlRunner::stop()
{
    asio::post(strand_, [self = shared_from_this()] {
        self->isStopped_ = true;
        self->timer_.cancel();
    });
}

void ControlRunner::scheduleTick()
{
    timer_.expires_after(tickInterval);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error && !self->isStopped_) {
            self->tick();
            self->scheduleTick();
        }
    });
}

void ControlRunner::tick()
{
    const TimePoint now = timeNow();
    if (const std::uint64_t jobsDone = parts_.disk.jobsDone(); jobsDone != diskJobsDone_) {
        diskJobsDone_ = jobsDone;
        node_->noteDiskProgress(now);
    }
    node_->tick(now);
    expireProposals(now);
    runLeaderTasks(now);
    processReady();
    if (isProcessingReady_) {
        send(node_->takeUnblockedMessages());
        deliver(node_->takeCommitted());
    }
    if (const std::optional<RaftLeadershipReport> report = node_->takeLeadershipReport()) {
        parts_.log.warn("control.leadership_ended",
                        {{"reason", nameOf(leadershipEndNames, report->end)},
                         {"other", report->other},
                         {"term", node_->term()},
                         {"write_ms", report->writeTime.count()}});
    }
}

void ControlRunner::send(std::vector<RaftMessage> messages)
{
    for (RaftMessage &message : messages) {
        if (const auto client = parts_.hub.client(message.to)) {
            client->notify(std::move(message));
        }
    }
}

void ControlRunner::onRaft(RaftMessage message)
{
    asio::post(strand_, [self = shared_from_this(), message = std::move(message)]() mutable {
        // A keeper whose disk has failed must not vote or acknowledge entries.
        if (!self->isRunning() || !self->parts_.disk.isHealthy()) {
            return;
        }
        self->node_->step(timeNow(), std::move(message));
        self->processReady();
        if (self->isProcessingReady_) {
            self->deliver(self->node_->takeCommitted());
        }
    });
}

void ControlRunner::processReady()
{
    if (isProcessingReady_ || isStopped_ || !node_->hasReady()) {
        return;
    }
    isProcessingReady_ = true;
    const auto ready = std::make_shared<RaftReady>(node_->takeReady());
    if (!ready->snapshot) {
        // Nothing that is committed waits for the write of later entries.
        deliver(*ready);
        ready->committed.clear();
        ready->reads.clear();
        ready->failedReads.clear();
    }
    storeReady(ready);
}

void ControlRunner::storeReady(std::shared_ptr<RaftReady> ready)
{
    const bool needsDisk = ready->hard || ready->snapshot || !ready->entries.empty() || pendingSnapshot_.index != 0;
    if (!needsDisk) {
        completeReady(*ready);
        return;
    }
    auto pendingSnapshot = std::make_shared<RaftSnapshot>(std::exchange(pendingSnapshot_, {}));
    DiskThread::Job job;
    job.group = controlGroup;
    job.prepare = [ready, pendingSnapshot](LogStore & /*store*/, LogBatch &batch) {
        if (ready->hard) {
            batch.putHardState(controlGroup, *ready->hard);
        }
        if (ready->snapshot) {
            batch.putSnapshot(controlGroup, *ready->snapshot);
        }
        if (pendingSnapshot->index != 0) {
            batch.putSnapshot(controlGroup, *pendingSnapshot);
        }
        for (const LogEntry &entry : ready->entries) {
            batch.putEntry(controlGroup, entry);
        }
    };
    job.finish = [self = shared_from_this(), ready](const Result<void> &written) {
        const bool isWritten = written.has_value();
        asio::post(self->strand_, [self, ready, isWritten] {
            self->isStopped_ = self->isStopped_ || !isWritten;
            if (self->isStopped_) {
                self->failPending();
            } else {
                self->completeReady(*ready);
            }
        });
    };
    parts_.disk.post(std::move(job));
}

void ControlRunner::failPending()
{
    // A stopped member processes nothing further, so pending proposals and reads would never complete.
    for (auto &[index, proposal] : std::exchange(proposals_, {})) {
        proposal.done({});
    }
    for (auto &[id, done] : std::exchange(reads_, {})) {
        done(false);
    }
}

void ControlRunner::completeReady(RaftReady &ready)
{
    node_->persisted(ready);
    if (ready.snapshot) {
        const Result<void> restored = parts_.replica.restore(ready.snapshot->index, ready.snapshot->state);
        checkInvariant(restored.has_value(), "a received snapshot can be read");
        lastSnapshotIndex_ = ready.snapshot->index;
    }
    isFormed_ = node_->log().lastIndex() > 0;
    term_ = node_->term();
    send(std::move(ready.messages));
    deliver(ready);
    compactIfNeeded();
    isProcessingReady_ = false;
    processReady();
}

void ControlRunner::deliver(const RaftReady &ready)
{
    applyCommitted(ready.committed);
    for (const RaftReadyRead &read : ready.reads) {
        // The applied state must include everything committed when the read was requested.
        if (auto waiting = reads_.extract(read.id); !waiting.empty()) {
            waiting.mapped()(parts_.replica.view()->index >= read.index);
        }
    }
    for (const std::uint64_t id : ready.failedReads) {
        if (auto waiting = reads_.extract(id); !waiting.empty()) {
            waiting.mapped()(false);
        }
    }
}

void ControlRunner::applyCommitted(const std::vector<LogEntry> &entries)
{
    if (entries.empty()) {
        return;
    }
    const std::map<LogIndex, ApplyResult> results = parts_.replica.apply(entries);
    for (const LogEntry &entry : entries) {
        auto proposal = proposals_.extract(entry.index);
        if (proposal.empty()) {
            continue;
        }
        const auto result = results.find(entry.index);
        // An entry of another term at this index means that the proposed entry was overwritten.
        const bool isOwn = proposal.mapped().term == entry.term && result != results.end();
        proposal.mapped().done(
            {isOwn, node_->leader(), entry.index, isOwn ? result->second : ApplyResult {ApplyKind::Stale, 0}});
    }
}

void ControlRunner::compactIfNeeded()
{
    const std::shared_ptr<const ControlView> view = parts_.replica.view();
    if (view->index < lastSnapshotIndex_ + entriesPerSnapshot) {
        return;
    }
    lastSnapshotIndex_ = view->index;
    node_->compact(view->index, view->state.encode());
    pendingSnapshot_ = node_->log().snapshot();
}

void ControlRunner::onPropose(std::string command, std::function<void(ProposeReply)> done)
{
    asio::post(strand_, [self = shared_from_this(), command = std::move(command), done = std::move(done)]() mutable {
        if (!self->isRunning()) {
            done({});
            return;
        }
        const Result<LogIndex> index = self->node_->propose(std::move(command));
        if (!index) {
            done({false, self->node_->leader(), 0, {}});
            return;
        }
        self->proposals_[index.value()] = {self->node_->term(), timeNow(), std::move(done)};
        self->processReady();
    });
}

void ControlRunner::expireProposals(TimePoint now)
{
    // A proposal of a deposed leader may never be applied at its index, or only much later. The proposer retries;
    // commands are idempotent.
    for (auto item = proposals_.begin(); item != proposals_.end();) {
        if (now - item->second.proposedAt < proposalTimeout) {
            ++item;
            continue;
        }
        const auto done = std::move(item->second.done);
        item = proposals_.erase(item);
        done({false, node_->leader(), 0, {}});
    }
}

void ControlRunner::onLease(LeaseRequest request, std::function<void(LeaseReply)> done)
{
    asio::post(strand_, [self = shared_from_this(), request = std::move(request), done = std::move(done)] {
        LeaseReply reply = self->makeLeaseReply(request);
        if (!reply.granted || !request.needsConfirmedLeader) {
            done(std::move(reply));
            return;
        }
        // The state of a deposed leader may lack configurations and epochs that the new leader has committed, so
        // leadership is confirmed with a quorum first.
        self->confirmRead([reply, done](bool isConfirmed) {
            LeaseReply confirmed = reply;
            confirmed.granted = isConfirmed;
            done(std::move(confirmed));
        });
    });
}

LeaseReply ControlRunner::makeLeaseReply(const LeaseRequest &request)
{
    LeaseReply reply;
    if (!isRunning()) {
        return reply;
    }
    reply.leader = node_->leader();
    if (!node_->isEstablishedLeader()) {
        return reply;
    }
    leases_[request.vm.name]
        = {request.vm, timeNow(), request.appliedIndex, request.configurationVersion, request.programs};
    const std::shared_ptr<const ControlView> view = parts_.replica.view();
    const VmRecord *known = view->state.findVm(request.vm.name);
    const bool isSameProcess = known != nullptr && known->bootId == request.vm.bootId;
    if (!isSameProcess || known->state == VmState::Lost) {
        VmRecord record = request.vm;
        record.state = VmState::Live;
        proposeAsLeader(record);
        return reply;
    }
    reply.granted = true;
    reply.durationMs = static_cast<std::uint32_t>(leaseDuration.count());
    reply.minIndex = view->index;
    reply.configurationVersion = view->state.configurationVersion();
    return reply;
}

void ControlRunner::onStatus(std::function<void(StatusReply)> done)
{
    asio::post(strand_, [self = shared_from_this(), done = std::move(done)] {
        if (!self->isRunning()) {
            done({});
            return;
        }
        const RaftNode &node = *self->node_;
        StatusReply reply {node.leader(), node.role() == RaftRole::Leader, node.term(), node.commitIndex(), {}};
        const TimePoint now = timeNow();
        for (const auto &[name, lease] : self->leases_) {
            reply.reports.push_back({name, static_cast<std::uint32_t>(toMs(now - lease.lastContact)),
                                     lease.appliedIndex, lease.configurationVersion, lease.programs});
        }
        done(std::move(reply));
    });
}

void ControlRunner::confirmRead(std::function<void(bool)> done)
{
    asio::post(strand_, [self = shared_from_this(), done = std::move(done)]() mutable {
        const std::uint64_t id = self->nextReadId_++;
        if (!self->isRunning() || !self->node_->requestRead(id)) {
            done(false);
            return;
        }
        self->reads_.emplace(id, std::move(done));
        self->processReady();
    });
}

void ControlRunner::runLeaderTasks(TimePoint now)
{
    if (!node_->isEstablishedLeader()) {
        return;
    }
    startLeadershipIfNewTerm(now);
    expireLeases(now);
    // In a new system, assignment is delayed so that the first VM to register does not get every partition.
    const bool isNewSystem = parts_.replica.view()->state.partitions().front().epoch == 0;
    if (!isNewSystem || now - leadingSince_ > firstAssignmentDelay) {
        assignPartitions();
    }
}

void ControlRunner::startLeadershipIfNewTerm(TimePoint now)
{
    if (leadingTerm_ == node_->term()) {
        return;
    }
    leadingTerm_ = node_->term();
    leadingSince_ = now;
    leaderProposalIndex_ = 0;
    leases_.clear();
    // The previous leader's lease times are not replicated. All leases restart now, so that a new leader does not
    // mark every VM as lost.
    for (const auto &[name, vm] : parts_.replica.view()->state.vms()) {
        leases_[name] = {vm, now, 0, 0, 0};
    }
    parts_.log.info("control.leading", {{"term", leadingTerm_}});
}

void ControlRunner::expireLeases(TimePoint now)
{
    const std::shared_ptr<const ControlView> view = parts_.replica.view();
    for (const auto &[name, vm] : view->state.vms()) {
        const auto lease = leases_.find(name);
        const bool isExpired = lease == leases_.end() || now - lease->second.lastContact > leaseExpiry;
        if (vm.state != VmState::Lost && isExpired) {
            VmRecord lost = vm;
            lost.state = VmState::Lost;
            proposeAsLeader(lost);
            return;
        }
    }
}

void ControlRunner::assignPartitions()
{
    const std::shared_ptr<const ControlView> view = parts_.replica.view();
    std::set<VmName> usable;
    for (const auto &[name, vm] : view->state.vms()) {
        if (vm.state == VmState::Live) {
            usable.insert(name);
        }
    }
    std::vector<PartitionMove> moves = planAssignments(view->state, usable, parts_.settings.keepers);
    if (moves.empty()) {
        return;
    }
    moves.resize(std::min(moves.size(), maxMovesPerCommand));
    proposeAsLeader(moves);
}

void ControlRunner::proposeAsLeader(const ControlCommand &command)
{
    // One proposal at a time: the next is planned from the state after the pending one is applied.
    if (leaderProposalIndex_ > parts_.replica.view()->index) {
        return;
    }
    if (const auto *vm = std::get_if<VmRecord>(&command)) {
        parts_.log.info("vm.state",
                        {{"name", vm->name}, {"state", nameOf(vmStateNames, vm->state)}, {"boot", vm->bootId}});
    }
    const Result<LogIndex> index = node_->propose(encodeCommand(command));
    if (index) {
        leaderProposalIndex_ = index.value();
        processReady();
    }
}

} // namespace cardamompost
