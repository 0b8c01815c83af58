#ifndef CARDAMOMPOST_CP_FRAME_HPP_INCLUDED
#define CARDAMOMPOST_CP_FRAME_HPP_INCLUDED

#include <cardamompost/consensus/cp_raft_message.hpp>
#include <cardamompost/control/cp_control_message.hpp>
#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/journal/cp_journal_message.hpp>
#include <cardamompost/ledger/cp_ledger_message.hpp>
#include <cardamompost/net/cp_api_message.hpp>

#include <array>
#include <string_view>
#include <variant>

namespace cardamompost
{

//! Role of a frame in the request/response protocol.
enum class FrameKind : std::uint8_t {
    Ping,
    Pong,
    //! A message without a reply.
    OneWay,
    Request,
    //! More replies follow.
    Reply,
    LastReply,
    //! The sender of a request discards any further replies.
    Cancel,
};

//! A command for the control log, encoded by encodeCommand().
struct ProposeRequest {
    std::string command;
};

//! An error as the reply to a request.
struct FailureReply {
    Error error;
};

using FrameBody = std::variant<std::monostate, RaftMessage, SealRequest, SealReply, JournalAppend, JournalAppendReply,
                               JournalRead, JournalReadReply, JournalForget, LeaseRequest, LeaseReply, ProposeRequest,
                               ProposeReply, PullRequest, PullReply, StatusRequest, StatusReply, ProbeRequest,
                               ProbeReply, LimitRequest, LimitReply, ApiRequest, ApiChunk, FailureReply, JoinRequest,
                               JoinReply, TurnBegin, TurnBeginReply, TurnFinish, TurnFinishReply, UpdateRequest,
                               UpdateReply, Presence, TurnTextsRequest, TurnTextsReply, LeaderNotice, AdmitRequest,
                               AdmitReply, StreamVersionRequest, StreamVersionReply, SuspectRequest, SuspectReply>;

//! Names of the alternatives of FrameBody, in their order.
inline constexpr std::array<std::string_view, std::variant_size_v<FrameBody>> frameBodyNames {
    "none",          "raft",         "seal",          "seal_reply",     "append",
    "append_reply",  "read",         "read_reply",    "forget",         "lease",
    "lease_reply",   "propose",      "propose_reply", "pull",           "pull_reply",
    "status",        "status_reply", "probe",         "probe_reply",    "limit",
    "limit_reply",   "api",          "api_chunk",     "failure",        "join",
    "join_reply",    "begin",        "begin_reply",   "finish",         "finish_reply",
    "update",        "update_reply", "presence",      "turn_texts",     "texts_reply",
    "leader_notice", "admit",        "admit_reply",   "stream_version", "stream_version_reply",
    "suspect",       "suspect_reply"};

//! One message on a connection between two peers.
struct Frame {
    //! Correlates replies with their request on one connection.
    std::uint64_t id = 0;
    FrameKind kind = FrameKind::Ping;
    //! Time left until the sender's deadline when the frame was sent; 0 for no deadline.
    std::uint32_t deadlineMs = 0;
    FrameBody body;
};

//! Maximum size of a frame, without the length prefix.
inline constexpr std::size_t maxFrameBytes = 64U << 20U;

//! Encodes a frame, without the length prefix.
[[nodiscard]] std::string encodeFrame(const Frame &frame);

//! Errors: InvalidRequest for a malformed frame.
[[nodiscard]] Result<Frame> decodeFrame(std::string_view bytes);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_FRAME_HPP_INCLUDED
