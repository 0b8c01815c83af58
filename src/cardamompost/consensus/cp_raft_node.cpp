#include <cardamompost/consensus/cp_raft_node.hpp>
#include <cardamompost/core/cp_invariant.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

//! A lease is counted by the leader's clock and the time until a vote by those of others, which may run faster.
Milliseconds leaseDuration(Milliseconds shortestElectionTimeout)
{
    return shortestElectionTimeout * 4 / 5;
}

} // namespace

RaftNode::RaftNode(RaftOptions options, RaftStoredState stored, const Membership &initial, TimePoint now)
    : options_(std::move(options))
    , random_(options_.seed)
    , log_(std::move(stored.snapshot), std::move(stored.entries), initial)
    , hard_(std::move(stored.hard))
    , lastReadyHard_(hard_)
    , stableHard_(hard_)
    , commitIndex_(log_.snapshot().index)
    , deliveredIndex_(commitIndex_)
    , unstableFrom_(log_.lastIndex() + 1)
    , stableIndex_(log_.lastIndex())
    , now_(now)
    , leaderDetector_(
          {options_.shortestElectionTimeout.count() != 0 ? options_.shortestElectionTimeout : options_.electionTimeout,
           options_.electionTimeout})
{
    resetElectionDeadline();
    if (options_.firstElectionTimeout.count() != 0) {
        std::uniform_int_distribution<std::int64_t> spread(0, options_.firstElectionTimeout.count());
        // Earlier, others that have just started too do not vote yet.
        const Milliseconds first = std::max(options_.firstElectionTimeout, shortestElectionTimeout());
        electionDeadline_ = now_ + first + Milliseconds(spread(random_));
    }
    // Before its start, this member may have answered a leader that holds a lease.
    lastLeaderContact_ = hard_.term != 0 ? now_ : TimePoint {};
}

void RaftNode::advanceTime(TimePoint now)
{
    now_ = std::max(now_, now);
    const TimePoint lastRunAt = std::exchange(lastRunAt_, now_).value_or(now_);
    const auto standstill = now_ - lastRunAt - options_.heartbeatInterval;
    if (standstill.count() <= 0) {
        return;
    }
    electionDeadline_ += standstill;
    lastLeaderContact_ = std::min(now_, lastLeaderContact_ + standstill);
    for (auto &[name, progress] : progress_) {
        progress.silentSince = std::min(now_, progress.silentSince + standstill);
    }
}

void RaftNode::tick(TimePoint now)
{
    advanceTime(now);
    if (role_ == RaftRole::Leader) {
        checkQuorumContact();
        handOverIfDiskStalled();
        endFailedTransfer();
        if (role_ == RaftRole::Leader && now_ >= nextHeartbeatAt_) {
            nextHeartbeatAt_ = now_ + options_.heartbeatInterval;
            broadcastAppend(true);
        }
        return;
    }
    // An election that starts while a vote is being stored would make that vote worthless.
    const bool isVoteStored = hard_ == stableHard_;
    if (now_ >= electionDeadline_ && isVoter(options_.self) && !isUninitialized() && isVoteStored && !isDiskStalled()) {
        startElection(true);
    }
}

Result<LogIndex> RaftNode::propose(std::string payload)
{
    if (role_ != RaftRole::Leader) {
        return makeError(ErrorKind::NotLeader, "this member is not the leader");
    }
    appendEntry(EntryKind::Command, std::move(payload));
    broadcastAppend(false);
    return log_.lastIndex();
}

Result<LogIndex> RaftNode::proposeMembership(const Membership &next)
{
    if (role_ != RaftRole::Leader) {
        return makeError(ErrorKind::NotLeader, "this member is not the leader");
    }
    // Two concurrent changes, or a change of two voters, could lead to disjoint quorums that commit different entries
    // at one index. A new leader waits for its barrier, since its log may hold an uncommitted change of its
    // predecessor.
    if (pendingMembershipIndex_ > commitIndex_ || !isEstablishedLeader()) {
        return makeError(ErrorKind::NotReady,
                         "an earlier membership change or the first entry of the new leader is not committed yet");
    }
    if (next.voters.empty() || !next.isSingleStepFrom(membership())) {
        return makeError(ErrorKind::InvalidRequest, "a membership change may add or remove one voter at most");
    }
    // A voter without the log would count towards the quorum without holding committed entries, which the loss of
    // another VM could then destroy.
    for (const VmName &voter : next.voters) {
        const bool isNew = !membership().voters.contains(voter);
        if (isNew && matchIndexOf(voter) < commitIndex_) {
            return makeError(ErrorKind::NotReady, "'" + voter + "' is not a learner that has caught up");
        }
    }
    appendEntry(EntryKind::Membership, next.encode());
    pendingMembershipIndex_ = log_.lastIndex();
    refreshProgress();
    broadcastAppend(false);
    return log_.lastIndex();
}

