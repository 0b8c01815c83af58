#include <cardamompost/consensus/cp_raft_node.hpp>
#include <cardamompost/core/cp_invariant.hpp>

namespace cardamompost
{

void RaftNode::resetElectionDeadline()
{
    // Without a leader, leaves time for other members to store their earlier entries and then their votes.
    const Milliseconds storing = leader_.empty() ? 2 * storeTime_ : Milliseconds(0);
    const Milliseconds timeout = leaderDetector_.suspicionTimeout();
    std::uniform_int_distribution<std::int64_t> spread(0, timeout.count());
    electionDeadline_ = now_ + timeout + storing + Milliseconds(spread(random_));
}

void RaftNode::recordLeaderContact(const VmName &leader)
{
    lastLeaderContact_ = now_;
    if (observedLeader_ != leader) {
        observedLeader_ = leader;
        leaderDetector_.restart(now_);
    } else {
        leaderDetector_.observe(now_);
    }
    resetElectionDeadline();
}

bool RaftNode::hasRecentLeader() const
{
    if (role_ == RaftRole::Leader) {
        return true;
    }
    return !leader_.empty() && now_ - lastLeaderContact_ < leaderDetector_.suspicionTimeout();
}

void RaftNode::becomeFollower(Term term, const VmName &leader)
{
    checkInvariant(term >= hard_.term, "the term never decreases");
    if (term > hard_.term) {
        hard_ = {term, isUninitialized() ? std::string(unknownVotedFor) : VmName {}};
    }
    if (role_ == RaftRole::Leader) {
        failPendingReads();
    }
    role_ = RaftRole::Follower;
    leader_ = leader;
    votes_.clear();
    progress_.clear();
    resetElectionDeadline();
}

void RaftNode::endLeadership(LeadershipEnd end, const VmName &other)
{
    RaftLeadershipReport report {end, other, writeTime(), stableIndex_, {}};
    for (const auto &[name, progress] : progress_) {
        const auto silence = std::chrono::duration_cast<Milliseconds>(now_ - progress.silentSince);
        report.peers.push_back({name, silence, progress.writeTime, progress.match});
    }
    leadershipReport_ = std::move(report);
    becomeFollower(hard_.term, {});
}

bool RaftNode::isBoundByLease() const
{
    return role_ == RaftRole::Leader ? hasLease(now_) : now_ - lastLeaderContact_ < shortestElectionTimeout();
}

void RaftNode::startElection(bool isPreVote, bool isTransfer)
{
    // A pre-vote does not change the term, so a member that returns from a partition can't depose a working leader.
    role_ = isPreVote ? RaftRole::PreCandidate : RaftRole::Candidate;
    leader_.clear();
    if (!isPreVote) {
        hard_ = {hard_.term + 1, options_.self};
    }
    votes_ = {options_.self};
    resetElectionDeadline();
    for (const VmName &voter : membership().voters) {
        if (voter == options_.self) {
            continue;
        }
        RaftMessage request = makeMessage(isPreVote ? RaftMessageType::PreVote : RaftMessageType::Vote, voter);
        request.term = isPreVote ? hard_.term + 1 : hard_.term;
        request.index = log_.lastIndex();
        request.indexTerm = log_.lastTerm();
        request.isTransfer = isTransfer;
        outbox_.push_back(std::move(request));
    }
    if (votes_.size() < membership().quorum()) {
        return;
    }
    if (isPreVote) {
        startElection(false);
    } else {
        becomeLeader();
    }
}

void RaftNode::becomeLeader()
{
    role_ = RaftRole::Leader;
    leader_ = options_.self;
    recentRounds_.clear();
    transfer_.reset();
    progress_.clear();
    refreshProgress();
    appendEntry(EntryKind::Barrier, {});
    pendingMembershipIndex_ = log_.lastIndex();
    nextHeartbeatAt_ = now_ + options_.heartbeatInterval;
    broadcastAppend(false);
}

void RaftNode::onVoteRequest(const RaftMessage &message)
{
    const bool isPreVote = message.type == RaftMessageType::PreVote;
    RaftMessage reply
        = makeMessage(isPreVote ? RaftMessageType::PreVoteReply : RaftMessageType::VoteReply, message.from);
    const bool canVoteForSender = isPreVote || hard_.votedFor.empty() || hard_.votedFor == message.from;
    const bool hasNewerTerm = message.term > hard_.term || (!isPreVote && message.term == hard_.term);
    // A member that has lost its disk could vote twice in a term, or for a candidate that lacks entries which it
    // acknowledged itself.
    reply.granted = !isUninitialized() && hasNewerTerm && canVoteForSender && !(isPreVote && hasRecentLeader())
        && !(isPreVote && isBoundByLease()) && log_.isUpToDate(message.index, message.indexTerm);
    if (reply.granted && isPreVote) {
        reply.term = message.term;
        // Lets the candidate store its candidacy first. Shorter than the candidate's own timeout, so that a candidate
        // that cannot win does not keep others from trying.
        electionDeadline_ = std::max(electionDeadline_, now_ + 2 * storeTime_);
    }
    if (reply.granted && !isPreVote) {
        hard_.votedFor = message.from;
        resetElectionDeadline();
    }
    outbox_.push_back(std::move(reply));
}

void RaftNode::countVote(const RaftMessage &message)
{
    const bool isPreVote = message.type == RaftMessageType::PreVoteReply;
    const RaftRole expectedRole = isPreVote ? RaftRole::PreCandidate : RaftRole::Candidate;
    const Term expectedTerm = isPreVote ? hard_.term + 1 : hard_.term;
    if (role_ != expectedRole || !message.granted || message.term != expectedTerm || !isVoter(message.from)) {
        return;
    }
    votes_.insert(message.from);
    if (votes_.size() < membership().quorum()) {
        return;
    }
    if (isPreVote) {
        startElection(false);
    } else {
        becomeLeader();
    }
}

void RaftNode::onTimeoutNow(const RaftMessage &message)
{
    if (message.term == hard_.term && isVoter(options_.self) && !isUninitialized()) {
        startElection(false, true);
    }
}

} // namespace cardamompost
