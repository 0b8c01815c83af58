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

//! What a consensus group replicates.
class IReplicatedState
{
public:
    virtual ~IReplicatedState() = default;

    virtual void apply(const LogEntry &entry) = 0;
    virtual Result<void> restore(const RaftSnapshot &snapshot) = 0;
    [[nodiscard]] virtual std::string encodeSnapshot() const = 0;
    //! Adds what has to become durable together with the snapshot that was just made.
    virtual void addToSnapshot(LogBatch &batch) = 0;
    virtual void onSnapshotStored() = 0;
    //! Leadership, term or members may have changed.
    virtual void onChange() = 0;
};

//! Runs one member of a consensus group on one thread, with a disk thread beside it.
//! Everything is called and answered on the io_context's thread.
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
    //! Called once: whether the proposed entry is committed, and applied here.
    using Committed = std::function<void(bool isCommitted)>;

    ConsensusDriver(Parts parts, IReplicatedState &state);

    //! Starts from what the disk holds. Errors: StorageCorrupt.
    Result<void> start(RaftOptions options, RaftStoredState stored, const Membership &initial);
    void stop();

    void onMessage(RaftMessage message);
    void propose(std::string payload, Committed done);
    //! Asks for a confirmation that this member leads and holds all that was committed before.
    void confirmRead(std::function<void(bool)> done);
    //! Errors: as RaftNode::proposeMembership().
    Result<void> proposeMembership(const Membership &next);
    //! Hands leadership to the voter that was heard from last.
    void handOver();

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
    //! Index of the last entry that is applied here.
    [[nodiscard]] LogIndex applied() const
    {
        return applied_;
    }
    //! Empty while none is known.
    [[nodiscard]] VmName leader() const
    {
        return isRunning() ? node_->leader() : VmName {};
    }
    //! Time since a member's last message.
    [[nodiscard]] Milliseconds silenceOf(const VmName &member) const;

private:
    struct Proposal {
        Term term = 0;
        TimePoint since {};
        Committed done;
    };

    [[nodiscard]] bool isRunning() const
    {
        return node_.has_value() && !isStopped_;
    }
    void scheduleTick();
    void tick();
    void expireProposals(TimePoint now);
    void reopenIfSilent(const VmName &member);
    void processReady();
    //! True while the leader's next round has to wait; it comes by itself then.
    [[nodiscard]] bool isPaced();
    void store(const std::shared_ptr<RaftReady> &ready);
    void complete(RaftReady &ready);
    //! After a write; a member whose disk has failed stops. \returns false then, and once it is stopped
    bool goesOnAfter(bool isWritten);
    void send(std::vector<RaftMessage> messages);
    void applyCommitted(const std::vector<LogEntry> &entries);
    void answerReads(const RaftReady &ready);
    void compactIfLong();
    //! Writes a snapshot's parts one after the other, so that what a leader sends and promises waits for one part only.
    void storeSnapshot();
    //! This member leads, and a learner that answers lacks entries.
    [[nodiscard]] bool hasLaggingLearner() const;
    void failWaiting();

    Parts parts_;
    IReplicatedState &state_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer paceTimer_;
    bool isPaceArmed_ = false;
    TimePoint lastReady_ {};
    std::optional<RaftNode> node_;
    bool isBusy_ = false;
    bool isStopped_ = false;
    std::map<LogIndex, Proposal> proposals_;
    std::map<std::uint64_t, std::function<void(bool)>> reads_;
    std::multimap<LogIndex, std::function<void(bool)>> confirmedReads_;
    std::uint64_t nextRead_ = 1;
    LogIndex applied_ = 0;
    std::size_t bytesSinceSnapshot_ = 0;
    std::size_t snapshotBytes_ = 0;
    //! Parts of a snapshot that was made and is not stored yet; the last holds the snapshot itself.
    std::deque<LogBatch> snapshotParts_;
    unsigned cutTurn_ = 0;
    std::unordered_map<VmName, TimePoint> lastHeard_;
    std::unordered_map<VmName, TimePoint> lastReopened_;
    Counter &committed_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CONSENSUS_DRIVER_HPP_INCLUDED
