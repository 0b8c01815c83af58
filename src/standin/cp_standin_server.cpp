#include "cp_standin_server.hpp"

#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/net/cp_await.hpp>
#include <cardamompost/net/cp_sse_parser.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <charconv>

namespace cardamompost::standin
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr Milliseconds keepAliveInterval {1000};
constexpr Milliseconds pollInterval {20};
constexpr std::int64_t defaultDeadlineMs = 600'000;

TimePoint timeNow()
{
    return std::chrono::steady_clock::now();
}

HttpResponse jsonResponse(unsigned status, const json::object &body)
{
    HttpResponse response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = json::serialize(body);
    return response;
}

HttpResponse errorResponse(unsigned status, std::string_view text)
{
    return jsonResponse(status, json::object {{"error", json::object {{"message", text}}}});
}

std::int64_t numberAt(const json::object &object, std::string_view key, std::int64_t fallback)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_int64() ? value->as_int64() : fallback;
}

std::string textAt(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

json::object parseBody(const std::string &text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    return error || !value.is_object() ? json::object {} : std::move(value.as_object());
}

std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

json::object usageOf(const EngineCall &call)
{
    return {{"prompt_tokens", call.promptTokens},
            {"completion_tokens", call.producedTokens},
            {"total_tokens", call.promptTokens + static_cast<std::int64_t>(call.producedTokens)},
            {"prompt_tokens_details", json::object {{"cached_tokens", call.cachedTokens}}}};
}

std::string chunkText(const std::string &id, json::array choices, std::optional<json::object> usage)
{
    json::object chunk {
        {"id", id}, {"object", "chat.completion.chunk"}, {"model", "standin"}, {"choices", std::move(choices)}};
    if (usage) {
        chunk["usage"] = std::move(*usage);
    }
    return json::serialize(chunk);
}

std::string tokenEvent(const EngineCall &call, std::size_t position)
{
    const json::object delta {{"role", "assistant"}, {"content", call.words[position]}};
    json::array choices {json::object {{"index", 0}, {"delta", delta}, {"finish_reason", nullptr}}};
    return formatSse(position + 1, {}, chunkText(call.id, std::move(choices), std::nullopt));
}

std::string endEvents(const EngineCall &call)
{
    const std::string_view reason = static_cast<std::int64_t>(call.words.size()) >= call.maxTokens ? "length" : "stop";
    json::array choices {json::object {{"index", 0}, {"delta", json::object {}}, {"finish_reason", reason}}};
    return formatSse(0, {}, chunkText(call.id, std::move(choices), std::nullopt))
        + formatSse(0, {}, chunkText(call.id, {}, usageOf(call))) + "data: [DONE]\n\n";
}

} // namespace

EngineServer::EngineServer(asio::any_io_executor executor, EngineSettings settings, std::uint64_t seed)
    : model_(settings, seed)
    , server_(
          std::move(executor), HttpLimits {},
          [this](HttpRequest &request, IHttpResponder &responder) { return handle(request, responder); },
          [](const Error &error) { return errorResponse(400, error.message); })
{
}

asio::awaitable<void> EngineServer::handle(HttpRequest &request, IHttpResponder &responder)
{
    if (request.path == "/v1/chat/completions" && request.method == "POST") {
        co_await handleCompletion(request, responder);
        co_return;
    }
    const std::vector<std::string_view> path = splitPath(request.path);
    if (path.size() == 3 && path[1] == "streams" && request.method == "GET") {
        co_await sendStream(std::string(path[2]), parseNumber(request.header("Last-Event-ID")), responder);
        co_return;
    }
    co_await responder.respond(answer(request));
}

asio::awaitable<void> EngineServer::handleCompletion(const HttpRequest &request, IHttpResponder &responder)
{
    const json::object body = parseBody(request.body);
    const json::value *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array()) {
        co_await responder.respond(errorResponse(400, "field 'messages' is missing or not an array"));
        co_return;
    }
    EngineCall call;
    call.id = textAt(body, "request_id");
    call.id = call.id.empty() ? makeProgramId() : call.id;
    call.program = textAt(body, "program");
    call.priority = static_cast<int>(numberAt(body, "priority", 0));
    call.maxTokens = numberAt(body, "max_tokens", 256);
    call.deadline = timeNow() + Milliseconds(numberAt(body, "deadline_ms", defaultDeadlineMs));
    const std::string id = call.id;
    bool isAccepted = false;
    Milliseconds delay {0};
    {
        const std::lock_guard lock(mutex_);
        isAccepted = model_.submit(std::move(call), messages->as_array(), timeNow());
        delay = model_.faults.answerDelay;
    }
    if (delay.count() > 0) {
        co_await sleepFor(delay);
    }
    if (!isAccepted) {
        co_await responder.respond(errorResponse(503, "the engine rejected the attempt"));
        co_return;
    }
    const json::value *stream = body.if_contains("stream");
    const bool isStream = stream != nullptr && stream->is_bool() && stream->as_bool();
    if (isStream) {
        co_await sendStream(id, 0, responder);
    } else {
        co_await sendWholeResponse(id, responder);
    }
}

