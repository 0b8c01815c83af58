#ifndef CARDAMOMPOST_CP_RAFT_NODE_HPP_INCLUDED
#define CARDAMOMPOST_CP_RAFT_NODE_HPP_INCLUDED

#include <cardamompost/consensus/cp_raft_log.hpp>
#include <cardamompost/consensus/cp_raft_message.hpp>
#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/core/cp_name_table.hpp>
#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/liveness/cp_failure_detector.hpp>

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <utility>

namespace cardamompost
{

//! Timeouts and size limits of a consensus group.
struct RaftOptions {
    VmName self;
    //! Upper bound of the base election timeout; the actual one is randomized between 1 and 2 times the base.
    Milliseconds electionTimeout {400};
    //! Lower bound of the base election timeout, which adapts to the observed heartbeats (FailureDetector); 0 for a
    //! fixed timeout.
    Milliseconds shortestElectionTimeout {0};
    //! Base election timeout after a start, so that a new group elects its leader sooner; 0 for electionTimeout.
    Milliseconds firstElectionTimeout {0};
    Milliseconds heartbeatInterval {100};
    std::size_t maxAppendBytes = 1U << 20U;
    std::size_t snapshotChunkBytes = 256U << 10U;
    //! Maximum number of unacknowledged Append messages with entries per member.
    std::size_t maxInFlight = 32;
    std::uint64_t seed = 0;
};

//! State that a member persists besides its log.
struct RaftHardState {
    Term term = 0;
    VmName votedFor;

    friend bool operator==(const RaftHardState &, const RaftHardState &) = default;
};

//! Value of votedFor for a member that has lost its disk and may have voted for any candidate.
inline constexpr std::string_view unknownVotedFor = "?";

//! Persisted state of a group.
struct RaftStoredState {
    RaftHardState hard;
    RaftSnapshot snapshot;
    std::vector<LogEntry> entries;
};

//! A confirmed linearizable read; it may be served once the index is applied.
struct RaftReadyRead {
    std::uint64_t id = 0;
    LogIndex index = 0;
};

//! Pending work for the driver. Entries are applied and reads are completed at once, unless a snapshot comes with them.
//! The other data is stored and synced, reported to persisted(), and then the messages are sent. While it is being
//! stored, the driver sends takeUnblockedMessages() and does the work of takeCommitted() at each tick.
struct RaftReady {
    std::optional<RaftHardState> hard;
    //! A received snapshot replaces the whole log.
    std::optional<RaftSnapshot> snapshot;
    //! Entries to store; they replace stored entries of the same or a higher index.
    std::vector<LogEntry> entries;
    std::vector<RaftMessage> messages;
    std::vector<LogEntry> committed;
    std::vector<RaftReadyRead> reads;
    //! Reads that failed because leadership was lost.
    std::vector<std::uint64_t> failedReads;
};

//! Why a member stopped leading.
enum class LeadershipEnd {
    //! No quorum of voters was heard from for two election timeouts.
    QuorumLost,
    //! The disk stalled, and a voter that has stored more was asked to take over.
    HandedOver,
    //! A message with a later term arrived.
    LaterTerm,
    //! The member is no longer a voter.
    LeftGroup,
};

inline constexpr std::array leadershipEndNames {
    Named {LeadershipEnd::QuorumLost, "quorum-lost"},
    Named {LeadershipEnd::HandedOver, "handed-over"},
    Named {LeadershipEnd::LaterTerm, "later-term"},
    Named {LeadershipEnd::LeftGroup, "left-group"},
};

//! How a member's leadership ended, and what it knew of the others at that time.
struct RaftLeadershipReport {
    struct Peer {
        VmName name;
        //! Time since its last message, without standstills of this member.
        Milliseconds silence {0};
        Milliseconds writeTime {0};
        LogIndex match = 0;
    };

    LeadershipEnd end = LeadershipEnd::QuorumLost;
    //! The successor that was asked to take over, or the sender of the later term.
    VmName other;
    Milliseconds writeTime {0};
    LogIndex stored = 0;
    std::vector<Peer> peers;
};

enum class RaftRole {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

//! One member of a consensus group: a state machine without threads, sockets, files or clock.
//!
//! A member that has lost its disk (votedFor is unknownVotedFor) neither votes nor starts elections until its log
//! contains everything that an established leader has committed. It then counts as having voted for that leader.
//!
//! Source: D. Ongaro, "Consensus: Bridging Theory and Practice" (2014): elections with pre-vote (9.6), leaders
//! that step down without a quorum (6.2), read index (6.4), single-server membership changes (4.1) with
//! learners (4.2.1), leadership transfer (3.10).
//! Thread-safety: none; to be used from one thread or strand.
class RaftNode
{
public:
    //! \param initial  membership of a group without a snapshot
    RaftNode(RaftOptions options, RaftStoredState stored, const Membership &initial, TimePoint now);

