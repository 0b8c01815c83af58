#include "cp_open_acceptor.hpp"

#include <cardamompost/net/cp_http_server.hpp>
#include <cardamompost/net/cp_request_reader.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/http/chunk_encode.hpp>

#include <algorithm>
#include <array>
#include <mutex>
#include <unordered_map>

namespace cardamompost
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr Milliseconds acceptRetryDelay {20};
// Small, because each idle connection holds a buffer of this size.
constexpr std::size_t firstReadBytes = 512;
// Time for a client to close its end, and bytes that it may send meanwhile.
constexpr Milliseconds closeTimeout {250};
constexpr std::size_t maxDiscardedBytes = 1U << 20U;
constexpr std::size_t discardBufferBytes = 4U << 10U;
constexpr SocketBuffers socketBuffers {64 << 10, 64 << 10};
// Sent in any case, also by a connection that has to give way.
constexpr std::size_t smallResponseBytes = 4U << 10U;
// Connections above the limit that wait for their requests to end or for their clients to close them.
constexpr int maxLeavingConnections = 16;

Error readError(const boost::system::error_code &error)
{
    if (RequestReader::isOutOfMemory(error)) {
        return makeError(ErrorKind::NotReady, "other requests take the memory");
    }
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
    //! \param keepsOpen  asked when a response begins
    BeastResponder(beast::tcp_stream &stream, MemoryAccount::Holder &hold, Milliseconds timeout,
                   std::function<bool()> keepsOpen)
        : stream_(stream)
        , hold_(hold)
        , timeout_(timeout)
        , keepsOpen_(std::move(keepsOpen))
    {
    }

    asio::awaitable<void> respond(HttpResponse response) override
    {
        http::response<http::string_body> message(http::int_to_status(response.status), 11);
        for (const auto &[name, value] : response.headers) {
            message.set(name, value);
        }
        message.body() = std::move(response.body);
        isKeepAlive_ = keepsOpen_();
        message.keep_alive(isKeepAlive_);
        message.prepare_payload();
        stream_.expires_after(timeout_);
        hold_.setWaiting(true);
        const bool fits = hold_.set(HeldPart::Request, message.body().size());
        isBroken_ = !fits && message.body().size() > smallResponseBytes;
        if (!isBroken_) {
            const auto [error, written] = co_await http::async_write(stream_, message, asTuple);
            isBroken_ = static_cast<bool>(error);
        }
        hold_.set(HeldPart::Request, 0);
        hasResponded_ = true;
    }

    asio::awaitable<bool> begin(unsigned status, HttpHeaders headers) override
    {
        http::response<http::empty_body> message(http::int_to_status(status), 11);
        for (const auto &[name, value] : headers) {
            message.set(name, value);
        }
        isKeepAlive_ = keepsOpen_();
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
    MemoryAccount::Holder &hold_;
    Milliseconds timeout_;
    std::function<bool()> keepsOpen_;
    bool isKeepAlive_ = false;
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

} // namespace

//! A client's connection. Thread-safety: runs on its strand, apart from the functions that say otherwise.
class HttpServer::Connection : public std::enable_shared_from_this<HttpServer::Connection>
{
public:
    Connection(asio::ip::tcp::socket socket, std::shared_ptr<MemoryAccount> account)
        : executor_(socket.get_executor())
        , stream_(std::move(socket))
        , account_(std::move(account))
        , hold_(*account_, [this] { cancelWait(); })
    {
        boost::system::error_code ignored;
        stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    }

    [[nodiscard]] beast::tcp_stream &stream()
    {
        return stream_;
    }
    [[nodiscard]] beast::flat_buffer &buffer()
    {
        return buffer_;
    }
    //! True if bytes of the next request have arrived.
    [[nodiscard]] bool hasInput()
    {
        boost::system::error_code error;
        return buffer_.size() > 0 || (stream_.socket().available(error) > 0 && !error);
    }
    //! Waits for the first bytes of the next request. \returns false if there are none
    asio::awaitable<bool> waitForInput()
    {
        if (buffer_.size() > 0) {
            co_return true;
        }
        isIdle_ = true;
        idleSince_ = std::chrono::steady_clock::now();
        const auto [error, bytesRead] = co_await stream_.async_read_some(buffer_.prepare(firstReadBytes), asTuple);
        isIdle_ = false;
        buffer_.commit(bytesRead);
        co_return !error;
    }
    void setReading(bool isReading)
    {
        isReading_ = isReading;
        hold_.setWaiting(isReading);
    }
    [[nodiscard]] MemoryAccount &account()
    {
        return *account_;
    }
    [[nodiscard]] MemoryAccount::Holder &hold()
    {
        return hold_;
    }
    //! True if the connection waits for its client, and may be closed for another one. Callable from any thread.
    [[nodiscard]] bool isDisplaceable() const
    {
        return (isIdle_ || isReading_) && !isDisplaced_;
    }
    //! Since when the connection has waited for a request. Callable from any thread.
    [[nodiscard]] TimePoint idleSince() const
    {
        return idleSince_;
    }
    //! Closes the connection, which waits for its client. Callable from any thread.
    void displace()
    {
        isDisplaced_ = true;
        cancelWait();
    }
    //! True if a part of a request has arrived. Callable from any thread.
    [[nodiscard]] bool isReading() const
    {
        return isReading_;
    }
    //! Closes the connection for sending, and waits until the client has closed it. Closing with unread bytes would
    //! reset the connection, and the client could lose the response.
    asio::awaitable<void> discardInput()
    {
        boost::system::error_code ignored;
        stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        stream_.expires_after(closeTimeout);
        std::array<char, discardBufferBytes> space {};
        std::size_t discarded = 0;
        bool isOpen = true;
        while (isOpen && discarded < maxDiscardedBytes) {
            const auto [error, bytesRead] = co_await stream_.async_read_some(asio::buffer(space), asTuple);
            discarded += bytesRead;
            isOpen = !error;
        }
    }
    [[nodiscard]] bool hasGivenUp() const
    {
        return hasGivenUp_;
    }

    //! Ends the wait for a request of which nothing has arrived. Callable from any thread.
    void closeIdle()
    {
        asio::post(executor_, [self = shared_from_this()] {
            if (self->isIdle_ && !self->hasInput()) {
                self->stream_.cancel();
            }
        });
    }
    //! Ends the wait for the rest of a request. Callable from any thread.
    void giveUp()
    {
        asio::post(executor_, [self = shared_from_this()] {
            self->hasGivenUp_ = true;
            if (self->isReading_) {
                self->stream_.cancel();
            }
        });
    }

private:
    //! Ends a read or write that is in progress. Callable from any thread.
    void cancelWait()
    {
        asio::post(executor_, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->stream_.cancel();
            }
        });
    }

    asio::any_io_executor executor_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::shared_ptr<MemoryAccount> account_;
    MemoryAccount::Holder hold_;
    std::atomic<bool> isIdle_ {false};
    std::atomic<TimePoint> idleSince_ {TimePoint {}};
    std::atomic<bool> isReading_ {false};
    std::atomic<bool> isDisplaced_ {false};
    bool hasGivenUp_ = false;
};