asio::awaitable<void> EngineServer::sendStream(std::string id, std::size_t lastEventId, IHttpResponder &responder)
{
    std::size_t sent = lastEventId;
    bool isStreaming = false;
    TimePoint lastWrite = timeNow();
    while (true) {
        std::string bytes;
        bool isOver = false;
        bool isCut = false;
        bool isKnown = false;
        TimePoint next;
        {
            const std::lock_guard lock(mutex_);
            model_.run(timeNow());
            const EngineCall *call = model_.find(id);
            isKnown = call != nullptr;
            if (call != nullptr) {
                EngineFaults &faults = model_.faults;
                for (; sent < call->producedTokens; ++sent) {
                    bytes += tokenEvent(*call, sent);
                }
                isCut = faults.cutsLeft > 0 && !call->isDone && sent >= static_cast<std::size_t>(faults.cutAfterTokens);
                faults.cutsLeft -= isCut ? 1 : 0;
                isOver = call->isDone;
                bytes += isOver && !call->isCancelled ? endEvents(*call) : std::string();
            }
            next = model_.nextTokenTime();
        }
        if (!isKnown) {
            co_await responder.respond(errorResponse(404, "unknown attempt"));
            co_return;
        }
        if (!isStreaming) {
            HttpHeaders headers;
            headers["Content-Type"] = "text/event-stream";
            isStreaming = co_await responder.begin(200, std::move(headers));
        }
        if (bytes.empty() && timeNow() - lastWrite > keepAliveInterval) {
            bytes = ": working\n\n";
        }
        if (!bytes.empty()) {
            lastWrite = timeNow();
            const bool isConnected = co_await responder.write(std::move(bytes));
            isStreaming = isStreaming && isConnected;
        }
        if (isCut || !isStreaming) {
            responder.abort();
            co_return;
        }
        if (isOver) {
            co_await responder.end(HttpHeaders());
            co_return;
        }
        const TimePoint wake = std::min(next, timeNow() + pollInterval);
        asio::steady_timer timer(co_await asio::this_coro::executor, wake);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> EngineServer::sendWholeResponse(std::string id, IHttpResponder &responder)
{
    while (true) {
        std::optional<HttpResponse> response;
        {
            const std::lock_guard lock(mutex_);
            model_.run(timeNow());
            const EngineCall *call = model_.find(id);
            if (call == nullptr || call->isCancelled) {
                response = errorResponse(503, "the attempt was cancelled");
            } else if (call->isDone) {
                std::string text;
                for (const std::string &word : call->words) {
                    text += word;
                }
                const json::object message {{"role", "assistant"}, {"content", text}};
                json::object body {{"id", id}, {"object", "chat.completion"}, {"model", "standin"}};
                body["choices"]
                    = json::array {json::object {{"index", 0}, {"message", message}, {"finish_reason", "stop"}}};
                body["usage"] = usageOf(*call);
                response = jsonResponse(200, body);
            }
        }
        if (response) {
            co_await responder.respond(std::move(*response));
            co_return;
        }
        co_await sleepFor(Milliseconds(1));
    }
}

json::object EngineServer::loadBody()
{
    const EngineModel::Load load = model_.reportedLoad(timeNow());
    return {{"running", load.running},
            {"waiting", load.waiting},
            {"slots", model_.settings().slots},
            {"cache_used_tokens", load.cacheUsed},
            {"cache_capacity_tokens", model_.settings().cacheTokens},
            {"leaving", model_.faults.isLeaving}};
}

json::object EngineServer::statsBody()
{
    const EngineModel::Totals &totals = model_.totals();
    json::object held;
    for (const auto &[program, tokens] : model_.heldPrograms()) {
        held[program] = tokens;
    }
    return {{"calls", totals.calls},
            {"prompt_tokens", totals.promptTokens},
            {"cached_tokens", totals.cachedTokens},
            {"recomputed_tokens", totals.recomputedTokens},
            {"completion_tokens", totals.completionTokens},
            {"held", std::move(held)}};
}

void EngineServer::setFaults(const json::object &body)
{
    EngineFaults &faults = model_.faults;
    const auto flag = [&](std::string_view key, bool current) {
        const json::value *value = body.if_contains(key);
        return value != nullptr && value->is_bool() ? value->as_bool() : current;
    };
    const json::value *slow = body.if_contains("slow_factor");
    faults.slowFactor = slow != nullptr && slow->is_number() ? slow->to_number<double>() : faults.slowFactor;
    faults.hangs = flag("hang", faults.hangs);
    faults.refuses = flag("refuse", faults.refuses);
    faults.isLeaving = flag("leaving", faults.isLeaving);
    faults.cutAfterTokens = static_cast<int>(numberAt(body, "cut_after_tokens", faults.cutAfterTokens));
    faults.cutsLeft = static_cast<int>(numberAt(body, "cuts", faults.cutsLeft));
    faults.answerDelay = Milliseconds(numberAt(body, "answer_delay_ms", faults.answerDelay.count()));
}

HttpResponse EngineServer::handleCacheRequest(const HttpRequest &request, const json::object &body)
{
    const std::string program = textAt(body, "program");
    if (request.path == "/v1/cache/release") {
        model_.release(program);
        return jsonResponse(200, {{"released", program}});
    }
    if (request.path == "/v1/cache/export") {
        return jsonResponse(200, {{"program", program}, {"prefixes", model_.exportCache(program)}});
    }
    if (request.path == "/v1/cache/import") {
        const json::value *prefixes = body.if_contains("prefixes");
        if (prefixes == nullptr || !prefixes->is_array()) {
            return errorResponse(400, "field 'prefixes' is missing or not an array");
        }
        model_.importCache(program, prefixes->as_array(), timeNow());
        return jsonResponse(200, {{"imported", prefixes->as_array().size()}});
    }
    if (request.path == "/v1/cache/programs") {
        json::array programs;
        for (const auto &[held, tokens] : model_.heldPrograms()) {
            programs.emplace_back(held);
        }
        return jsonResponse(200, {{"programs", std::move(programs)}});
    }
    const auto after = request.query.find("after");
    json::array events;
    for (const CacheEvent &event :
         model_.eventsAfter(after == request.query.end() ? 0 : parseNumber(after->second), timeNow())) {
        events.push_back(json::object {
            {"number", event.number}, {"kind", event.kind}, {"program", event.program}, {"tokens", event.tokens}});
    }
    return jsonResponse(200, {{"events", std::move(events)}});
}

HttpResponse EngineServer::answer(const HttpRequest &request)
{
    const json::object body = parseBody(request.body);
    const std::lock_guard lock(mutex_);
    model_.run(timeNow());
    if (request.path == "/v1/load") {
        return jsonResponse(200, loadBody());
    }
    if (request.path.starts_with("/v1/cache/")) {
        return handleCacheRequest(request, body);
    }
    if (request.path.starts_with("/v1/streams/") && request.method == "DELETE") {
        model_.cancel(request.path.substr(std::string_view("/v1/streams/").size()));
        return jsonResponse(200, {{"cancelled", true}});
    }
    if (request.path == "/v1/orders" && request.method == "POST") {
        const bool isAccepted
            = model_.recordOrder(json::serialize(body), static_cast<std::uint64_t>(numberAt(body, "fencing", 0)));
        return isAccepted ? jsonResponse(200, {{"accepted", true}}) : errorResponse(409, "the fencing token is stale");
    }
    if (request.path == "/standin/faults" && request.method == "POST") {
        setFaults(body);
        return jsonResponse(200, {{"set", true}});
    }
    if (request.path == "/standin/stats") {
        return jsonResponse(200, statsBody());
    }
    return errorResponse(404, "no such endpoint");
}

ServiceServer::ServiceServer(asio::any_io_executor executor)
    : server_(
        std::move(executor), HttpLimits {},
        [this](HttpRequest &request, IHttpResponder &responder) { return handle(request, responder); },
        [](const Error &error) { return errorResponse(400, error.message); })
{
}

asio::awaitable<void> ServiceServer::handle(HttpRequest &request, IHttpResponder &responder)
{
    HttpResponse response;
    Milliseconds delay {0};
    bool isDropped = false;
    {
        const std::lock_guard lock(mutex_);
        if (request.path == "/standin/executions") {
            json::object counts;
            for (const auto &[key, count] : executions_) {
                counts[key] = count;
            }
            response = jsonResponse(200, counts);
        } else if (request.path == "/standin/faults") {
            const json::object body = parseBody(request.body);
            delay_ = Milliseconds(numberAt(body, "delay_ms", delay_.count()));
            answersToDrop_ = static_cast<int>(numberAt(body, "drop_answers", answersToDrop_));
            response = jsonResponse(200, {{"set", true}});
        } else {
            const std::uint64_t count = ++executions_[std::string(request.header("Idempotency-Key"))];
            response = jsonResponse(200, {{"accepted", true}, {"execution", count}});
            delay = delay_;
            isDropped = answersToDrop_ > 0;
            answersToDrop_ -= isDropped ? 1 : 0;
        }
    }
    if (delay.count() > 0) {
        co_await sleepFor(delay);
    }
    if (isDropped) {
        responder.abort();
        co_return;
    }
    co_await responder.respond(std::move(response));
}

} // namespace cardamompost::standin
