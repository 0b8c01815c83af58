#include "cp_api_client.hpp"

#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/net/cp_await.hpp>
#include <cardamompost/net/cp_sse_parser.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace cardamompost::cli
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr Milliseconds retryDelay {100};
constexpr Milliseconds directoryTimeout {2000};
constexpr Milliseconds streamStallTimeout {12'000};
constexpr unsigned statusNotReady = 503;

TimePoint timeNow()
{
    return std::chrono::steady_clock::now();
}

json::object parseObject(const std::string &text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    return error || !value.is_object() ? json::object {} : std::move(value.as_object());
}

bool isNotReady(const HttpResponse &response)
{
    return response.status == statusNotReady && response.body.find("\"not-ready\"") != std::string::npos;
}

} // namespace

//! Progress of a streamed call across its connections.
struct ApiClient::StreamState {
    StreamedCall call;
    TimePoint startedAt;
    TimePoint lastEventAt;
    std::uint64_t lastEventId = 0;

    //! \returns false after the last event of the call
    bool handleEvent(const SseEvent &event)
    {
        const TimePoint now = timeNow();
        call.longestSilence
            = std::max(call.longestSilence, std::chrono::duration_cast<Milliseconds>(now - lastEventAt));
        lastEventAt = now;
        lastEventId = std::max(lastEventId, event.id);
        const json::object data = parseObject(event.data);
        if (event.name == "tokens") {
            if (call.firstToken.count() < 0) {
                call.firstToken = std::chrono::duration_cast<Milliseconds>(now - startedAt);
            }
            call.text += data.at("text").as_string();
        } else if (event.name == "restart") {
            call.text.clear();
            lastEventId = 0;
        } else if (event.name == "done") {
            call.final = data;
            call.outcome = data.at("outcome").as_string();
            return false;
        } else if (event.name == "error") {
            setError(data);
            return false;
        }
        return true;
    }

    void setError(const json::object &body)
    {
        const json::value *error = body.if_contains("error");
        call.error = error != nullptr && error->is_object() ? error->as_object() : json::object {};
        const json::value *outcome = call.error.if_contains("outcome");
        call.outcome = outcome != nullptr && outcome->is_string() ? std::string(outcome->as_string()) : "unknown";
    }
};

ApiClient::ApiClient(std::vector<Address> entries, std::string key)
    : key_(std::move(key))
    , entries_(std::move(entries))
{
}

Address ApiClient::selectEntry(std::size_t attempt)
{
    const std::lock_guard lock(mutex_);
    return entries_[attempt % entries_.size()];
}

void ApiClient::moveToBack(const Address &entry)
{
    const std::lock_guard lock(mutex_);
    const auto found = std::find(entries_.begin(), entries_.end(), entry);
    if (found != entries_.end()) {
        std::rotate(found, found + 1, entries_.end());
    }
}

asio::awaitable<Result<ApiAnswer>> ApiClient::request(std::string method, std::string target, std::string body,
                                                      HttpHeaders headers, Milliseconds timeout)
{
    const TimePoint deadline = timeNow() + timeout;
    Error lastError = makeError(ErrorKind::BackendFailed, "no entry answered within the timeout");
    while (timeNow() < deadline) {
        HttpCall call;
        call.address = selectEntry(0);
        call.method = method;
        call.target = target;
        call.headers = headers;
        call.headers["Authorization"] = "Bearer " + key_;
        call.body = body;
        call.timeout = std::chrono::duration_cast<Milliseconds>(deadline - timeNow());
        const Address entry = call.address;
        Result<HttpResponse> answer = co_await http_.request(std::move(call));
        if (answer && !isNotReady(answer.value())) {
            co_return ApiAnswer {std::move(answer.value()), entry.toString()};
        }
        lastError = answer ? makeError(ErrorKind::NotReady, entry.toString() + " is not ready") : answer.error();
        moveToBack(entry);
        co_await sleepFor(retryDelay);
    }
    co_return lastError;
}

asio::awaitable<Result<void>> ApiClient::refreshEntries(std::string program)
{
    std::string target = "/v1/entries";
    if (!program.empty()) {
        target += "?program=" + program;
    }
    HttpHeaders headers;
    const Result<ApiAnswer> answer
        = co_await request("GET", std::move(target), std::string(), std::move(headers), directoryTimeout);
    if (!answer) {
        co_return answer.error();
    }
    std::vector<Address> refreshed;
    const json::object body = parseObject(answer.value().response.body);
    if (const json::value *list = body.if_contains("entries")) {
        for (const json::value &entry : list->as_array()) {
            if (const auto address = parseAddress(std::string(entry.at("address").as_string()))) {
                refreshed.push_back(*address);
            }
        }
    }
    const std::lock_guard lock(mutex_);
    if (!refreshed.empty()) {
        entries_ = std::move(refreshed);
    }
    co_return boost::outcome_v2::success();
}

asio::awaitable<bool> ApiClient::streamOnce(StreamState &state, HttpCall call)
{
    SseParser parser;
    const auto onEvent = [&state](const SseEvent &event) { return state.handleEvent(event); };
    HttpClient::DataHandler onData = [&](std::string_view bytes) { return parser.feed(bytes, onEvent); };
    const Result<HttpResponse> answer = co_await http_.stream(std::move(call), std::move(onData));
    if (answer && answer.value().status != 200 && !isNotReady(answer.value())) {
        state.setError(parseObject(answer.value().body));
    }
    co_return !state.call.outcome.empty();
}

asio::awaitable<StreamedCall> ApiClient::streamCall(std::string program, json::object body, std::string idempotencyKey,
                                                    Milliseconds timeout)
{
    StreamState state;
    state.startedAt = timeNow();
    state.lastEventAt = state.startedAt;
    const TimePoint deadline = state.startedAt + timeout;
    const std::string sequence = std::to_string(body.at("sequence").as_int64());
    body["stream"] = true;
    while (timeNow() < deadline) {
        HttpCall call;
        call.address = selectEntry(0);
        call.headers["Authorization"] = "Bearer " + key_;
        call.timeout = streamStallTimeout;
        call.stallTimeout = streamStallTimeout;
        const bool isResume = state.lastEventId != 0;
        call.method = isResume ? "GET" : "POST";
        call.target = "/v1/programs/" + program + "/calls" + (isResume ? "/" + sequence : std::string());
        if (isResume) {
            call.headers["Last-Event-ID"] = std::to_string(state.lastEventId);
        } else {
            call.headers["Idempotency-Key"] = idempotencyKey;
            call.headers["Content-Type"] = "application/json";
            call.body = json::serialize(body);
        }
        const Address entry = call.address;
        const bool isOver = co_await streamOnce(state, std::move(call));
        if (isOver) {
            break;
        }
        ++state.call.resumes;
        moveToBack(entry);
        co_await sleepFor(retryDelay);
    }
    state.call.total = std::chrono::duration_cast<Milliseconds>(timeNow() - state.startedAt);
    co_return std::move(state.call);
}

} // namespace cardamompost::cli
