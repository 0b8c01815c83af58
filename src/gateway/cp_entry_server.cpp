#include "cp_entry_server.hpp"

#include "../cardamompost/net/cp_open_acceptor.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

namespace cardamompost
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
// How often the ledger VMs hear from an entry; the more they are, the seldomer, so that an entry sends some twenty such
// messages a second: with one of some hundred bytes each it stays within 3 KB a second for control.
constexpr Milliseconds tellIntervalAVm {45};
constexpr Milliseconds shortestTellInterval {100};
constexpr Milliseconds longestTellInterval {300};
constexpr Milliseconds acceptPause {20};
constexpr std::size_t firstReadBytes = 8U << 10U;
constexpr unsigned statusOk = 200;
constexpr unsigned statusInvalid = 400;
constexpr unsigned statusRequestTimeout = 408;
constexpr unsigned statusTooLarge = 413;
constexpr unsigned statusHeadersTooLarge = 431;
constexpr unsigned statusUnavailable = 503;

//! The answer to a request that could not be read; nothing when the caller just went.
std::optional<LocalResponse> unreadable(const boost::system::error_code &error)
{
    if (error == http::error::body_limit) {
        return LocalResponse {statusTooLarge, "the body is longer than allowed", {}};
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return LocalResponse {statusHeadersTooLarge, "the headers are longer than allowed", {}};
    }
    if (error == beast::error::timeout) {
        return LocalResponse {statusRequestTimeout, "the request did not arrive in time", {}};
    }
    const bool isMalformed = error.category() == make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
    if (isMalformed) {
        return LocalResponse {statusInvalid, "the request is not HTTP/1.1", {}};
    }
    return std::nullopt;
}

} // namespace

EntryServer::EntryServer(Parts parts)
    : parts_(parts)
    , ledger_({parts.io, parts.settings, parts.peers, parts.log, parts.metrics})
    , pool_(parts.settings.vm, parts.settings.failureDomain, parts.metrics)
    , forwarder_({parts.io, parts.adapter, parts.settings, pool_, ledger_, parts.log, parts.metrics})
    , replica_({forwarder_, pool_, ledger_, parts.log})
    , ready_(
          parts.io.get_executor(), HttpLimits {},
          [this](HttpRequest &request, IHttpResponder &responder) { return onReady(request, responder); },
          [](const Error &error) {
              HttpResponse response;
              response.status = answerFor(error.kind).status;
              return response;
          })
    , acceptor_(parts.io)
    , timer_(parts.io)
{
}

Result<void> EntryServer::start()
{
    BOOST_OUTCOME_TRYV(openAcceptor(acceptor_, parts_.settings.front));
    BOOST_OUTCOME_TRYV(ready_.listen(parts_.settings.ready));
    asio::co_spawn(parts_.io, accept(), asio::detached);
    ledger_.start([this](const UpdateReply &update) {
        replica_.take(update);
        tellIfChanged();
    });
    keepTelling();
    return boost::outcome_v2::success();
}

bool EntryServer::isReady() const
{
    return !isDraining_ && replica_.isComplete();
}

void EntryServer::tellIfChanged()
{
    if (isReady() != wasReady_) {
        wasReady_ = isReady();
        parts_.log.info("entry.readiness", {{"ready", wasReady_}});
        ledger_.announcePresence(wasReady_);
    }
}

void EntryServer::keepTelling()
{
    ledger_.announcePresence(isReady());
    pool_.closeIdle(std::chrono::steady_clock::now());
    const Milliseconds interval = tellIntervalAVm * static_cast<int>(ledger_.memberCount());
    timer_.expires_after(std::clamp(interval, shortestTellInterval, longestTellInterval));
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            keepTelling();
        }
    });
}

void EntryServer::drain()
{
    isDraining_ = true;
    tellIfChanged();
}

void EntryServer::stopAccepting()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto &caller : std::exchange(idle_, {})) {
        caller->stream().cancel();
    }
}

asio::awaitable<void> EntryServer::onReady(HttpRequest &request, IHttpResponder &responder)
{
    HttpResponse response;
    response.status = isReady() ? statusOk : statusUnavailable;
    if (request.path == "/metrics") {
        response.status = statusOk;
        response.headers["Content-Type"] = "text/plain; version=0.0.4";
        response.body = parts_.metrics.text();
    }
    co_await responder.respond(std::move(response));
}

asio::awaitable<void> EntryServer::accept()
{
    while (acceptor_.is_open()) {
        auto [error, socket] = co_await acceptor_.async_accept(asTuple);
        if (error) {
            asio::steady_timer pause(parts_.io, acceptPause);
            co_await pause.async_wait(asTuple);
            continue;
        }
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        auto caller = std::make_shared<CallerConnection>(std::move(socket));
        asio::co_spawn(parts_.io, serve(std::move(caller)), asio::detached);
    }
}

asio::awaitable<void> EntryServer::serve(std::shared_ptr<CallerConnection> caller)
{
    beast::tcp_stream &stream = caller->stream();
    beast::flat_buffer &buffer = caller->buffer();
    while (caller->keepsOpen()) {
        const CallerBounds bounds = forwarder_.table() ? forwarder_.table()->bounds() : CallerBounds {};
        if (buffer.size() == 0) {
            stream.expires_after(bounds.idleTimeout);
            idle_.insert(caller);
            const auto [error, got] = co_await stream.async_read_some(buffer.prepare(firstReadBytes), asTuple);
            idle_.erase(caller);
            if (error) {
                break;
            }
            buffer.commit(got);
        }
        http::request_parser<http::string_body> parser;
        parser.header_limit(bounds.headerBytes);
        parser.body_limit(bounds.bodyBytes);
        parser.eager(true);
        stream.expires_after(bounds.headerTimeout);
        auto [error, got] = co_await http::async_read_header(stream, buffer, parser, asTuple);
        if (!error && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            std::string go = "HTTP/1.1 100 Continue\r\n\r\n";
            co_await caller->write(std::move(go));
        }
        if (!error && !parser.is_done()) {
            stream.expires_after(bounds.idleTimeout);
            std::tie(error, got) = co_await http::async_read(stream, buffer, parser, asTuple);
        }
        stream.expires_never();
        if (error) {
            const std::optional<LocalResponse> refusal = unreadable(error);
            caller->closeAfterResponse();
            if (refusal) {
                parts_.log.info("request.unreadable", {{"status", refusal->status}, {"error", error.message()}});
                co_await caller->sendResponse(*refusal);
            }
            break;
        }
        caller->setKeepsOpen(parser.get().keep_alive() && !isDraining_);
        CallerRequest request = parser.release();
        co_await forwarder_.forward(std::move(request), caller);
    }
    boost::system::error_code ignored;
    if (stream.socket().is_open()) {
        stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        stream.socket().close(ignored);
    }
}

} // namespace cardamompost
