#ifndef CARDAMOMPOST_CP_CONTROL_RUNNER_HPP_INCLUDED
#define CARDAMOMPOST_CP_CONTROL_RUNNER_HPP_INCLUDED

#include "cp_control_replica.hpp"
#include "cp_disk_thread.hpp"
#include "cp_peer_hub.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

namespace cardamompost
{

//! Runs a keeper's Raft member of the control log. On the leader, also tracks leases and assigns partitions.
//! Thread-safe; the work runs on the runner's strand.
class ControlRunner : public std::enable_shared_from_this<ControlRunner>
{
public:
    struct Parts {
        const Settings &settings;
        ControlReplica &replica;
        DiskThread &disk;
        PeerHub &hub;
        EventLog &log;
        MetricRegistry &metrics;
    };

    ControlRunner(boost::asio::any_io_executor executor, Parts parts);

    //! Loads the member's state from the disk. Until then, requests get empty replies. Errors: StorageFailed,
    //! StorageCorrupt.
    Result<void> load();
    void start();
    //! True once this member's log holds an entry, which rules out a new system.
    [[nodiscard]] bool isFormed() const
    {
        return isFormed_;
    }
    [[nodiscard]] Term term() const
    {
        return term_;
    }
    void stop();

    void onRaft(RaftMessage message);
    void onLease(LeaseRequest request, std::function<void(LeaseReply)> done);
    void onPropose(std::string command, std::function<void(ProposeReply)> done);
    void onStatus(std::function<void(StatusReply)> done);
    //! Confirms with a quorum that the applied state is current; done gets false if that fails.
    void confirmRead(std::function<void(bool)> done);

private:
    struct Proposal {
        Term term = 0;
        TimePoint proposedAt {};
        std::function<void(ProposeReply)> done;
    };
    struct Lease {
        VmRecord vm;
        TimePoint lastContact {};
        LogIndex appliedIndex = 0;
        std::uint64_t configurationVersion = 0;
        std::uint32_t programs = 0;
    };

    [[nodiscard]] bool isRunning() const
    {
        return node_.has_value() && !isStopped_;
    }
    void scheduleTick();
    void tick();
    void processReady();
    void send(std::vector<RaftMessage> messages);
    void storeReady(std::shared_ptr<RaftReady> ready);
    void completeReady(RaftReady &ready);
    //! Applies committed entries and completes reads.
    void deliver(const RaftReady &ready);
    void applyCommitted(const std::vector<LogEntry> &entries);
    void compactIfNeeded();
    void failPending();
    void expireProposals(TimePoint now);
    void runLeaderTasks(TimePoint now);
    void startLeadershipIfNewTerm(TimePoint now);
    void expireLeases(TimePoint now);
    void assignPartitions();
    void proposeAsLeader(const ControlCommand &command);
    [[nodiscard]] LeaseReply makeLeaseReply(const LeaseRequest &request);

    boost::asio::strand<boost::asio::any_io_executor> strand_;
    Parts parts_;
    boost::asio::steady_timer timer_;
    std::optional<RaftNode> node_;
    bool isProcessingReady_ = false;
    bool isStopped_ = false;
    std::atomic<bool> isFormed_ {false};
    std::atomic<Term> term_ {0};
    std::map<LogIndex, Proposal> proposals_;
    std::map<std::uint64_t, std::function<void(bool)>> reads_;
    std::uint64_t nextReadId_ = 1;
    Term leadingTerm_ = 0;
    TimePoint leadingSince_ {};
    std::map<VmName, Lease> leases_;
    LogIndex leaderProposalIndex_ = 0;
    LogIndex lastSnapshotIndex_ = 0;
    RaftSnapshot pendingSnapshot_;
    std::uint64_t diskJobsDone_ = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CONTROL_RUNNER_HPP_INCLUDED
