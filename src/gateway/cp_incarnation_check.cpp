#include "cp_incarnation_check.hpp"

#include <cardamompost/observe/cp_event_log.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace cardamompost
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
// For all questions to one server; a server answers without queueing them.
constexpr Milliseconds reportTimeout {400};
// A reused connection may have been closed by the server, or bring a late response to an earlier request.
constexpr int maxQuestions = 2;
constexpr std::uint32_t maxReportHeadBytes = 64U << 10U;
constexpr std::uint64_t maxReportBytes = 256U << 10U;
constexpr unsigned statusOk = 200;

TimePoint timeNow()
{
    return std::chrono::steady_clock::now();
}

Error failure(std::string reason)
{
    return makeError(ErrorKind::BackendFailed, std::move(reason));
}

} // namespace

IncarnationCheck::IncarnationCheck(Parts parts)
    : parts_(parts)
    , confirmed_(parts.metrics.counter("cardamompost_incarnation_checks_total", {{"result", "confirmed"}}))
    , restarted_(parts.metrics.counter("cardamompost_incarnation_checks_total", {{"result", "restarted"}}))
    , failed_(parts.metrics.counter("cardamompost_incarnation_checks_total", {{"result", "no-answer"}}))
{
}

asio::awaitable<bool> IncarnationCheck::confirm(ForwardedRequest &request, std::shared_ptr<BackendState> backend)
{
    const std::uint64_t listed = backend->server().incarnation;
    if (!request.continuesStream() || listed == 0) {
        co_return true;
    }
    const TimePoint deadline = std::min(request.deadline, timeNow() + reportTimeout);
    Result<std::uint64_t> reported = co_await ask(request.connection, backend, deadline);
    for (int asked = 1; !reported && asked < maxQuestions && !request.caller->isDisconnected(); ++asked) {
        const auto timeLeft = std::chrono::duration_cast<Milliseconds>(deadline - timeNow());
        if (timeLeft.count() <= 0) {
            break;
        }
        Result<std::shared_ptr<BackendConnection>> opened = co_await parts_.pool.connect(backend, timeLeft);
        if (!opened) {
            reported = opened.error();
            break;
        }
        request.connection = opened.value();
        reported = co_await ask(request.connection, backend, deadline);
    }
    if (request.caller->isDisconnected()) {
        co_return false;
    }
    if (!reported) {
        logFailure(request, *backend, reported.error());
        co_return false;
    }
    backend->recordIncarnation(reported.value());
    if (reported.value() != listed) {
        logDifference(request, *backend, reported.value());
        co_return false;
    }
    confirmed_.add();
    co_return true;
}

asio::awaitable<Result<std::uint64_t>> IncarnationCheck::ask(std::shared_ptr<BackendConnection> connection,
                                                             std::shared_ptr<BackendState> backend, TimePoint deadline)
{
    const std::string question = fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", parts_.adapter.reportTarget(),
                                             backend->server().address.toString());
    connection->stream.expires_at(deadline);
    const auto [writeError, written] = co_await asio::async_write(connection->stream, asio::buffer(question), asTuple);
    if (writeError) {
        co_return failure(writeError.message());
    }
    http::response_parser<http::string_body> parser;
    parser.header_limit(maxReportHeadBytes);
    parser.body_limit(maxReportBytes);
    const auto [error, bytesRead] = co_await http::async_read(connection->stream, connection->buffer, parser, asTuple);
    if (error) {
        co_return failure(error.message());
    }
    const auto &response = parser.get();
    if (response.result_int() != statusOk) {
        co_return failure("unexpected status " + std::to_string(response.result_int()));
    }
    if (response.count(parts_.adapter.headers().requestId) != 0) {
        co_return failure("a late response to another request");
    }
    if (!parser.keep_alive() || connection->buffer.size() != 0) {
        co_return failure("the connection can't be used after the report");
    }
    co_return parts_.adapter.readReportedIncarnation(response.body());
}

void IncarnationCheck::logDifference(const ForwardedRequest &request, const BackendState &backend,
                                     std::uint64_t reported)
{
    restarted_.add();
    parts_.log.info("backend.restarted",
                    {{"backend", backend.server().id},
                     {"address", backend.server().address.toString()},
                     {"id", request.metadata.id},
                     {"listed", backend.server().incarnation},
                     {"reported", reported},
                     {"list_term", parts_.pool.version().term},
                     {"list_sequence", parts_.pool.version().sequence}});
}

void IncarnationCheck::logFailure(const ForwardedRequest &request, const BackendState &backend, const Error &error)
{
    failed_.add();
    parts_.log.info("backend.unconfirmed",
                    {{"backend", backend.server().id},
                     {"address", backend.server().address.toString()},
                     {"id", request.metadata.id},
                     {"error", error.message},
                     {"list_term", parts_.pool.version().term},
                     {"list_sequence", parts_.pool.version().sequence}});
}

} // namespace cardamompost
