#include "cp_engine_client.hpp"

#include <cardamompost/net/cp_sse_parser.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace cardamompost
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

// Idle streams are resumed on another connection. Engines send a comment line at least every second while they work.
constexpr Milliseconds streamIdleTimeout {3000};
constexpr Milliseconds commandTimeout {2000};
constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;

std::int64_t integerOrZero(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_int64() ? value->as_int64() : 0;
}

void readUsage(const json::object &chunk, EngineResult &result)
{
    const json::value *usage = chunk.if_contains("usage");
    if (usage == nullptr || !usage->is_object()) {
        return;
    }
    result.promptTokens = integerOrZero(usage->as_object(), "prompt_tokens");
    result.completionTokens = integerOrZero(usage->as_object(), "completion_tokens");
    const json::value *details = usage->as_object().if_contains("prompt_tokens_details");
    if (details != nullptr && details->is_object()) {
        result.cachedTokens = integerOrZero(details->as_object(), "cached_tokens");
    }
}

//! Parses the chunks of a chat completion stream.
class ChunkReader
{
public:
    explicit ChunkReader(EngineClient::TokenHandler onToken)
        : onToken_(std::move(onToken))
    {
    }

    //! Returns false at the end of the stream.
    bool consume(const SseEvent &event)
    {
        if (event.data == "[DONE]") {
            result.end = EngineEnd::Finished;
            return false;
        }
        boost::system::error_code error;
        const json::value value = json::parse(event.data, error);
        if (error || !value.is_object()) {
            return true;
        }
        readUsage(value.as_object(), result);
        const json::value *choices = value.as_object().if_contains("choices");
        if (choices == nullptr || !choices->is_array() || choices->as_array().empty()) {
            return true;
        }
        return consumeChoice(event.id, choices->as_array().front());
    }

    EngineResult result;

private:
    bool consumeChoice(std::uint64_t id, const json::value &choice)
    {
        const json::object *fields = choice.if_object();
        const json::value *reason = fields == nullptr ? nullptr : fields->if_contains("finish_reason");
        if (reason != nullptr && reason->is_string()) {
            result.finishReason = reason->as_string();
        }
        const json::value *delta = fields == nullptr ? nullptr : fields->if_contains("delta");
        const json::value *content
            = delta == nullptr || !delta->is_object() ? nullptr : delta->as_object().if_contains("content");
        if (content == nullptr || !content->is_string() || content->as_string().empty()) {
            return true;
        }
        onToken_(id, std::string(content->as_string()));
        return true;
    }

    EngineClient::TokenHandler onToken_;
};

} // namespace

EngineClient::EngineClient(HttpClient &http)
    : http_(http)
{
}

asio::awaitable<EngineResult> EngineClient::start(Replica replica, json::object request, Milliseconds timeLeft,
                                                  StreamHandlers handlers)
{
    HttpCall call;
    call.address = replica.address;
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.headers["Content-Type"] = "application/json";
    call.body = json::serialize(request);
    call.timeout = std::min(timeLeft, streamIdleTimeout);
    call.stallTimeout = streamIdleTimeout;
    return stream(std::move(call), std::move(handlers));
}

asio::awaitable<EngineResult> EngineClient::resume(Replica replica, std::string attempt, std::uint64_t after,
                                                   Milliseconds timeLeft, StreamHandlers handlers)
{
    HttpCall call;
    call.address = replica.address;
    call.target = "/v1/streams/" + attempt;
    call.headers["Last-Event-ID"] = std::to_string(after);
    call.timeout = std::min(timeLeft, streamIdleTimeout);
    call.stallTimeout = streamIdleTimeout;
    return stream(std::move(call), std::move(handlers));
}

asio::awaitable<EngineResult> EngineClient::stream(HttpCall call, StreamHandlers handlers)
{
    SseParser parser;
    ChunkReader reader(std::move(handlers.onToken));
    const auto consume = [&reader](const SseEvent &event) { return reader.consume(event); };
    auto onData = [&](std::string_view bytes) {
        const bool shouldContinue = parser.feed(bytes, consume);
        if (shouldContinue && !handlers.isWanted()) {
            reader.result.end = EngineEnd::Stopped;
            return false;
        }
        return shouldContinue;
    };
    HttpClient::DataHandler handler = std::move(onData);
    const Result<HttpResponse> answer = co_await http_.stream(std::move(call), std::move(handler));
    EngineResult result = std::move(reader.result);
    if (result.end == EngineEnd::Finished || result.end == EngineEnd::Stopped) {
        co_return result;
    }
    if (!answer) {
        result.end = answer.error().outcome == Outcome::NotRun ? EngineEnd::NotSent : EngineEnd::Interrupted;
        result.message = answer.error().message;
    } else if (answer.value().status == statusNotFound) {
        result.end = EngineEnd::UnknownAttempt;
    } else if (answer.value().status != statusOk) {
        result.end = EngineEnd::Refused;
        result.message = answer.value().body;
    }
    co_return result;
}

asio::awaitable<bool> EngineClient::cancel(Replica replica, std::string attempt)
{
    HttpCall call;
    call.address = replica.address;
    call.method = "DELETE";
    call.target = "/v1/streams/" + attempt;
    call.timeout = commandTimeout;
    const Result<HttpResponse> answer = co_await http_.request(std::move(call));
    co_return answer &&answer.value().status == statusOk;
}

asio::awaitable<bool> EngineClient::release(Replica replica, ProgramId program)
{
    HttpCall call;
    call.address = replica.address;
    call.method = "POST";
    call.target = "/v1/cache/release";
    call.headers["Content-Type"] = "application/json";
    call.body = json::serialize(json::object {{"program", program}});
    call.timeout = commandTimeout;
    const Result<HttpResponse> answer = co_await http_.request(std::move(call));
    co_return answer &&answer.value().status == statusOk;
}

asio::awaitable<Result<std::vector<ProgramId>>> EngineClient::heldPrograms(Replica replica)
{
    HttpCall call;
    call.address = replica.address;
    call.target = "/v1/cache/programs";
    call.timeout = commandTimeout;
    const Result<HttpResponse> answer = co_await http_.request(std::move(call));
    if (!answer) {
        co_return answer.error();
    }
    std::vector<ProgramId> programs;
    boost::system::error_code error;
    const json::value body = json::parse(answer.value().body, error);
    const json::object *fields = body.if_object();
    const json::value *list = fields == nullptr ? nullptr : fields->if_contains("programs");
    if (error || list == nullptr || !list->is_array()) {
        co_return programs;
    }
    for (const json::value &item : list->as_array()) {
        if (item.is_string() && isProgramId(item.as_string())) {
            programs.emplace_back(item.as_string());
        }
    }
    co_return programs;
}

} // namespace cardamompost
