#ifndef CARDAMOMPOST_CP_CONTROL_MESSAGE_HPP_INCLUDED
#define CARDAMOMPOST_CP_CONTROL_MESSAGE_HPP_INCLUDED

#include <cardamompost/consensus/cp_log_entry.hpp>
#include <cardamompost/control/cp_control_state.hpp>

namespace cardamompost
{

//! Renews a VM's lease on its partitions and reports its progress.
struct LeaseRequest {
    VmRecord vm;
    LogIndex appliedIndex = 0;
    std::uint64_t configurationVersion = 0;
    std::uint32_t programs = 0;
    //! The leader must confirm its leadership with a quorum before it replies.
    bool needsConfirmedLeader = false;
};

struct LeaseReply {
    //! False if the member is not the leader; leader then names the one to retry with.
    bool granted = false;
    VmName leader;
    //! Runs from when the holder sent the request.
    std::uint32_t durationMs = 0;
    //! Index that the holder must have applied before it takes new work under the lease.
    LogIndex minIndex = 0;
    std::uint64_t configurationVersion = 0;
};

//! Reply to a proposed command, sent once the leader has committed and applied it.
struct ProposeReply {
    bool accepted = false;
    VmName leader;
    LogIndex index = 0;
    ApplyResult result;
};

//! Long poll for the entries of the control log after an index.
struct PullRequest {
    LogIndex afterIndex = 0;
    std::uint32_t waitMs = 0;
};

struct PullReply {
    std::vector<LogEntry> entries;
    //! Set instead of entries if those have been compacted.
    LogIndex snapshotIndex = 0;
    std::string snapshot;
};

//! Asks a keeper for its view of the consensus group and the VMs.
struct StatusRequest {
};

//! Asks a keeper whether its consensus group is formed, that is, has committed an entry.
struct ProbeRequest {
};

struct ProbeReply {
    bool isFormed = false;
    //! Highest term seen by the keeper.
    Term term = 0;
};

//! Progress of a VM as of its last lease request to the leader.
struct VmReport {
    VmName name;
    std::uint32_t sinceContactMs = 0;
    LogIndex appliedIndex = 0;
    std::uint64_t configurationVersion = 0;
    std::uint32_t programs = 0;
};

struct StatusReply {
    VmName leader;
    bool isLeader = false;
    Term term = 0;
    LogIndex commitIndex = 0;
    std::vector<VmReport> reports;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CONTROL_MESSAGE_HPP_INCLUDED