//! Thread-safe.
class HttpServer::OpenConnections
{
public:
    void add(const std::shared_ptr<Connection> &connection)
    {
        const std::lock_guard lock(mutex_);
        connections_.emplace(connection.get(), connection);
    }
    void remove(Connection *connection)
    {
        const std::lock_guard lock(mutex_);
        connections_.erase(connection);
    }
    [[nodiscard]] int count() const
    {
        const std::lock_guard lock(mutex_);
        return static_cast<int>(connections_.size());
    }
    [[nodiscard]] int countReading() const
    {
        const std::lock_guard lock(mutex_);
        return static_cast<int>(std::count_if(connections_.begin(), connections_.end(), [](const auto &item) {
            const std::shared_ptr<Connection> connection = item.second.lock();
            return connection && connection->isReading();
        }));
    }
    //! Closes the connection that has waited for its client for the longest time. \returns false if none waits
    bool displaceOne()
    {
        const std::lock_guard lock(mutex_);
        std::shared_ptr<Connection> last;
        for (const auto &[key, weak] : connections_) {
            const std::shared_ptr<Connection> connection = weak.lock();
            if (connection && connection->isDisplaceable() && (!last || connection->idleSince() < last->idleSince())) {
                last = connection;
            }
        }
        if (last) {
            last->displace();
        }
        return last != nullptr;
    }
    void forEach(void (Connection::*function)())
    {
        std::vector<std::shared_ptr<Connection>> open;
        {
            const std::lock_guard lock(mutex_);
            for (const auto &[key, connection] : connections_) {
                open.push_back(connection.lock());
            }
        }
        for (const auto &connection : open) {
            if (connection) {
                (connection.get()->*function)();
            }
        }
    }

private:
    mutable std::mutex mutex_;
    std::unordered_map<Connection *, std::weak_ptr<Connection>> connections_;
};

HttpServer::HttpServer(asio::any_io_executor executor, HttpLimits limits, Handler handler, ErrorHandler errorHandler)
    : executor_(executor)
    , limits_(limits)
    , handler_(std::move(handler))
    , errorHandler_(std::move(errorHandler))
    , acceptor_(asio::make_strand(executor))
    , openConnections_(std::make_shared<OpenConnections>())
{
    if (!limits_.account) {
        limits_.account = std::make_shared<MemoryAccount>(MemoryLimits::forProcess(limits_.memoryBytes));
    }
}

