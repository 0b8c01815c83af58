#include "cp_open_acceptor.hpp"

#include <cardamompost/net/cp_http_server.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/http/chunk_encode.hpp>

namespace cardamompost
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr Milliseconds acceptRetryDelay {20};

Error readError(const boost::system::error_code &error)
{
    if (error == http::error::body_limit) {
        return makeError(ErrorKind::TooLarge, "the body exceeds the size limit");
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return makeError(ErrorKind::HeadersTooLarge, "the headers exceed the size limit");
    }
    if (error == beast::error::timeout) {
        return makeError(ErrorKind::RequestTimeout, "the request did not arrive in time");
    }
    return makeError(ErrorKind::InvalidRequest, "the request is not valid HTTP/1.1: " + error.message());
}

bool isDisconnect(const boost::system::error_code &error)
{
    return error == http::error::end_of_stream || error == http::error::partial_message
        || error == asio::error::connection_reset || error == asio::error::operation_aborted
        || error == asio::error::eof;
}

class BeastResponder : public IHttpResponder
{
public:
    BeastResponder(beast::tcp_stream &stream, Milliseconds timeout, bool isKeepAlive)
        : stream_(stream)
        , timeout_(timeout)
        , isKeepAlive_(isKeepAlive)
    {
    }

    asio::awaitable<void> respond(HttpResponse response) override
    {
        http::response<http::string_body> message(http::int_to_status(response.status), 11);
        for (const auto &[name, value] : response.headers) {
            message.set(name, value);
        }
        message.body() = std::move(response.body);
        message.keep_alive(isKeepAlive_);
        message.prepare_payload();
        stream_.expires_after(timeout_);
        const auto [error, written] = co_await http::async_write(stream_, message, asTuple);
        isBroken_ = static_cast<bool>(error);
        hasResponded_ = true;
    }

    asio::awaitable<bool> begin(unsigned status, HttpHeaders headers) override
    {
        http::response<http::empty_body> message(http::int_to_status(status), 11);
        for (const auto &[name, value] : headers) {
            message.set(name, value);
        }
        message.keep_alive(isKeepAlive_);
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        stream_.expires_after(timeout_);
        const auto [error, written] = co_await http::async_write_header(stream_, serializer, asTuple);
        isBroken_ = static_cast<bool>(error);
        hasResponded_ = true;
        co_return !isBroken_;
    }

    asio::awaitable<bool> write(std::string bytes) override
    {
        // An empty chunk would end the response.
        if (isBroken_ || bytes.empty()) {
            co_return !isBroken_;
        }
        stream_.expires_after(timeout_);
        const auto [error, written]
            = co_await asio::async_write(stream_, http::make_chunk(asio::buffer(bytes)), asTuple);
        isBroken_ = static_cast<bool>(error);
        co_return !isBroken_;
    }

    asio::awaitable<void> end(HttpHeaders trailers) override
    {
        if (isBroken_) {
            co_return;
        }
        http::fields fields;
        for (const auto &[name, value] : trailers) {
            fields.set(name, value);
        }
        stream_.expires_after(timeout_);
        const auto [error, written] = co_await asio::async_write(stream_, http::make_chunk_last(fields), asTuple);
        isBroken_ = static_cast<bool>(error);
    }

    void abort() override
    {
        isBroken_ = true;
    }

    [[nodiscard]] bool canReuseConnection() const
    {
        return hasResponded_ && !isBroken_ && isKeepAlive_;
    }

private:
    beast::tcp_stream &stream_;
    Milliseconds timeout_;
    bool isKeepAlive_;
    bool isBroken_ = false;
    bool hasResponded_ = false;
};

HttpRequest toRequest(http::request<http::string_body> message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    splitTarget({message.target().data(), message.target().size()}, request);
    for (const auto &field : message) {
        request.headers.insert_or_assign(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    return request;
}

//! Counts a connection while it is open. The count is shared because a connection can outlive its server until the
//! io_context is destroyed.
class ConnectionCountGuard
{
public:
    explicit ConnectionCountGuard(std::shared_ptr<std::atomic<int>> count)
        : count_(std::move(count))
    {
        ++*count_;
    }
    ~ConnectionCountGuard()
    {
        --*count_;
    }
    ConnectionCountGuard(const ConnectionCountGuard &) = delete;
    ConnectionCountGuard &operator=(const ConnectionCountGuard &) = delete;

private:
    std::shared_ptr<std::atomic<int>> count_;
};

} // namespace

HttpServer::HttpServer(asio::any_io_executor executor, HttpLimits limits, Handler handler, ErrorHandler errorHandler)
    : executor_(executor)
    , limits_(limits)
    , handler_(std::move(handler))
    , errorHandler_(std::move(errorHandler))
    , acceptor_(asio::make_strand(executor))
{
}

Result<void> HttpServer::listen(const Address &address)
{
    BOOST_OUTCOME_TRYV(openAcceptor(acceptor_, address));
    asio::co_spawn(
        acceptor_.get_executor(), [this] { return accept(); }, asio::detached);
    return boost::outcome_v2::success();
}

void HttpServer::stopAccepting()
{
    isStopping_ = true;
    asio::post(acceptor_.get_executor(), [this] {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
    });
}

asio::awaitable<void> HttpServer::accept()
{
    while (acceptor_.is_open()) {
        auto [error, socket] = co_await acceptor_.async_accept(asio::make_strand(executor_), asTuple);
        // Above the limit a connection is closed at once, so that the client can try another VM.
        if (!error && *openConnections_ < limits_.connections) {
            const auto executor = socket.get_executor();
            asio::co_spawn(executor, serve(std::move(socket)), asio::detached);
            continue;
        }
        asio::steady_timer pause(acceptor_.get_executor(), acceptRetryDelay);
        co_await pause.async_wait(asTuple);
    }
}

asio::awaitable<void> HttpServer::serve(asio::ip::tcp::socket socket)
{
    const ConnectionCountGuard guard(openConnections_);
    beast::tcp_stream stream(std::move(socket));
    boost::system::error_code ignored;
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    // The remainder holds body data that arrives together with the headers.
    beast::flat_buffer buffer(limits_.headerBytes + (64U << 10U));
    bool isFirst = true;
    while (!isStopping_ || isFirst) {
        isFirst = false;
        http::request_parser<http::string_body> parser;
        parser.header_limit(limits_.headerBytes);
        parser.body_limit(limits_.bodyBytes);
        stream.expires_after(buffer.size() == 0 ? limits_.idleTimeout : limits_.headerTimeout);
        auto [error, bytesRead] = co_await http::async_read_header(stream, buffer, parser, asTuple);
        if (!error && !parser.is_done()) {
            // Bounds the time for which a slow sender holds a connection and its buffer.
            stream.expires_after(limits_.bodyTimeout);
            std::tie(error, bytesRead) = co_await http::async_read(stream, buffer, parser, asTuple);
        }
        BeastResponder responder(stream, limits_.writeTimeout, !error && parser.get().keep_alive());
        if (error) {
            const bool isIdle = error == beast::error::timeout && buffer.size() == 0 && !parser.got_some();
            if (!isDisconnect(error) && !isIdle) {
                co_await responder.respond(errorHandler_(readError(error)));
            }
            break;
        }
        HttpRequest request = toRequest(parser.release());
        co_await handler_(request, responder);
        if (!responder.canReuseConnection()) {
            break;
        }
    }
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

} // namespace cardamompost
