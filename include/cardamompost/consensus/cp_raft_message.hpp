#ifndef CARDAMOMPOST_CP_RAFT_MESSAGE_HPP_INCLUDED
#define CARDAMOMPOST_CP_RAFT_MESSAGE_HPP_INCLUDED

#include <cardamompost/consensus/cp_log_entry.hpp>
#include <cardamompost/consensus/cp_membership.hpp>

#include <vector>

namespace cardamompost
{

//! Messages between members of a consensus group.
enum class RaftMessageType : std::uint8_t {
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
    Append,
    AppendReply,
    SnapshotPiece,
    SnapshotReply,
    TimeoutNow,
};

//! State of a group at an index, which replaces the entries up to there.
struct RaftSnapshot {
    LogIndex index = 0;
    Term term = 0;
    Membership membership;
    std::string state;
};

//! One message; the fields that a type does not use keep their defaults.
struct RaftMessage {
    RaftMessageType type = RaftMessageType::Append;
    VmName from;
    VmName to;
    Term term = 0;
    //! Vote: the candidate's last entry. Append: the entry before the first sent. Replies: the highest match.
    LogIndex index = 0;
    Term indexTerm = 0;
    LogIndex commit = 0;
    bool granted = false;
    //! The sender has lost its disk and does not hold yet what it once confirmed.
    bool isUninitialized = false;
    //! Counter of the leader's confirmation rounds, echoed by replies.
    std::uint64_t round = 0;
    std::vector<LogEntry> entries;
    //! SnapshotPiece: state holds the bytes from offset on. SnapshotReply: the offset wanted next.
    RaftSnapshot snapshot;
    std::uint64_t offset = 0;
    bool isLastPiece = false;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_RAFT_MESSAGE_HPP_INCLUDED