    //! Handles timeouts and heartbeats. To be called at least twice per heartbeat interval.
    void tick(TimePoint now);
    void step(TimePoint now, RaftMessage message);

    //! Appends a command on the leader; once committed, it is in RaftReady::committed. Errors: NotLeader.
    Result<LogIndex> propose(std::string payload);

    //! Starts a membership change of at most one voter and any learners. Errors: NotLeader; InvalidRequest for a larger
    //! change; NotReady while another change is uncommitted or a learner to be promoted has not caught up.
    Result<LogIndex> proposeMembership(const Membership &next);

    //! Requests a linearizable read. Errors: NotLeader; NotReady until an entry of the current term is committed.
    Result<void> requestRead(std::uint64_t id);

    //! Asks a voter to start an election at once; ignored unless this member is the leader and the voter has the whole
    //! log. The leader has no lease from then on, and steps down if it still leads after two election timeouts.
    void transferLeadership(const VmName &to);

    //! Replaces the entries up to an applied index with a snapshot of the state at that index.
    void compact(LogIndex index, std::string state);

    [[nodiscard]] bool hasReady() const;
    [[nodiscard]] RaftReady takeReady();
    //! Messages that promise nothing beyond what is synced, to be sent while the last RaftReady is being stored, so
    //! that a slow disk does not look like a lost member.
    [[nodiscard]] std::vector<RaftMessage> takeUnblockedMessages();
    //! Committed entries that are synced locally, and reads of them, while the last RaftReady is being stored.
    [[nodiscard]] RaftReady takeCommitted();
    //! Reports that the entries, hard state and snapshot of the last RaftReady are synced.
    void persisted(const RaftReady &ready);
    //! Reports that the disk has finished other work, for which the last RaftReady may have to wait.
    void noteDiskProgress(TimePoint now);
    //! The disk has finished nothing for two election timeouts while the last RaftReady is being stored. Such a leader
    //! hands over once a quorum of others has stored more and would need less time to go on.
    [[nodiscard]] bool isDiskStalled() const;
    //! How long this member's writes take, the one in progress included.
    [[nodiscard]] Milliseconds writeTime() const;
    //! Set once after each end of this member's leadership.
    [[nodiscard]] std::optional<RaftLeadershipReport> takeLeadershipReport()
    {
        return std::exchange(leadershipReport_, std::nullopt);
    }

    [[nodiscard]] RaftRole role() const
    {
        return role_;
    }
    [[nodiscard]] Term term() const
    {
        return hard_.term;
    }
    //! Empty while no leader is known.
    [[nodiscard]] const VmName &leader() const
    {
        return leader_;
    }
    [[nodiscard]] LogIndex commitIndex() const
    {
        return commitIndex_;
    }
    [[nodiscard]] const RaftLog &log() const
    {
        return log_;
    }
    [[nodiscard]] const Membership &membership() const
    {
        return log_.membership();
    }
    //! Highest log index known to be replicated to a member; valid on the leader only.
    [[nodiscard]] LogIndex matchIndexOf(const VmName &member) const;
    //! True on a leader that has committed an entry of its own term.
    [[nodiscard]] bool isEstablishedLeader() const;
    //! True while no other leader can have been elected, since a quorum has answered a message sent so recently that
    //! none of these members votes yet. Never true after transferLeadership(). Holds while the clocks of any two
    //! members run at rates that differ by less than a fifth.
    [[nodiscard]] bool hasLease(TimePoint now) const;
    //! True for a member that has lost its disk and has not yet stored all committed entries.
    [[nodiscard]] bool isUninitialized() const
    {
        return hard_.votedFor == unknownVotedFor || stableHard_.votedFor == unknownVotedFor;
    }

private:
    struct Progress {
        LogIndex match = 0;
        LogIndex next = 1;
        bool isProbing = true;
        //! Set by a probe until its reply or the next heartbeat; no other probe is sent meanwhile.
        bool isProbePending = false;
        //! Last entry of each unacknowledged Append message with entries.
        std::deque<LogIndex> inFlight;
        TimePoint lastContact {};
        //! As lastContact, but later by the standstills of this member, which are no silence of the other one.
        TimePoint silentSince {};
        //! How long the member's writes take, as it last reported.
        Milliseconds writeTime {0};
        std::uint64_t ackedRound = 0;
        LogIndex snapshotIndex = 0;
        std::uint64_t snapshotOffset = 0;
        //! Time and offset of the last chunk sent.
        TimePoint snapshotSentAt {};
        std::uint64_t snapshotSentOffset = 0;
    };
    //! A broadcast to all members; their answers echo its number.
    struct Round {
        std::uint64_t number;
        TimePoint sentAt;
    };
    struct PendingRead {
        std::uint64_t id;
        std::uint64_t round;
        LogIndex index;
    };

