#ifndef CARDAMOMPOST_CP_API_MESSAGE_HPP_INCLUDED
#define CARDAMOMPOST_CP_API_MESSAGE_HPP_INCLUDED

#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/core/cp_outcome.hpp>

#include <optional>

namespace cardamompost
{

//! Operation that a caller requests from the owner of a program.
enum class ApiOperation : std::uint8_t {
    CreateProgram,
    GetProgram,
    EndProgram,
    GetHistory,
    SubmitCall,
    FetchCall,
    //! A call without an existing program; it runs in a program of its own.
    SingleCall,
    Explain,
    //! Between VMs: asks whether a program that an engine still holds state for has ended.
    CheckHold,
};

//! Format of the response.
enum class ApiFormat : std::uint8_t {
    Native,
    //! The response format of the OpenAI chat completions API.
    ChatCompletion,
};

//! A caller's request, validated by the entry and forwarded to the owner of the program.
struct ApiRequest {
    ApiOperation operation = ApiOperation::GetProgram;
    std::string caller;
    ProgramId program;
    std::uint32_t sequence = 0;
    std::string idempotencyKey;
    //! Id of the last event that the caller has received.
    std::uint64_t lastEventId = 0;
    bool isStream = false;
    ApiFormat format = ApiFormat::Native;
    //! For a single call: the requested work class; empty selects the first class that the caller may use.
    std::string workClass;
    //! Set when the entry refuses the request: the owner stores the refusal under the idempotency key, unless a
    //! duplicate was already accepted.
    std::optional<Error> refusal;
    //! JSON.
    std::string body;
};

//! Requests rate-limit tokens for a caller from the VM that grants them to all VMs.
struct LimitRequest {
    std::string caller;
    std::uint32_t wanted = 0;
};

struct LimitReply {
    std::uint32_t granted = 0;
    //! Time until more tokens are available.
    std::uint32_t retryAfterMs = 0;
};

//! A chunk of the response. The first one carries the status; a response may consist of a single chunk.
struct ApiChunk {
    unsigned status = 0;
    std::optional<Outcome> outcome;
    //! Id of the last event in the body; 0 without events.
    std::uint64_t eventId = 0;
    std::string body;
    bool isLast = false;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_API_MESSAGE_HPP_INCLUDED
