#ifndef CARDAMOMPOST_CP_CONTROL_CLIENT_HPP_INCLUDED
#define CARDAMOMPOST_CP_CONTROL_CLIENT_HPP_INCLUDED

#include "cp_control_replica.hpp"
#include "cp_control_runner.hpp"
#include "cp_peer_hub.hpp"

#include <atomic>

namespace cardamompost
{

//! Client of the control log: renews this VM's lease, pulls committed entries if this VM is not a keeper, and
//! forwards commands to the leader. Thread-safe.
class ControlClient
{
public:
    struct Parts {
        const Settings &settings;
        ControlReplica &replica;
        PeerHub &hub;
        EventLog &log;
        //! Null unless this VM is a keeper.
        ControlRunner *runner;
    };

    ControlClient(boost::asio::any_io_executor executor, Parts parts, std::function<std::uint32_t()> countPrograms);

    void start();
    void stop();

    //! Random id of this process, different after each start.
    [[nodiscard]] std::uint64_t bootId() const
    {
        return bootId_;
    }
    //! True while this VM may act as the owner of its partitions.
    [[nodiscard]] bool hasLease() const;
    //! True while this VM's configuration is recent enough to authorize callers.
    [[nodiscard]] bool isConfigurationCurrent() const;
    //! True if the control state records this process as leaving.
    [[nodiscard]] bool isLeaving() const;

    //! Retries until the command is applied or the timeout expires. Retries may append the command more than once,
    //! so commands are idempotent. Errors: NotReady with outcome Unknown, as the command may still be applied.
    boost::asio::awaitable<Result<ApplyResult>> propose(ControlCommand command, Milliseconds timeout);
    //! Waits until this VM's state includes everything committed before the call. Errors: NotReady.
    boost::asio::awaitable<Result<void>> refresh(Milliseconds timeout);
    //! Returns the leader's status, with its last report from each VM. Errors: NotReady.
    boost::asio::awaitable<Result<StatusReply>> status();

private:
    boost::asio::awaitable<void> renewLease();
    boost::asio::awaitable<void> pullEntries();
    boost::asio::awaitable<Result<LeaseReply>> requestLease(const VmName &keeper, LeaseRequest request);
    boost::asio::awaitable<Result<ProposeReply>> proposeAt(const VmName &keeper, std::string command);
    boost::asio::awaitable<Result<StatusReply>> statusOf(const VmName &keeper);
    void onLeaseReply(TimePoint sentAt, const LeaseReply &reply);
    [[nodiscard]] VmName leaderCandidate() const;
    void updateLeaderHint(const VmName &asked, const VmName &leader);
    [[nodiscard]] VmRecord ownRecord() const;

    boost::asio::any_io_executor executor_;
    Parts parts_;
    std::function<std::uint32_t()> countPrograms_;
    std::uint64_t bootId_;
    mutable std::mutex mutex_;
    VmName leaderHint_;
    std::size_t nextKeeper_ = 0;
    TimePoint leaseUntil_ {};
    TimePoint configurationCurrentUntil_ {};
    std::uint64_t requiredConfigurationVersion_ = 0;
    LogIndex leaderIndex_ = 0;
    std::atomic<bool> isStopped_ {false};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CONTROL_CLIENT_HPP_INCLUDED