Result<void> RaftNode::requestRead(std::uint64_t id)
{
    if (role_ != RaftRole::Leader) {
        return makeError(ErrorKind::NotLeader, "this member is not the leader");
    }
    // A new leader may not know which entries of its predecessor are committed until it commits one of its own term,
    // so a read could be stale.
    if (!isEstablishedLeader()) {
        return makeError(ErrorKind::NotReady, "the new leader has not committed its first entry yet");
    }
    pendingReads_.push_back({id, round_ + 1, commitIndex_});
    broadcastAppend(true);
    advanceReads();
    return boost::outcome_v2::success();
}

void RaftNode::transferLeadership(const VmName &to)
{
    if (role_ == RaftRole::Leader && to != options_.self && isVoter(to) && matchIndexOf(to) == log_.lastIndex()) {
        outbox_.push_back(makeMessage(RaftMessageType::TimeoutNow, to));
        transfer_ = {to, now_};
    }
}

void RaftNode::endFailedTransfer()
{
    // The request to take over may still arrive, so this term has no lease any more.
    if (role_ == RaftRole::Leader && transfer_ && now_ - transfer_->second > 2 * options_.electionTimeout) {
        endLeadership(LeadershipEnd::HandedOver, transfer_->first);
    }
}

void RaftNode::compact(LogIndex index, std::string state)
{
    checkInvariant(index <= deliveredIndex_, "only applied entries are compacted");
    log_.compact(index, std::move(state));
}

bool RaftNode::hasReady() const
{
    return hard_ != lastReadyHard_ || receivedSnapshot_ || unstableFrom_ <= log_.lastIndex() || !outbox_.empty()
        || deliveredIndex_ < std::min(commitIndex_, stableIndex_) || hasDeliverableReads() || !failedReads_.empty();
}

RaftReady RaftNode::takeReady()
{
    RaftReady ready;
    if (hard_ != lastReadyHard_) {
        ready.hard = hard_;
        lastReadyHard_ = hard_;
    }
    ready.snapshot = std::exchange(receivedSnapshot_, std::nullopt);
    for (LogIndex index = unstableFrom_; index <= log_.lastIndex(); ++index) {
        ready.entries.push_back(log_.at(index));
    }
    unstableFrom_ = log_.lastIndex() + 1;
    ready.messages = std::exchange(outbox_, {});
    deliverCommitted(ready);
    if (ready.hard || ready.snapshot || !ready.entries.empty()) {
        storingSince_ = now_;
    }
    return ready;
}

void RaftNode::deliverCommitted(RaftReady &ready)
{
    // Entries are applied only once they are synced locally, so that the log never lags behind the state at a restart.
    for (; deliveredIndex_ < std::min(commitIndex_, stableIndex_); ++deliveredIndex_) {
        ready.committed.push_back(log_.at(deliveredIndex_ + 1));
    }
    while (hasDeliverableReads()) {
        ready.reads.push_back(readyReads_.front());
        readyReads_.pop_front();
    }
    ready.failedReads = std::exchange(failedReads_, {});
}

bool RaftNode::hasDeliverableReads() const
{
    return !readyReads_.empty() && readyReads_.front().index <= std::min(commitIndex_, stableIndex_);
}

RaftReady RaftNode::takeCommitted()
{
    RaftReady ready;
    deliverCommitted(ready);
    return ready;
}

Milliseconds RaftNode::diskSilence() const
{
    return storingSince_ ? std::chrono::duration_cast<Milliseconds>(now_ - std::max(*storingSince_, lastDiskProgress_))
                         : Milliseconds(0);
}

bool RaftNode::isDiskStalled() const
{
    return diskSilence() > 2 * options_.electionTimeout;
}

