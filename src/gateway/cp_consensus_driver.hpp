#ifndef CARDAMOMPOST_CP_CONSENSUS_DRIVER_HPP_INCLUDED
#define CARDAMOMPOST_CP_CONSENSUS_DRIVER_HPP_INCLUDED

#include "../daemon/cp_disk_thread.hpp"
#include "cp_peer_clients.hpp"

#include <cardamompost/consensus/cp_raft_node.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <unordered_map>

namespace cardamompost
{

//! State machine replicated by a consensus group.
class IReplicatedState
{
public:
    virtual ~IReplicatedState() = default;

    virtual void apply(const LogEntry &entry) = 0;
    virtual Result<void> restore(const RaftSnapshot &snapshot) = 0;
    [[nodiscard]] virtual std::string encodeSnapshot() const = 0;
    //! Adds data that must become durable before or together with the snapshot encoded last.
    virtual void addToSnapshot(LogBatch &batch) = 0;
    virtual void onSnapshotStored() = 0;
    //! Leadership, term or members may have changed.
    virtual void onChange() = 0;
};

//! Runs one member of a consensus group, with disk writes on a separate thread.
//! Thread-safety: none; calls and callbacks run on the io_context's thread.
class ConsensusDriver
{
public:
    struct Parts {
        boost::asio::io_context &io;
        DiskThread &disk;
        PeerClients &peers;
        EventLog &log;
        MetricRegistry &metrics;
    };
    //! Called once; `isCommitted` is true if the proposed entry was committed and applied here.
    using CommitCallback = std::function<void(bool isCommitted)>;
    //! When a proposal that is neither committed nor overwritten fails.
    enum class ProposalExpiry {
        //! After a timeout.
        Timeout,
        //! As Timeout, but not while this member leads in the term of the proposal.
        LostLeadership,
    };

    ConsensusDriver(Parts parts, IReplicatedState &state);

    //! Starts from the stored state. Errors: StorageCorrupt.
    Result<void> start(RaftOptions options, RaftStoredState stored, const Membership &initial);
    void stop();

    void onMessage(RaftMessage message);
    void propose(std::string payload, ProposalExpiry expiry, CommitCallback done);
    //! Confirms with a quorum that this member leads and has applied all entries committed before the call.
    void confirmRead(std::function<void(bool)> done);
    //! Errors: as RaftNode::proposeMembership().
    Result<void> proposeMembership(const Membership &next);
    //! Transfers leadership to the up-to-date voter with the most recent message. \returns whether there is one
    bool transferLeadership();

    [[nodiscard]] bool isStarted() const
    {
        return node_.has_value();
    }
    [[nodiscard]] const RaftNode &node() const
    {
        return *node_;
    }
    [[nodiscard]] bool isEstablishedLeader() const
    {
        return isRunning() && node_->isEstablishedLeader();
    }
    [[nodiscard]] bool hasLease() const
    {
        return isRunning() && node_->hasLease(std::chrono::steady_clock::now());
    }
    //! Index of the last applied entry.
    [[nodiscard]] LogIndex applied() const
    {
        return applied_;
    }
    //! Empty if unknown.
    [[nodiscard]] VmName leader() const
    {
        return isRunning() ? node_->leader() : VmName {};
    }
    //! Time since a member's last message; the maximum if there was none.
    [[nodiscard]] Milliseconds silenceOf(const VmName &member) const;

private:
    struct Proposal {
        Term term = 0;
        TimePoint since {};
        ProposalExpiry expiry = ProposalExpiry::Timeout;
        CommitCallback done;
    };

    [[nodiscard]] bool isRunning() const
    {
        return node_.has_value() && !isStopped_;
    }
    void scheduleTick();
    void tick();
    void expireProposals(TimePoint now);
    void reconnectIfSilent(const VmName &member);
    void processReady();
    //! Limits how often a leader writes and sends what its node has ready, which is one round.
    //! \returns true if the next round has been scheduled for later
    [[nodiscard]] bool mustDeferRound();
    void store(const std::shared_ptr<RaftReady> &ready);
    //! Stores a ready received snapshot after the data that it discards with the log.
    void storeReceivedSnapshot(const std::shared_ptr<RaftReady> &ready);
    void write(const std::shared_ptr<RaftReady> &ready);
    void complete(RaftReady &ready);
    //! Applies what is committed, and completes reads, while a RaftReady is being stored.
    void deliverCommitted();
    //! Logs why this member stopped leading.
    void logEndOfLeadership();
    //! Stops this member after a failed write. \returns true while it is running
    bool handleWriteResult(bool isWritten);
    void send(std::vector<RaftMessage> messages);
    void applyCommitted(const std::vector<LogEntry> &entries);
    void completeReads(const RaftReady &ready);
    void compactIfDue();
    //! Writes the next of the snapshot parts. Other writes may be queued between parts.
    void storeSnapshotPart();
    //! This member leads, and a responsive learner lacks committed entries.
    [[nodiscard]] bool hasLaggingLearner() const;
    void failPending();

    Parts parts_;
    IReplicatedState &state_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer roundTimer_;
    bool isRoundScheduled_ = false;
    TimePoint lastRoundAt_ {};
    std::optional<RaftNode> node_;
    //! The last RaftReady is still being stored or applied.
    bool isProcessingReady_ = false;
    bool isStopped_ = false;
    std::map<LogIndex, Proposal> proposals_;
    //! Reads that a quorum has not confirmed yet, by id.
    std::map<std::uint64_t, std::function<void(bool)>> reads_;
    //! Confirmed reads, by the log index that has to be applied first.
    std::multimap<LogIndex, std::function<void(bool)>> confirmedReads_;
    std::uint64_t nextRead_ = 1;
    LogIndex applied_ = 0;
    std::size_t bytesSinceSnapshot_ = 0;
    std::size_t snapshotBytes_ = 0;
    //! Parts of this member's snapshot, and of the data that a received one discards, which are not stored yet.
    std::deque<LogBatch> snapshotParts_;
    //! A received snapshot that is written once snapshotParts_ are stored; null for none.
    std::shared_ptr<RaftReady> receivedSnapshot_;
    unsigned compactionSlot_ = 0;
    std::uint64_t diskJobsDone_ = 0;
    std::unordered_map<VmName, TimePoint> lastHeard_;
    std::unordered_map<VmName, TimePoint> lastReconnected_;
    Counter &committed_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CONSENSUS_DRIVER_HPP_INCLUDED
