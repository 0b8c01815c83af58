#ifndef CARDAMOMPOST_CP_HTTP_CLIENT_HPP_INCLUDED
#define CARDAMOMPOST_CP_HTTP_CLIENT_HPP_INCLUDED

#include <cardamompost/config/cp_section_reader.hpp>
#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/net/cp_http_message.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace cardamompost
{

//! A request to an external HTTP server.
struct HttpCall {
    Address address;
    std::string method = "GET";
    //! Path and query, encoded.
    std::string target;
    HttpHeaders headers;
    std::string body;
    //! Limit for the whole response or, for a stream, for its headers.
    Milliseconds timeout {10'000};
    //! Maximum time between two reads of a stream.
    Milliseconds stallTimeout {10'000};
    //! False for a request that must not be sent twice; it gets a new connection. When the server closes a pooled
    //! connection, it is unknown whether the server received the request, which is then sent again.
    bool reuseConnection = true;
};

//! HTTP/1.1 client with a connection pool. Thread-safe.
class HttpClient
{
public:
    //! Called with each part of a stream's body. Returning false stops the stream.
    using DataHandler = std::function<bool(std::string_view bytes)>;

    explicit HttpClient(std::size_t maxIdlePerAddress = 64);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    //! Returns the whole response, for any status. Errors: BackendFailed, with outcome NotRun when the request was not
    //! sent, also for a text/event-stream that ends inside an event; DeadlineExceeded.
    boost::asio::awaitable<Result<HttpResponse>> request(HttpCall call);
    //! Passes the body to onData as it arrives when the status is 200; otherwise returns the whole response. Errors as
    //! for request(), also for a truncated response.
    boost::asio::awaitable<Result<HttpResponse>> stream(HttpCall call, DataHandler onData);

    struct Connection;

private:
    boost::asio::awaitable<Result<std::unique_ptr<Connection>>> connect(const HttpCall &call);
    boost::asio::awaitable<Result<HttpResponse>> exchange(Connection &connection, HttpCall &call, DataHandler &onData);
    void returnToPool(const Address &address, std::unique_ptr<Connection> connection);

    struct Pool;
    std::unique_ptr<Pool> pool_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_HTTP_CLIENT_HPP_INCLUDED