Result<void> HttpServer::listen(const Address &address)
{
    BOOST_OUTCOME_TRYV(openAcceptor(acceptor_, address, socketBuffers));
    asio::co_spawn(
        acceptor_.get_executor(), [this] { return accept(); }, asio::detached);
    return boost::outcome_v2::success();
}

int HttpServer::openConnections() const
{
    return openConnections_->count();
}

int HttpServer::arrivingRequests() const
{
    return openConnections_->countReading();
}

void HttpServer::closeWhenQuiet()
{
    closesWhenQuiet_ = true;
}

void HttpServer::stopAccepting()
{
    closeWhenQuiet();
    asio::post(acceptor_.get_executor(), [this] {
        boost::system::error_code error;
        acceptor_.non_blocking(true, error);
        while (!error && acceptor_.is_open()) {
            asio::ip::tcp::socket socket(asio::make_strand(executor_));
            acceptor_.accept(socket, error);
            if (!error && openConnections() < limits_.connections) {
                startServing(std::move(socket));
            }
        }
        acceptor_.close(error);
    });
}

void HttpServer::closeIdle()
{
    openConnections_->forEach(&Connection::closeIdle);
}

void HttpServer::giveUp()
{
    openConnections_->forEach(&Connection::giveUp);
}

asio::awaitable<void> HttpServer::accept()
{
    while (acceptor_.is_open()) {
        auto [error, socket] = co_await acceptor_.async_accept(asio::make_strand(executor_), asTuple);
        // Above the limit, a connection that can't displace another one is closed at once, so that the client can try
        // another VM.
        if (!error && makeRoomForConnection()) {
            startServing(std::move(socket));
            continue;
        }
        asio::steady_timer pause(acceptor_.get_executor(), acceptRetryDelay);
        co_await pause.async_wait(asTuple);
    }
}

bool HttpServer::makeRoomForConnection()
{
    const int open = openConnections();
    if (open < limits_.connections) {
        return true;
    }
    ++displaced_;
    return open < limits_.connections + maxLeavingConnections && openConnections_->displaceOne();
}

void HttpServer::startServing(asio::ip::tcp::socket socket)
{
    const auto executor = socket.get_executor();
    auto connection = std::make_shared<Connection>(std::move(socket), limits_.account);
    openConnections_->add(connection);
    asio::co_spawn(executor, serve(std::move(connection)), asio::detached);
}

asio::awaitable<void> HttpServer::serve(std::shared_ptr<Connection> connection)
{
    const auto remove = [open = openConnections_](Connection *served) { open->remove(served); };
    const std::unique_ptr<Connection, decltype(remove)> guard(connection.get(), remove);
    co_await serveRequests(*connection);
    boost::system::error_code ignored;
    connection->stream().socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

asio::awaitable<void> HttpServer::serveRequests(Connection &connection)
{
    beast::tcp_stream &stream = connection.stream();
    beast::flat_buffer &buffer = connection.buffer();
    for (;;) {
        RequestReader reader(stream, buffer, connection.account(), connection.hold(),
                             {limits_.headerBytes, limits_.bodyBytes, limits_.headerTimeout, limits_.bodyTimeout});
        stream.expires_after(buffer.size() == 0 ? limits_.idleTimeout : limits_.headerTimeout);
        const bool hasInput = co_await connection.waitForInput();
        if (!hasInput) {
            break;
        }
        connection.setReading(true);
        boost::system::error_code error = co_await reader.readHead();
        if (!error && !reader.isDone()) {
            error = co_await reader.readRest();
        }
        connection.setReading(false);
        const bool isKeepAlive = !error && reader.head().keep_alive();
        BeastResponder responder(stream, connection.hold(), limits_.writeTimeout, [&, isKeepAlive] {
            return isKeepAlive && (!closesWhenQuiet_ || connection.hasInput());
        });
        if (error && connection.hasGivenUp() && error == asio::error::operation_aborted) {
            co_await responder.respond(
                errorHandler_(makeError(ErrorKind::NotReady, "the process ends before the request has arrived")));
            co_await connection.discardInput();
            break;
        }
        if (error) {
            if (!isDisconnect(error)) {
                co_await responder.respond(errorHandler_(readError(error)));
            }
            if (RequestReader::isOutOfMemory(error)) {
                co_await connection.discardInput();
            }
            break;
        }
        HttpRequest request = toRequest(reader.release());
        connection.hold().set(HeldPart::Request, request.body.size());
        co_await handler_(request, responder);
        connection.hold().set(HeldPart::Request, 0);
        if (!responder.canReuseConnection()) {
            break;
        }
    }
}

} // namespace cardamompost
