#ifndef CARDAMOMPOST_CP_FRAME_HPP_INCLUDED
#define CARDAMOMPOST_CP_FRAME_HPP_INCLUDED

#include <cardamompost/consensus/cp_raft_message.hpp>
#include <cardamompost/control/cp_control_message.hpp>
#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/journal/cp_journal_message.hpp>
#include <cardamompost/ledger/cp_ledger_message.hpp>
#include <cardamompost/net/cp_api_message.hpp>

#include <variant>

namespace cardamompost
{

//! What a frame is to the connection that carries it.
enum class FrameKind : std::uint8_t {
    Ping,
    Pong,
    //! Without a reply.
    OneWay,
    Request,
    //! More replies follow.
    Reply,
    LastReply,
    //! Nobody waits for the replies of a request any more.
    Cancel,
};

//! A command for the control log, as encodeCommand() made it.
struct ProposeRequest {
    std::string command;
};

//! An error as the reply to a request.
struct FailureReply {
    Error error;
};

using FrameBody
    = std::variant<std::monostate, RaftMessage, SealRequest, SealReply, JournalAppend, JournalAppendReply, JournalRead,
                   JournalReadReply, JournalForget, LeaseRequest, LeaseReply, ProposeRequest, ProposeReply, PullRequest,
                   PullReply, StatusRequest, StatusReply, ProbeRequest, ProbeReply, LimitRequest, LimitReply,
                   ApiRequest, ApiChunk, FailureReply, JoinRequest, JoinReply, TurnBegin, TurnBeginReply, TurnFinish,
                   TurnFinishReply, UpdateRequest, UpdateReply, Presence, TurnTextsRequest, TurnTextsReply,
                   LeaderNotice, AdmitRequest, AdmitReply>;

//! One message on a connection between two of the system's processes.
struct Frame {
    //! Matches replies to their request on one connection.
    std::uint64_t id = 0;
    FrameKind kind = FrameKind::Ping;
    //! Time left to the sender when it sent the frame; 0 for none.
    std::uint32_t deadlineMs = 0;
    FrameBody body;
};

//! Longest frame that is sent or accepted, without its length.
inline constexpr std::size_t maxFrameBytes = 64U << 20U;

//! Bytes of a frame, without its length.
[[nodiscard]] std::string encodeFrame(const Frame &frame);

//! Errors: InvalidRequest for anything that is not a frame.
[[nodiscard]] Result<Frame> decodeFrame(std::string_view bytes);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_FRAME_HPP_INCLUDED