    //! Sets the current time. Time for which this member did not run postpones its timeouts: messages that arrived
    //! meanwhile have yet to be read.
    void advanceTime(TimePoint now);
    void becomeFollower(Term term, const VmName &leader);
    void becomeLeader();
    void endLeadership(LeadershipEnd end, const VmName &other);
    //! \param isTransfer  the leader has given up its lease and asked this member to take over
    void startElection(bool isPreVote, bool isTransfer = false);
    void countVote(const RaftMessage &message);
    void resetElectionDeadline();
    void failPendingReads();

    bool acceptTerm(const RaftMessage &message);
    void answerOldTerm(const RaftMessage &message);
    void onVoteRequest(const RaftMessage &message);
    //! The leader may hold a lease that rests on an answer of this member.
    [[nodiscard]] bool isBoundByLease() const;
    [[nodiscard]] Milliseconds shortestElectionTimeout() const;
    void onAppend(RaftMessage &message);
    void onAppendReply(const RaftMessage &message);
    void initializeIfCaughtUp(const RaftMessage &message);
    //! \returns true if the member's next probe differs from the last one
    bool onRejectedAppend(Progress &progress, const RaftMessage &message);
    void onSnapshotChunk(RaftMessage &message);
    void onSnapshotReply(const RaftMessage &message);
    void onTimeoutNow(const RaftMessage &message);

    void broadcastAppend(bool isHeartbeat);
    void sendAppend(const VmName &to, bool isHeartbeat);
    void sendSnapshotChunk(const VmName &to, Progress &progress);
    void advanceCommit();
    void advanceReads();
    //! The newest round that a quorum has answered.
    [[nodiscard]] std::uint64_t confirmedRound() const;
    //! Moves committed entries that are synced locally, and reads of them, to a RaftReady.
    void deliverCommitted(RaftReady &ready);
    [[nodiscard]] bool hasDeliverableReads() const;
    void checkQuorumContact();
    void refreshProgress();
    void appendEntry(EntryKind kind, std::string payload);
    RaftMessage makeMessage(RaftMessageType type, const VmName &to) const;
    [[nodiscard]] std::set<VmName> peers() const;
    [[nodiscard]] bool isVoter(const VmName &name) const;
    [[nodiscard]] bool isUnblocked(const RaftMessage &message) const;
    void handOverIfDiskStalled();
    //! Steps down if the member that was asked to take over has not done so.
    void endFailedTransfer();
    void recordContact(Progress &progress, const RaftMessage &message);
    //! The member was heard from within two election timeouts.
    [[nodiscard]] bool isInContact(const Progress &progress) const;
    //! Time since the disk last finished something while a RaftReady is being stored, or else 0.
    [[nodiscard]] Milliseconds diskSilence() const;
    [[nodiscard]] bool hasRecentLeader() const;
    void recordLeaderContact(const VmName &leader);

    RaftOptions options_;
    std::mt19937_64 random_;
    RaftLog log_;
    RaftHardState hard_;
    RaftHardState lastReadyHard_;
    //! Last hard state that is synced locally.
    RaftHardState stableHard_;
    //! Set while a RaftReady with data to store is not persisted.
    std::optional<TimePoint> storingSince_;
    TimePoint lastDiskProgress_ {};
    //! Time that recent writes took; the longest one counts half after each further write.
    Milliseconds storeTime_ {0};
    Milliseconds lastStoreTime_ {0};
    RaftRole role_ = RaftRole::Follower;
    VmName leader_;
    LogIndex commitIndex_ = 0;
    //! Last entry returned in RaftReady::committed or covered by a snapshot.
    LogIndex deliveredIndex_ = 0;
    //! First entry not yet returned in RaftReady::entries.
    LogIndex unstableFrom_ = 0;
    //! Last entry that is synced locally.
    LogIndex stableIndex_ = 0;
    //! On a leader: its last membership entry or, before the first one, its barrier entry.
    LogIndex pendingMembershipIndex_ = 0;
    TimePoint now_ {};
    //! Empty before the first call with a time.
    std::optional<TimePoint> lastRunAt_;
    TimePoint electionDeadline_ {};
    TimePoint lastLeaderContact_ {};
    //! The leader whose contacts leaderDetector_ has observed.
    VmName observedLeader_;
    FailureDetector leaderDetector_;
    TimePoint nextHeartbeatAt_ {};
    std::set<VmName> votes_;
    std::map<VmName, Progress> progress_;
    std::uint64_t round_ = 0;
    //! Rounds that a lease may rest on, oldest first.
    std::deque<Round> recentRounds_;
    //! The member that was asked to take over in this term, and when.
    std::optional<std::pair<VmName, TimePoint>> transfer_;
    std::vector<PendingRead> pendingReads_;
    std::vector<RaftMessage> outbox_;
    //! Confirmed reads, oldest first.
    std::deque<RaftReadyRead> readyReads_;
    std::vector<std::uint64_t> failedReads_;
    std::optional<RaftSnapshot> receivedSnapshot_;
    RaftSnapshot incomingSnapshot_;
    std::optional<RaftLeadershipReport> leadershipReport_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_RAFT_NODE_HPP_INCLUDED
