#ifndef CARDAMOMPOST_CP_CALL_REQUEST_HPP_INCLUDED
#define CARDAMOMPOST_CP_CALL_REQUEST_HPP_INCLUDED

#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/program/cp_program.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace cardamompost
{

//! A validated call: its kind and the fields of that kind.
struct CallRequest {
    CallKind kind = CallKind::Model;
    bool isIdempotent = true;
    bool isStream = false;
    std::uint32_t sequence = 0;
    //! New messages of a model call.
    boost::json::array messages;
    //! 0 if the caller gave none.
    std::int64_t maxTokens = 0;
    //! Sampling parameters, passed to the engine unchanged.
    boost::json::object parameters;
    std::string service;
    std::string method;
    std::string path;
    std::string body;
};

//! Parses the body of a call. Errors: InvalidRequest, naming the field.
[[nodiscard]] Result<CallRequest> parseCallRequest(std::string_view json);

//! Parses the body of an OpenAI chat completion and stores the name of the model in `modelName`. Errors:
//! InvalidRequest.
[[nodiscard]] Result<CallRequest> parseChatRequest(std::string_view json, std::string &modelName);

//! Parameters of a new program.
struct ProgramRequest {
    std::string deployment;
    std::string workClass;
    std::int64_t budgetTokens = 0;
    //! Time from the creation of the program to its deadline; 0 for no deadline.
    std::int64_t timeLimitMs = 0;
    ProgramId parent;
};

//! Parses the body of a request that creates a program. Errors: InvalidRequest, naming the field.
[[nodiscard]] Result<ProgramRequest> parseProgramRequest(std::string_view json);

//! Parses a JSON object, checking nesting depth and UTF-8. Errors: InvalidRequest, naming the fault.
[[nodiscard]] Result<boost::json::object> parseJsonObject(std::string_view json);

//! The form in which a call is journaled.
[[nodiscard]] std::string encodeCallRequest(const CallRequest &request);
//! The inverse of encodeCallRequest(), which must have made the JSON: it is not validated here.
[[nodiscard]] CallRequest decodeCallRequest(CallKind kind, std::string_view json);

//! Upper bound of the tokens of messages: one per byte, plus a fixed overhead per message.
[[nodiscard]] std::int64_t promptTokenBound(const boost::json::array &messages);

//! Messages and answers of a program's executed model calls with sequence numbers below `before`.
[[nodiscard]] boost::json::array historyMessages(const Program &program, std::uint32_t before);

//! The calls of a program in order, in the form that callers get.
[[nodiscard]] boost::json::array historyCalls(const Program &program);

//! Removes the history from the front of the messages, for clients that send the whole conversation each time.
[[nodiscard]] boost::json::array withoutHistory(const boost::json::array &messages, const boost::json::array &history);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CALL_REQUEST_HPP_INCLUDED
