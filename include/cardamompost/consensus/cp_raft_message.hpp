#ifndef CARDAMOMPOST_CP_RAFT_MESSAGE_HPP_INCLUDED
#define CARDAMOMPOST_CP_RAFT_MESSAGE_HPP_INCLUDED

#include <cardamompost/consensus/cp_log_entry.hpp>
#include <cardamompost/consensus/cp_membership.hpp>
#include <cardamompost/core/cp_time.hpp>

#include <vector>

namespace cardamompost
{

enum class RaftMessageType : std::uint8_t {
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
    Append,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
};

//! State of a group at an index; replaces the entries up to and including it.
struct RaftSnapshot {
    LogIndex index = 0;
    Term term = 0;
    Membership membership;
    std::string state;
};

//! A message; fields that its type does not use keep their defaults.
struct RaftMessage {
    RaftMessageType type = RaftMessageType::Append;
    VmName from;
    VmName to;
    Term term = 0;
    //! PreVote and Vote: last entry of the candidate. Append: entry before the first one sent. AppendReply: last
    //! entry that matches the leader's log, or the entry to compare next if not granted. SnapshotReply: last entry that
    //! matches the leader's log if granted.
    LogIndex index = 0;
    Term indexTerm = 0;
    LogIndex commit = 0;
    //! Replies: the vote is granted, the entries match, or no more of the snapshot is needed.
    bool granted = false;
    //! The sender has lost its disk and may lack entries that it acknowledged before.
    bool isUninitialized = false;
    //! Vote: the leader has asked the candidate to take over.
    bool isTransfer = false;
    //! AppendReply and SnapshotReply: how long the sender's writes take, the one in progress included.
    Milliseconds writeTime {0};
    //! Number of the leader's last broadcast, echoed by replies.
    std::uint64_t round = 0;
    std::vector<LogEntry> entries;
    //! SnapshotChunk: state holds the bytes from offset on. SnapshotReply: offset of the next expected chunk.
    RaftSnapshot snapshot;
    std::uint64_t offset = 0;
    bool isLastChunk = false;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_RAFT_MESSAGE_HPP_INCLUDED
