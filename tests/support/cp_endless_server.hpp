#ifndef CARDAMOMPOST_TESTS_CP_ENDLESS_SERVER_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_ENDLESS_SERVER_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/net/cp_await.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <functional>
#include <thread>

namespace cardamompost::tests
{

//! A response that never ends: the start is sent once, then the repeated bytes until the client closes.
struct EndlessResponse {
    std::string start;
    std::string repeated;
};

//! A server whose responses may be endless. It sends them as fast as their client reads, or with pauses.
class EndlessServer
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    //! Called on the server's thread. A response without repeated bytes ends, and keeps the connection open.
    using Script = std::function<EndlessResponse(const Request &request)>;

    //! \param pause  after each block
    explicit EndlessServer(Script script, Milliseconds pause = Milliseconds(0))
        : script_(std::move(script))
        , pause_(pause)
        , acceptor_(io_, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , port_(acceptor_.local_endpoint().port())
    {
        boost::asio::co_spawn(io_, accept(), boost::asio::detached);
        thread_ = std::thread([this] { io_.run(); });
    }
    ~EndlessServer()
    {
        io_.stop();
        thread_.join();
    }
    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        return port_;
    }
    //! Endless responses that are being sent.
    [[nodiscard]] int openResponses() const
    {
        return openResponses_;
    }
    //! Endless responses so far.
    [[nodiscard]] int responses() const
    {
        return responses_;
    }
    //! Bytes of endless responses that were sent so far.
    [[nodiscard]] std::size_t bytesSent() const
    {
        return bytesSent_;
    }

private:
    static constexpr auto asTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
    static constexpr std::size_t blockBytes = 64U << 10U;

    boost::asio::awaitable<void> accept()
    {
        while (acceptor_.is_open()) {
            auto [error, socket] = co_await acceptor_.async_accept(asTuple);
            if (!error) {
                boost::asio::co_spawn(io_, serve(std::move(socket)), boost::asio::detached);
            }
        }
    }

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket)
    {
        namespace http = boost::beast::http;
        boost::beast::flat_buffer buffer;
        bool isOpen = true;
        while (isOpen) {
            http::request<http::string_body> request;
            auto [error, count] = co_await http::async_read(socket, buffer, request, asTuple);
            if (error) {
                co_return;
            }
            EndlessResponse response = script_(request);
            addRequestId(response.start, std::string(request["Request-Id"]));
            std::tie(error, count)
                = co_await boost::asio::async_write(socket, boost::asio::buffer(response.start), asTuple);
            isOpen = !error && response.repeated.empty();
            if (!error && !isOpen) {
                co_await sendForever(socket, response.repeated);
            }
        }
    }

    //! Echoes the request's id in a final response that states none.
    static void addRequestId(std::string &start, const std::string &id)
    {
        const std::size_t lineEnd = start.find("\r\n");
        const bool isInterim = start.starts_with("HTTP/1.1 1");
        if (lineEnd != std::string::npos && !isInterim && start.find("Request-Id:") == std::string::npos) {
            start.insert(lineEnd + 2, "Request-Id: " + id + "\r\n");
        }
    }

    boost::asio::awaitable<void> sendForever(boost::asio::ip::tcp::socket &socket, const std::string &repeated)
    {
        std::string block;
        while (block.size() < blockBytes) {
            block += repeated;
        }
        ++openResponses_;
        ++responses_;
        boost::system::error_code error;
        while (!error) {
            std::size_t count = 0;
            std::tie(error, count) = co_await boost::asio::async_write(socket, boost::asio::buffer(block), asTuple);
            bytesSent_ += count;
            if (pause_.count() != 0) {
                co_await sleepFor(pause_);
            }
        }
        --openResponses_;
    }

    Script script_;
    const Milliseconds pause_;
    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    const std::uint16_t port_;
    std::atomic<int> openResponses_ {0};
    std::atomic<int> responses_ {0};
    std::atomic<std::size_t> bytesSent_ {0};
    std::thread thread_;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_ENDLESS_SERVER_HPP_INCLUDED
