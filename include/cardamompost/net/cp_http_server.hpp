#ifndef CARDAMOMPOST_CP_HTTP_SERVER_HPP_INCLUDED
#define CARDAMOMPOST_CP_HTTP_SERVER_HPP_INCLUDED

#include <cardamompost/config/cp_section_reader.hpp>
#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/limits/cp_memory_account.hpp>
#include <cardamompost/net/cp_http_message.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace cardamompost
{

//! Writes the response to one request: either respond(), or begin(), any number of write() and end().
class IHttpResponder
{
public:
    virtual ~IHttpResponder() = default;

    virtual boost::asio::awaitable<void> respond(HttpResponse response) = 0;
    //! Starts a chunked response. \returns false when the client has disconnected
    virtual boost::asio::awaitable<bool> begin(unsigned status, HttpHeaders headers) = 0;
    virtual boost::asio::awaitable<bool> write(std::string bytes) = 0;
    //! Ends a chunked response; a "Trailer" header must announce the trailers.
    virtual boost::asio::awaitable<void> end(HttpHeaders trailers) = 0;
    //! Closes the connection without the final chunk, so that the client detects a truncated response.
    virtual void abort() = 0;
};

//! Limits on sizes, timeouts and the number of connections.
struct HttpLimits {
    std::uint32_t headerBytes = 16U << 10U;
    std::uint64_t bodyBytes = 4U << 20U;
    Milliseconds idleTimeout {60'000};
    Milliseconds headerTimeout {10'000};
    Milliseconds bodyTimeout {30'000};
    Milliseconds writeTimeout {30'000};
    int connections = 20'000;
    //! Bounds what all connections hold together; null for an account of the server's own with memoryBytes.
    std::shared_ptr<MemoryAccount> account;
    std::size_t memoryBytes = 128U << 20U;
};

//! HTTP/1.1 server over TCP. Each connection has its own strand, on which the handler runs.
class HttpServer
{
public:
    using Handler = std::function<boost::asio::awaitable<void>(HttpRequest &request, IHttpResponder &responder)>;
    //! Creates the response to a request that is malformed, too large or too slow.
    using ErrorHandler = std::function<HttpResponse(const Error &error)>;

    HttpServer(boost::asio::any_io_executor executor, HttpLimits limits, Handler handler, ErrorHandler errorHandler);

    //! Errors: InvalidConfiguration when the address cannot be bound.
    Result<void> listen(const Address &address);
    //! From now on, responses close their connections, unless bytes of another request have arrived on them.
    void closeWhenQuiet();
    //! As closeWhenQuiet(), and stops accepting connections, after those that clients consider open already. Idle
    //! connections are closed after their next request or the idle timeout.
    void stopAccepting();
    //! Closes the connections on which no bytes have arrived since their last response.
    void closeIdle();
    //! Responds to the requests of which only a part has arrived.
    void giveUp();
    [[nodiscard]] int openConnections() const;
    //! Number of requests of which only a part has arrived.
    [[nodiscard]] int arrivingRequests() const;
    //! Number of connections that were closed, or not accepted, because there were too many.
    [[nodiscard]] std::uint64_t displacedConnections() const
    {
        return displaced_;
    }

private:
    class Connection;
    class OpenConnections;

    boost::asio::awaitable<void> accept();
    void startServing(boost::asio::ip::tcp::socket socket);
    //! True if there is room for another connection, after one that waits for its client was closed if necessary.
    bool makeRoomForConnection();
    boost::asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    boost::asio::awaitable<void> serveRequests(Connection &connection);

    boost::asio::any_io_executor executor_;
    HttpLimits limits_;
    Handler handler_;
    ErrorHandler errorHandler_;
    boost::asio::ip::tcp::acceptor acceptor_;
    //! Shared because a connection can outlive its server until the io_context is destroyed.
    std::shared_ptr<OpenConnections> openConnections_;
    std::atomic<bool> closesWhenQuiet_ {false};
    std::atomic<std::uint64_t> displaced_ {0};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_HTTP_SERVER_HPP_INCLUDED
