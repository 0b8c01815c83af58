#include "cp_http_answer.hpp"

#include <cardamompost/net/cp_sse_parser.hpp>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr unsigned statusOk = 200;

} // namespace

HttpAnswer::HttpAnswer(const ApiRequest &request, IHttpResponder &responder)
    : program_(request.program)
    , isStream_(request.isStream)
    , responder_(responder)
{
}

asio::awaitable<bool> HttpAnswer::deliver(ApiChunk chunk)
{
    // A complete answer is a JSON object; parts of an event stream never start with a brace.
    const bool isComplete = !chunk.body.empty() && chunk.body.front() == '{';
    if (!isStream_ || (isComplete && !hasStarted_)) {
        co_return co_await deliverComplete(std::move(chunk));
    }
    if (!hasStarted_) {
        hasStarted_ = co_await responder_.begin(statusOk, streamHeaders());
        if (!hasStarted_) {
            co_return false;
        }
    }
    std::string bytes = isComplete ? formatSse(0, "error", chunk.body) : std::move(chunk.body);
    if (bytes.empty()) {
        bytes = ": waiting\n\n";
    }
    const bool isConnected = co_await responder_.write(std::move(bytes));
    if (chunk.isLast) {
        HttpHeaders trailers;
        trailers["Cardamompost-Outcome"] = nameOf(outcomeNames, chunk.outcome.value_or(Outcome::Unknown));
        co_await responder_.end(std::move(trailers));
    }
    co_return isConnected;
}

asio::awaitable<bool> HttpAnswer::deliverComplete(ApiChunk chunk)
{
    if (!chunk.isLast) {
        co_return true;
    }
    HttpResponse response;
    response.status = chunk.status;
    response.headers["Content-Type"] = "application/json";
    response.headers["Cardamompost-Program"] = program_;
    if (chunk.outcome) {
        response.headers["Cardamompost-Outcome"] = nameOf(outcomeNames, *chunk.outcome);
    }
    response.body = std::move(chunk.body);
    co_await responder_.respond(std::move(response));
    co_return true;
}

HttpHeaders HttpAnswer::streamHeaders() const
{
    HttpHeaders headers;
    headers["Content-Type"] = "text/event-stream";
    headers["Cache-Control"] = "no-store";
    headers["Trailer"] = "Cardamompost-Outcome";
    headers["Cardamompost-Program"] = program_;
    return headers;
}

} // namespace cardamompost
