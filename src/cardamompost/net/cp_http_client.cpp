#include <cardamompost/net/cp_http_client.hpp>
#include <cardamompost/net/cp_sse_line_reader.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <map>
#include <mutex>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace cardamompost
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t readBufferBytes = 16U << 10U;
constexpr std::uint64_t maxResponseBytes = 64U << 20U;
// Bounds what a server can have in memory besides the body, such as extensions of chunks and trailers.
constexpr std::size_t maxBufferBytes = 128U << 10U;
constexpr Milliseconds connectTimeout {2000};

Error transportError(const Address &address, const boost::system::error_code &error)
{
    const ErrorKind kind = error == beast::error::timeout ? ErrorKind::DeadlineExceeded : ErrorKind::BackendFailed;
    return makeError(kind, address.toString() + ": " + error.message());
}

bool isEventStream(const http::response_header<> &header)
{
    constexpr std::string_view type = "text/event-stream";
    return beast::iequals(header[http::field::content_type].substr(0, type.size()), type);
}

//! False if a socket has bytes that no request asked for, or has been closed by the server.
bool isSilent(asio::ip::tcp::socket::native_handle_type handle)
{
    char byte = 0;
    const auto received = ::recv(handle, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

struct HttpClient::Connection {
    explicit Connection(const asio::any_io_executor &executor)
        : stream(executor)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer {maxBufferBytes};
    bool isReused = false;
    //! True if the last response leaves the connection ready for another request.
    bool isReusable = false;
};

struct HttpClient::Pool {
    std::size_t maxIdlePerAddress = 0;
    std::mutex mutex;
    //! Idle sockets by address, released from the executor that used them.
    std::map<std::string, std::vector<asio::ip::tcp::socket::native_handle_type>> idle;
};

HttpClient::HttpClient(std::size_t maxIdlePerAddress)
    : pool_(std::make_unique<Pool>())
{
    pool_->maxIdlePerAddress = maxIdlePerAddress;
}

HttpClient::~HttpClient()
{
    for (const auto &[address, handles] : pool_->idle) {
        for (const auto handle : handles) {
            ::close(handle);
        }
    }
}

asio::awaitable<Result<std::unique_ptr<HttpClient::Connection>>> HttpClient::connect(const HttpCall &call)
{
    auto connection = std::make_unique<Connection>(co_await asio::this_coro::executor);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(call.address.host), call.address.port);
    if (call.reuseConnection) {
        const std::lock_guard lock(pool_->mutex);
        auto &idle = pool_->idle[call.address.toString()];
        while (!idle.empty() && !connection->isReused) {
            const auto handle = idle.back();
            idle.pop_back();
            if (isSilent(handle)) {
                connection->stream.socket().assign(endpoint.protocol(), handle);
                connection->isReused = true;
            } else {
                ::close(handle);
            }
        }
    }
    if (connection->isReused) {
        co_return connection;
    }
    connection->stream.expires_after(std::min(connectTimeout, call.timeout));
    const auto [error] = co_await connection->stream.async_connect(endpoint, asTuple);
    if (error) {
        Error failure = transportError(call.address, error);
        failure.kind = ErrorKind::BackendFailed;
        failure.outcome = Outcome::NotRun;
        co_return failure;
    }
    boost::system::error_code ignored;
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return connection;
}

void HttpClient::returnToPool(const Address &address, std::unique_ptr<Connection> connection)
{
    boost::system::error_code error;
    auto &socket = connection->stream.socket();
    const std::lock_guard lock(pool_->mutex);
    auto &idle = pool_->idle[address.toString()];
    if (idle.size() < pool_->maxIdlePerAddress) {
        const auto handle = socket.release(error);
        if (!error) {
            idle.push_back(handle);
        }
    }
}

asio::awaitable<Result<HttpResponse>> HttpClient::request(HttpCall call)
{
    DataHandler none;
    const Address address = call.address;
    Result<std::unique_ptr<Connection>> connected = co_await connect(call);
    if (!connected) {
        co_return connected.error();
    }
    const bool wasReused = connected.value()->isReused;
    Result<HttpResponse> result = co_await exchange(*connected.value(), call, none);
    // The server may have closed a pooled connection. A request that allows reuse is safe to send twice, so it is
    // retried once on a new connection.
    if (!result && wasReused && result.error().kind == ErrorKind::BackendFailed) {
        call.reuseConnection = false;
        connected = co_await connect(call);
        if (!connected) {
            co_return connected.error();
        }
        result = co_await exchange(*connected.value(), call, none);
    }
    if (result && connected.value()->isReusable) {
        returnToPool(address, std::move(connected.value()));
    }
    co_return result;
}

asio::awaitable<Result<HttpResponse>> HttpClient::stream(HttpCall call, DataHandler onData)
{
    call.reuseConnection = false;
    Result<std::unique_ptr<Connection>> connected = co_await connect(call);
    if (!connected) {
        co_return connected.error();
    }
    co_return co_await exchange(*connected.value(), call, onData);
}

asio::awaitable<Result<HttpResponse>> HttpClient::exchange(Connection &connection, HttpCall &call, DataHandler &onData)
{
    beast::tcp_stream &stream = connection.stream;
    http::request<http::string_body> message(http::string_to_verb(call.method), call.target, 11);
    message.set(http::field::host, call.address.toString());
    for (const auto &[name, value] : call.headers) {
        message.set(name, value);
    }
    message.body() = std::move(call.body);
    message.prepare_payload();
    stream.expires_after(call.timeout);
    auto [error, count] = co_await http::async_write(stream, message, asTuple);
    call.body = std::move(message.body());
    http::response_parser<http::buffer_body> parser;
    parser.skip(message.method() == http::verb::head);
    parser.body_limit(onData ? boost::none : boost::optional<std::uint64_t>(maxResponseBytes));
    if (!error) {
        std::tie(error, count) = co_await http::async_read_header(stream, connection.buffer, parser, asTuple);
    }
    if (error) {
        co_return transportError(call.address, error);
    }
    HttpResponse response;
    response.status = parser.get().result_int();
    const bool isStream = onData && response.status == 200;
    const bool hasEvents = isEventStream(parser.get());
    SseLineReader lines;
    bool isStopped = false;
    std::array<char, readBufferBytes> bytes {};
    while (!parser.is_done() && !isStopped) {
        parser.get().body() = {bytes.data(), bytes.size(), false};
        if (isStream) {
            stream.expires_after(call.stallTimeout);
        }
        std::tie(error, count) = co_await http::async_read_some(stream, connection.buffer, parser, asTuple);
        if (error && error != http::error::need_buffer) {
            co_return transportError(call.address, error);
        }
        const std::string_view part(bytes.data(), bytes.size() - parser.get().body().size);
        if (hasEvents) {
            lines.feed(part, [](const SseLine & /*line*/) { return true; });
        }
        if (!isStream) {
            response.body += part;
        } else {
            isStopped = !part.empty() && !onData(part);
        }
    }
    if (!isStopped && lines.isInsideEvent()) {
        co_return makeError(ErrorKind::BackendFailed, call.address.toString() + ": the stream ended inside an event");
    }
    // Bytes behind the response are not the response to the next request.
    connection.isReusable = !isStopped && parser.keep_alive() && connection.buffer.size() == 0;
    for (const auto &field : parser.get()) {
        response.headers.insert_or_assign(std::string(field.name_string()), std::string(field.value()));
    }
    co_return response;
}

} // namespace cardamompost
