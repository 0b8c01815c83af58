#include <cardamompost/net/cp_http_message.hpp>
#include <cardamompost/net/cp_sse_parser.hpp>
#include <cardamompost/program/cp_call_request.hpp>

#include <cstdlib>

// Parses request JSON, request targets and event streams. Accepted calls must survive a round trip through the codec.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace cardamompost;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    std::string model;
    static_cast<void>(parseProgramRequest(text));
    static_cast<void>(parseChatRequest(text, model));
    HttpRequest request;
    splitTarget(text, request);
    SseParser parser;
    parser.feed(text, [](const SseEvent &) { return true; });
    const Result<CallRequest> call = parseCallRequest(text);
    if (call) {
        const CallRequest decoded = decodeCallRequest(call.value().kind, encodeCallRequest(call.value()));
        if (decoded.messages != call.value().messages || decoded.body != call.value().body) {
            std::abort();
        }
        if (call.value().kind == CallKind::Model && promptTokenBound(decoded.messages) <= 0) {
            std::abort();
        }
    }
    return 0;
}