Milliseconds RaftNode::writeTime() const
{
    const auto inProgress = storingSince_ ? now_ - *storingSince_ : TimePoint::duration(0);
    return std::max(lastStoreTime_, std::chrono::duration_cast<Milliseconds>(inProgress));
}

void RaftNode::noteDiskProgress(TimePoint now)
{
    now_ = std::max(now_, now);
    lastDiskProgress_ = now_;
}

void RaftNode::handOverIfDiskStalled()
{
    if (role_ != RaftRole::Leader || !isDiskStalled()) {
        return;
    }
    // A leader answers only for entries that it has stored itself. Handing over helps only if the others' disks work.
    VmName successor;
    std::vector<Milliseconds> writeTimes;
    for (const auto &[name, progress] : progress_) {
        if (!isVoter(name) || !isInContact(progress) || progress.match <= stableIndex_) {
            continue;
        }
        writeTimes.push_back(progress.writeTime);
        if (successor.empty() || progress.match > matchIndexOf(successor)) {
            successor = name;
        }
    }
    const std::size_t quorum = membership().quorum();
    if (writeTimes.size() < quorum) {
        return;
    }
    // A successor leads once its candidacy, the votes for it and its first entry are stored. Until the own write has
    // taken that long, it may well end sooner.
    constexpr int writesOfElection = 3;
    std::sort(writeTimes.begin(), writeTimes.end());
    if (diskSilence() > 2 * options_.electionTimeout + writesOfElection * writeTimes[quorum - 1]) {
        outbox_.push_back(makeMessage(RaftMessageType::TimeoutNow, successor));
        endLeadership(LeadershipEnd::HandedOver, successor);
    }
}

bool RaftNode::isUnblocked(const RaftMessage &message) const
{
    switch (message.type) {
    case RaftMessageType::Vote:
    case RaftMessageType::VoteReply:
        return false;
    case RaftMessageType::AppendReply:
    case RaftMessageType::SnapshotReply:
        return !message.granted || message.index <= stableIndex_;
    default:
        return true;
    }
}

std::vector<RaftMessage> RaftNode::takeUnblockedMessages()
{
    std::vector<RaftMessage> unblocked;
    if (hard_.term != stableHard_.term) {
        return unblocked;
    }
    std::vector<RaftMessage> blocked;
    for (RaftMessage &message : outbox_) {
        (isUnblocked(message) ? unblocked : blocked).push_back(std::move(message));
    }
    outbox_ = std::move(blocked);
    return unblocked;
}

void RaftNode::persisted(const RaftReady &ready)
{
    if (storingSince_) {
        lastStoreTime_ = std::chrono::duration_cast<Milliseconds>(now_ - *storingSince_);
        storeTime_ = std::max(lastStoreTime_, storeTime_ / 2);
        storingSince_.reset();
    }
    if (ready.hard) {
        stableHard_ = *ready.hard;
        if (leader_.empty()) {
            // The vote, or the request for votes, is sent only now.
            resetElectionDeadline();
        }
    }
    if (ready.snapshot) {
        stableIndex_ = std::max(stableIndex_, ready.snapshot->index);
    }
    // The log may have been truncated since; the synced entries are then not part of it.
    if (ready.entries.empty() || log_.termAt(ready.entries.back().index) != ready.entries.back().term) {
        return;
    }
    stableIndex_ = std::max(stableIndex_, ready.entries.back().index);
    if (role_ == RaftRole::Leader) {
        advanceCommit();
    }
}

LogIndex RaftNode::matchIndexOf(const VmName &member) const
{
    if (member == options_.self) {
        return stableIndex_;
    }
    const auto found = progress_.find(member);
    return found == progress_.end() ? 0 : found->second.match;
}

bool RaftNode::isEstablishedLeader() const
{
    return role_ == RaftRole::Leader && log_.termAt(commitIndex_) == hard_.term;
}

Milliseconds RaftNode::shortestElectionTimeout() const
{
    return options_.shortestElectionTimeout.count() != 0 ? options_.shortestElectionTimeout : options_.electionTimeout;
}

bool RaftNode::hasLease(TimePoint now) const
{
    if (!isEstablishedLeader() || transfer_) {
        return false;
    }
    const std::uint64_t confirmed = confirmedRound();
    const auto newest = std::find_if(recentRounds_.rbegin(), recentRounds_.rend(),
                                     [&](const Round &round) { return round.number <= confirmed; });
    return newest != recentRounds_.rend() && now - newest->sentAt < leaseDuration(shortestElectionTimeout());
}

