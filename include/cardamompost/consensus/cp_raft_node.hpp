#ifndef CARDAMOMPOST_CP_RAFT_NODE_HPP_INCLUDED
#define CARDAMOMPOST_CP_RAFT_NODE_HPP_INCLUDED

#include <cardamompost/consensus/cp_raft_log.hpp>
#include <cardamompost/consensus/cp_raft_message.hpp>
#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/liveness/cp_silence_detector.hpp>

#include <map>
#include <random>

namespace cardamompost
{

//! Times and sizes of a consensus group.
struct RaftOptions {
    VmName self;
    //! A follower starts an election after 1 to 2 times this without a leader.
    Milliseconds electionTimeout {400};
    //! Shorter election timeouts are taken, down to this, where the leader's contacts are dense (SilenceDetector); 0
    //! for none.
    Milliseconds shortestElectionTimeout {0};
    //! The same for the first time after a start; 0 for no difference. Shorter, a group whose members all start
    //! together has its leader sooner; a member that starts alone disturbs nobody, since a pre-vote against a leader
    //! fails.
    Milliseconds firstElectionTimeout {0};
    Milliseconds heartbeatInterval {100};
    std::size_t maxAppendBytes = 1U << 20U;
    std::size_t snapshotPieceBytes = 256U << 10U;
    //! Append messages to one member that wait for a reply.
    std::size_t maxInFlight = 32;
    std::uint64_t seed = 0;
};

//! What a member must find again after a restart, besides its log.
struct RaftHardState {
    Term term = 0;
    VmName votedFor;

    friend bool operator==(const RaftHardState &, const RaftHardState &) = default;
};

//! Stands for the vote of a member that has lost its disk: it may have voted for anybody in any term.
inline constexpr std::string_view unknownVote = "?";

//! All that storage holds for a group.
struct RaftStoredState {
    RaftHardState hard;
    RaftSnapshot snapshot;
    std::vector<LogEntry> entries;
};

//! A linearizable read that may now be served from state applied up to an index.
struct RaftReadyRead {
    std::uint64_t id = 0;
    LogIndex index = 0;
};

//! Work for the driver, in this order: sync what is to be stored, call persisted(), send, apply.
struct RaftReady {
    std::optional<RaftHardState> hard;
    //! A received snapshot replaces the whole log.
    std::optional<RaftSnapshot> snapshot;
    //! Entries to store; those of the same or a higher index that are stored already are void.
    std::vector<LogEntry> entries;
    std::vector<RaftMessage> messages;
    std::vector<LogEntry> committed;
    std::vector<RaftReadyRead> reads;
    //! Reads that can't be confirmed any more, because leadership was lost.
    std::vector<std::uint64_t> failedReads;
};

enum class RaftRole {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

//! One member of a consensus group: a state machine without threads, sockets, files or clock.
//!
//! A member that has lost its disk (its stored vote is unknownVote) takes part in no election until its log reaches
//! what a settled leader has committed; then it counts as having voted for that leader.
//!
//! Source: D. Ongaro, "Consensus: Bridging Theory and Practice" (2014): elections with pre-vote (9.6), a leader
//! that steps down without its quorum (6.2), confirmed reads (6.4), single-server changes (4.1) with
//! learners (4.2.1), leadership transfer (3.10).
//! Thread-safety: none; one thread or strand drives it.
class RaftNode
{
public:
    //! \param initial  members of a group that has stored nothing yet
    RaftNode(RaftOptions options, RaftStoredState stored, const Membership &initial, TimePoint now);

    //! Runs what is due. To be called at least every half heartbeat interval.
    void tick(TimePoint now);
    void step(TimePoint now, RaftMessage message);

    //! Appends a command on the leader. Errors: NotLeader. Commitment shows in RaftReady::committed.
    Result<LogIndex> propose(std::string payload);

    //! Starts a change by one voter, or of learners. Errors: NotLeader; NotReady while another change is not
    //! committed or a learner that would become a voter has not caught up.
    Result<LogIndex> proposeMembership(const Membership &next);

    //! Asks for a read that sees all that was committed before. Errors: NotLeader, NotReady in a new term.
    Result<void> requestRead(std::uint64_t id);

    //! Asks a voter that has the whole log to take over at once.
    void transferLeadership(const VmName &to);

    //! Replaces the entries up to an applied index by a snapshot of the state there.
    void compact(LogIndex index, std::string state);

    [[nodiscard]] bool hasReady() const;
    [[nodiscard]] RaftReady takeReady();
    //! The entries, hard state and snapshot of the last RaftReady are synced.
    void persisted(LogIndex lastIndex, Term lastTerm);

