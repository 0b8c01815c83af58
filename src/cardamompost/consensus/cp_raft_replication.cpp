#include <cardamompost/consensus/cp_raft_node.hpp>
#include <cardamompost/core/cp_invariant.hpp>

#include <algorithm>

namespace cardamompost
{

void RaftNode::step(TimePoint now, RaftMessage message)
{
    advanceTime(now);
    // Disregarded before its term is taken over, so that a candidate can't end the leadership that the lease rests on.
    const bool isDisregarded = message.type == RaftMessageType::Vote && !message.isTransfer && isBoundByLease();
    if (message.to != options_.self || isDisregarded || !acceptTerm(message)) {
        return;
    }
    switch (message.type) {
    case RaftMessageType::PreVote:
    case RaftMessageType::Vote:
        onVoteRequest(message);
        break;
    case RaftMessageType::PreVoteReply:
    case RaftMessageType::VoteReply:
        countVote(message);
        break;
    case RaftMessageType::Append:
        onAppend(message);
        break;
    case RaftMessageType::AppendReply:
        onAppendReply(message);
        break;
    case RaftMessageType::SnapshotChunk:
        onSnapshotChunk(message);
        break;
    case RaftMessageType::SnapshotReply:
        onSnapshotReply(message);
        break;
    case RaftMessageType::TimeoutNow:
        onTimeoutNow(message);
        break;
    }
}

bool RaftNode::acceptTerm(const RaftMessage &message)
{
    if (message.term < hard_.term) {
        answerOldTerm(message);
        return false;
    }
    const bool isPreVote = message.type == RaftMessageType::PreVote
        || (message.type == RaftMessageType::PreVoteReply && message.granted);
    if (message.term > hard_.term && !isPreVote) {
        if (role_ == RaftRole::Leader) {
            endLeadership(LeadershipEnd::LaterTerm, message.from);
        }
        becomeFollower(message.term, {});
    }
    return true;
}

void RaftNode::answerOldTerm(const RaftMessage &message)
{
    // Sends the current term to a deposed leader or an outdated candidate, so that it steps down before its timeout.
    if (message.type == RaftMessageType::Append || message.type == RaftMessageType::SnapshotChunk) {
        outbox_.push_back(makeMessage(RaftMessageType::AppendReply, message.from));
    } else if (message.type == RaftMessageType::PreVote) {
        outbox_.push_back(makeMessage(RaftMessageType::PreVoteReply, message.from));
    }
}

void RaftNode::broadcastAppend(bool isHeartbeat)
{
    recentRounds_.push_back({++round_, now_});
    // No lease rests on an older round.
    while (now_ - recentRounds_.front().sentAt > shortestElectionTimeout()) {
        recentRounds_.pop_front();
    }
    for (const VmName &name : peers()) {
        sendAppend(name, isHeartbeat);
    }
}

void RaftNode::sendAppend(const VmName &to, bool isHeartbeat)
{
    Progress &progress = progress_.at(to);
    const std::optional<Term> previousTerm = log_.termAt(progress.next - 1);
    if (!previousTerm) {
        sendSnapshotChunk(to, progress);
        return;
    }
    const bool isBlocked
        = progress.isProbing ? progress.isProbePending : progress.inFlight.size() >= options_.maxInFlight;
    if (isBlocked && !isHeartbeat) {
        return;
    }
    RaftMessage message = makeMessage(RaftMessageType::Append, to);
    message.index = progress.next - 1;
    message.indexTerm = *previousTerm;
    message.commit = commitIndex_;
    message.round = round_;
    // Probes carry no entries: a member that resumes after a pause rejects every queued heartbeat, and each rejection
    // would cause the same entries to be sent again.
    if (!isBlocked && !progress.isProbing) {
        message.entries = log_.slice(progress.next, options_.maxAppendBytes);
    }
    if (message.entries.empty() && !isHeartbeat && !progress.isProbing && progress.match >= commitIndex_) {
        return;
    }
    if (progress.isProbing) {
        // A probe is repeated with every heartbeat, since the previous one or its reply may be lost.
        progress.isProbePending = !isHeartbeat;
    } else if (!message.entries.empty()) {
        progress.next += message.entries.size();
        progress.inFlight.push_back(message.entries.back().index);
    }
    outbox_.push_back(std::move(message));
}

void RaftNode::sendSnapshotChunk(const VmName &to, Progress &progress)
{
    const RaftSnapshot &snapshot = log_.snapshot();
    if (progress.snapshotIndex != snapshot.index) {
        progress.snapshotIndex = snapshot.index;
        progress.snapshotOffset = 0;
        progress.snapshotSentAt = {};
    }
    // Every proposal and read calls this, so a chunk is not sent again while its reply is pending; after two heartbeat
    // intervals it is taken as lost.
    const bool isPending = progress.snapshotSentAt != TimePoint {}
        && progress.snapshotSentOffset == progress.snapshotOffset
        && now_ - progress.snapshotSentAt < 2 * options_.heartbeatInterval;
    if (isPending) {
        return;
    }
    progress.snapshotSentAt = now_;
    progress.snapshotSentOffset = progress.snapshotOffset;
    RaftMessage message = makeMessage(RaftMessageType::SnapshotChunk, to);
    message.round = round_;
    message.offset = progress.snapshotOffset;
    message.snapshot = {snapshot.index, snapshot.term, snapshot.membership,
                        snapshot.state.substr(message.offset, options_.snapshotChunkBytes)};
    message.isLastChunk = message.offset + message.snapshot.state.size() >= snapshot.state.size();
    outbox_.push_back(std::move(message));
}

void RaftNode::onAppend(RaftMessage &message)
{
    checkInvariant(role_ != RaftRole::Leader, "a term has at most one leader");
    if (role_ != RaftRole::Follower || leader_ != message.from) {
        becomeFollower(message.term, message.from);
    }
    recordLeaderContact(message.from);
    RaftMessage reply = makeMessage(RaftMessageType::AppendReply, message.from);
    reply.round = message.round;
    const std::optional<Term> ownTerm = log_.termAt(message.index);
    const bool isCompacted = message.index < log_.snapshot().index;
    if (!isCompacted && ownTerm != message.indexTerm) {
        reply.index = std::min(log_.lastIndex(), message.index - 1);
        outbox_.push_back(std::move(reply));
        return;
    }
    const LogIndex lastMatch = message.index + message.entries.size();
    // A heartbeat is acknowledged up to the last synced entry, so that its reply does not wait for a write.
    reply.index = message.entries.empty() ? std::min(lastMatch, stableIndex_) : lastMatch;
    for (LogEntry &entry : message.entries) {
        if (entry.index <= log_.snapshot().index || log_.termAt(entry.index) == entry.term) {
            continue;
        }
        if (entry.index <= log_.lastIndex()) {
            checkInvariant(entry.index > commitIndex_, "a committed entry is never overwritten");
            log_.truncateFrom(entry.index);
            stableIndex_ = std::min(stableIndex_, entry.index - 1);
            unstableFrom_ = std::min(unstableFrom_, entry.index);
        }
        log_.append(std::move(entry));
    }
    commitIndex_ = std::max(commitIndex_, std::min(message.commit, lastMatch));
    initializeIfCaughtUp(message);
    reply.granted = true;
    outbox_.push_back(std::move(reply));
}

void RaftNode::initializeIfCaughtUp(const RaftMessage &message)
{
    // The commit index of an established leader covers all committed entries, including those that this member lost.
    const bool isEstablished = message.commit > 0 && log_.termAt(message.commit) == message.term;
    if (isUninitialized() && isEstablished && commitIndex_ >= message.commit) {
        hard_.votedFor = message.from;
    }
}

void RaftNode::onAppendReply(const RaftMessage &message)
{
    const auto found = progress_.find(message.from);
    if (role_ != RaftRole::Leader || found == progress_.end()) {
        return;
    }
    Progress &progress = found->second;
    recordContact(progress, message);
    advanceReads();
    if (!message.granted) {
        // A rejection without new information is answered by the next heartbeat's probe; a probe for each would be sent
        // as fast as the network carries it.
        if (onRejectedAppend(progress, message)) {
            sendAppend(message.from, false);
        }
        return;
    }
    progress.isProbePending = false;
    while (!progress.inFlight.empty() && progress.inFlight.front() <= message.index) {
        progress.inFlight.pop_front();
    }
    if (message.index > progress.match) {
        progress.match = message.index;
        progress.next = std::max(progress.next, message.index + 1);
        advanceCommit();
    }
    progress.isProbing = false;
    if (role_ == RaftRole::Leader && progress.next <= log_.lastIndex()) {
        sendAppend(message.from, false);
    }
}

bool RaftNode::onRejectedAppend(Progress &progress, const RaftMessage &message)
{
    const bool wasProbing = std::exchange(progress.isProbing, true);
    const LogIndex previousNext = progress.next;
    progress.isProbePending = false;
    progress.inFlight.clear();
    if (message.isUninitialized) {
        // Entries that the member acknowledged before it lost its disk do not count as replicated.
        progress.match = std::min(progress.match, message.index);
    }
    progress.next = std::max(progress.match + 1, std::min(message.index + 1, log_.lastIndex() + 1));
    return !wasProbing || progress.next != previousNext;
}

void RaftNode::onSnapshotChunk(RaftMessage &message)
{
    if (role_ != RaftRole::Follower || leader_ != message.from) {
        becomeFollower(message.term, message.from);
    }
    recordLeaderContact(message.from);
    RaftMessage reply = makeMessage(RaftMessageType::SnapshotReply, message.from);
    reply.round = message.round;
    reply.snapshot.index = message.snapshot.index;
    if (message.snapshot.index <= commitIndex_) {
        reply.granted = true;
        reply.index = commitIndex_;
        outbox_.push_back(std::move(reply));
        return;
    }
    if (incomingSnapshot_.index != message.snapshot.index) {
        incomingSnapshot_ = {message.snapshot.index, message.snapshot.term, message.snapshot.membership, {}};
    }
    // A lost or duplicate chunk has an unexpected offset; the reply requests the expected one.
    if (message.offset == incomingSnapshot_.state.size()) {
        incomingSnapshot_.state += message.snapshot.state;
        reply.granted = message.isLastChunk;
    }
    reply.offset = incomingSnapshot_.state.size();
    reply.index = message.snapshot.index;
    if (reply.granted) {
        // Until the snapshot is synced, only the committed part of the stored log matches it.
        stableIndex_ = std::min(stableIndex_, commitIndex_);
        log_.restore(incomingSnapshot_);
        receivedSnapshot_ = std::exchange(incomingSnapshot_, {});
        commitIndex_ = log_.snapshot().index;
        deliveredIndex_ = commitIndex_;
        unstableFrom_ = commitIndex_ + 1;
    }
    outbox_.push_back(std::move(reply));
}

void RaftNode::onSnapshotReply(const RaftMessage &message)
{
    const auto found = progress_.find(message.from);
    if (role_ != RaftRole::Leader || found == progress_.end()) {
        return;
    }
    Progress &progress = found->second;
    recordContact(progress, message);
    advanceReads();
    if (message.granted) {
        progress.match = std::max(progress.match, message.index);
        progress.next = std::max(progress.next, message.index + 1);
        progress.snapshotIndex = 0;
        progress.isProbing = true;
        progress.isProbePending = false;
        sendAppend(message.from, false);
        return;
    }
    if (message.snapshot.index == progress.snapshotIndex && message.offset != progress.snapshotOffset) {
        progress.snapshotOffset = message.offset;
        sendAppend(message.from, false);
    }
}

} // namespace cardamompost