void RaftNode::appendEntry(EntryKind kind, std::string payload)
{
    log_.append({log_.lastIndex() + 1, hard_.term, kind, std::move(payload)});
}

RaftMessage RaftNode::makeMessage(RaftMessageType type, const VmName &to) const
{
    RaftMessage message;
    message.type = type;
    message.from = options_.self;
    message.to = to;
    message.term = hard_.term;
    message.isUninitialized = isUninitialized();
    message.writeTime = writeTime();
    return message;
}

std::set<VmName> RaftNode::peers() const
{
    std::set<VmName> names = membership().voters;
    names.insert(membership().learners.begin(), membership().learners.end());
    names.erase(options_.self);
    return names;
}

bool RaftNode::isVoter(const VmName &name) const
{
    return membership().voters.contains(name);
}

void RaftNode::refreshProgress()
{
    const std::set<VmName> names = peers();
    std::erase_if(progress_, [&](const auto &item) { return !names.contains(item.first); });
    for (const VmName &name : names) {
        const auto [progress, isNew] = progress_.try_emplace(name);
        if (isNew) {
            progress->second.next = log_.lastIndex() + 1;
            progress->second.lastContact = now_;
            progress->second.silentSince = now_;
        }
    }
}

void RaftNode::checkQuorumContact()
{
    // A partitioned leader steps down, so that its clients do not wait for it while the other members follow a new one.
    std::size_t reachable = isVoter(options_.self) ? 1 : 0;
    for (const auto &[name, progress] : progress_) {
        reachable += isInContact(progress) && isVoter(name) ? 1 : 0;
    }
    if (reachable < membership().quorum()) {
        endLeadership(LeadershipEnd::QuorumLost, {});
    }
}

bool RaftNode::isInContact(const Progress &progress) const
{
    return now_ - progress.silentSince < 2 * options_.electionTimeout;
}

void RaftNode::recordContact(Progress &progress, const RaftMessage &message)
{
    progress.lastContact = now_;
    progress.silentSince = now_;
    // An acknowledgement of new entries was made before they were written.
    if (message.index <= progress.match) {
        progress.writeTime = message.writeTime;
    }
    progress.ackedRound = std::max(progress.ackedRound, message.round);
}

void RaftNode::advanceCommit()
{
    std::vector<LogIndex> matches;
    for (const VmName &voter : membership().voters) {
        matches.push_back(matchIndexOf(voter));
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const LogIndex candidate = matches[membership().quorum() - 1];
    // Only entries of the current term are committed by counting replicas; earlier ones are committed with them.
    // Otherwise a later leader could overwrite an entry that a quorum holds (Ongaro, figure 3.7).
    if (candidate <= commitIndex_ || log_.termAt(candidate) != hard_.term) {
        return;
    }
    commitIndex_ = candidate;
    if (pendingMembershipIndex_ <= commitIndex_ && !isVoter(options_.self)) {
        endLeadership(LeadershipEnd::LeftGroup, {});
        return;
    }
    broadcastAppend(false);
}

std::uint64_t RaftNode::confirmedRound() const
{
    std::vector<std::uint64_t> acked;
    for (const VmName &voter : membership().voters) {
        const auto found = progress_.find(voter);
        acked.push_back(voter == options_.self ? round_ : found == progress_.end() ? 0 : found->second.ackedRound);
    }
    std::sort(acked.begin(), acked.end(), std::greater<>());
    return acked[membership().quorum() - 1];
}

void RaftNode::advanceReads()
{
    const std::uint64_t confirmed = confirmedRound();
    const auto isConfirmed = [&](const PendingRead &read) { return read.round <= confirmed; };
    for (const PendingRead &read : pendingReads_) {
        if (isConfirmed(read)) {
            readyReads_.push_back({read.id, read.index});
        }
    }
    std::erase_if(pendingReads_, isConfirmed);
}

void RaftNode::failPendingReads()
{
    for (const PendingRead &read : pendingReads_) {
        failedReads_.push_back(read.id);
    }
    pendingReads_.clear();
}

} // namespace cardamompost