    [[nodiscard]] RaftRole role() const
    {
        return role_;
    }
    [[nodiscard]] Term term() const
    {
        return hard_.term;
    }
    //! Empty while none is known.
    [[nodiscard]] const VmName &leader() const
    {
        return leader_;
    }
    [[nodiscard]] LogIndex commitIndex() const
    {
        return commit_;
    }
    [[nodiscard]] const RaftLog &log() const
    {
        return log_;
    }
    [[nodiscard]] const Membership &membership() const
    {
        return log_.membership();
    }
    //! Highest index that a member is known to hold; only on the leader.
    [[nodiscard]] LogIndex matchOf(const VmName &member) const;
    //! True once the leader has committed an entry of its own term.
    [[nodiscard]] bool isEstablishedLeader() const;
    //! True while the leader has heard from a quorum so lately that no other member can have been elected: what has to
    //! be decided by one member at a time may be decided here. Members whose clocks run at other speeds weaken that.
    [[nodiscard]] bool hasLease(TimePoint now) const;
    //! True for a member that has lost its disk and does not hold again all that is committed.
    [[nodiscard]] bool isUninitialized() const
    {
        return hard_.votedFor == unknownVote;
    }

private:
    struct Progress {
        LogIndex match = 0;
        LogIndex next = 1;
        bool isProbing = true;
        bool probeSent = false;
        std::size_t inFlight = 0;
        TimePoint lastContact {};
        std::uint64_t ackedRound = 0;
        LogIndex snapshotIndex = 0;
        std::uint64_t snapshotOffset = 0;
        //! The last piece that was sent.
        TimePoint snapshotSentAt {};
        std::uint64_t snapshotSentOffset = 0;
    };
    struct PendingRead {
        std::uint64_t id;
        std::uint64_t round;
        LogIndex index;
    };

    void becomeFollower(Term term, const VmName &leader);
    void becomeLeader();
    void startElection(bool isPreVote);
    void countVote(const RaftMessage &message);
    void resetElectionDeadline();
    void failReads();

    bool acceptTerm(const RaftMessage &message);
    void answerOldTerm(const RaftMessage &message);
    void onVoteRequest(const RaftMessage &message);
    void onAppend(RaftMessage &message);
    void onAppendReply(const RaftMessage &message);
    void initializeIfCaughtUp(const RaftMessage &message);
    void onRejectedAppend(Progress &progress, const RaftMessage &message);
    void onSnapshotPiece(RaftMessage &message);
    void onSnapshotReply(const RaftMessage &message);
    void onTimeoutNow(const RaftMessage &message);

    void broadcastAppend(bool isHeartbeat);
    void sendAppend(const VmName &to, bool isHeartbeat);
    void sendSnapshotPiece(const VmName &to, Progress &progress);
    void advanceCommit();
    void advanceReads();
    void checkQuorumContact();
    void refreshProgress();
    void appendOwn(EntryKind kind, std::string payload);
    RaftMessage makeMessage(RaftMessageType type, const VmName &to) const;
    [[nodiscard]] std::set<VmName> peers() const;
    [[nodiscard]] bool isVoter(const VmName &name) const;
    [[nodiscard]] bool hasRecentLeader() const;
    void noteLeaderContact(const VmName &leader);

    RaftOptions options_;
    std::mt19937_64 random_;
    RaftLog log_;
    RaftHardState hard_;
    RaftHardState savedHard_;
    RaftRole role_ = RaftRole::Follower;
    VmName leader_;
    LogIndex commit_ = 0;
    LogIndex delivered_ = 0;
    LogIndex unstableFrom_ = 0;
    LogIndex stableIndex_ = 0;
    LogIndex pendingMembership_ = 0;
    TimePoint now_ {};
    TimePoint electionDeadline_ {};
    TimePoint leaderContact_ {};
    //! Whose contacts are in leaderGaps_.
    VmName gapsOf_;
    SilenceDetector leaderGaps_;
    TimePoint nextHeartbeat_ {};
    std::set<VmName> votes_;
    std::map<VmName, Progress> progress_;
    std::uint64_t round_ = 0;
    std::vector<PendingRead> pendingReads_;
    std::vector<RaftMessage> outbox_;
    std::vector<RaftReadyRead> readyReads_;
    std::vector<std::uint64_t> failedReads_;
    std::optional<RaftSnapshot> receivedSnapshot_;
    RaftSnapshot incoming_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_RAFT_NODE_HPP_INCLUDED
