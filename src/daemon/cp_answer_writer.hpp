#ifndef CARDAMOMPOST_CP_ANSWER_WRITER_HPP_INCLUDED
#define CARDAMOMPOST_CP_ANSWER_WRITER_HPP_INCLUDED

#include "cp_live_call.hpp"

#include <cardamompost/net/cp_api_message.hpp>
#include <cardamompost/program/cp_program.hpp>

#include <boost/json/object.hpp>

namespace cardamompost
{

//! Metadata of a call that its answer chunks carry.
struct AnswerContext {
    ProgramId program;
    std::uint32_t sequence = 0;
    CallKind kind = CallKind::Model;
    std::string model;
    std::int64_t createdMs = 0;
    ApiFormat format = ApiFormat::Native;
    bool isStream = false;
};

//! Formats an error for callers: {"error": {...}}.
[[nodiscard]] boost::json::object errorBody(const Error &error);
//! Builds a complete error answer.
[[nodiscard]] ApiChunk errorChunk(const Error &error);
//! Builds a complete JSON answer.
[[nodiscard]] ApiChunk jsonChunk(unsigned status, const boost::json::object &body,
                                 std::optional<Outcome> outcome = std::nullopt);

//! Returns the error that a call ended with; empty if it succeeded.
[[nodiscard]] std::optional<Error> errorOf(const CallResult &result);

//! Returns the chunk to send for an event; empty if the event isn't sent to this caller.
[[nodiscard]] std::optional<ApiChunk> chunkFor(const AnswerContext &context, const LiveEvent &event);

//! Formats a program without its history.
[[nodiscard]] boost::json::object programBody(const Program &program);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ANSWER_WRITER_HPP_INCLUDED
