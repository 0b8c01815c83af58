#ifndef CARDAMOMPOST_TESTS_CP_SCRIPTED_SERVER_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_SCRIPTED_SERVER_HPP_INCLUDED

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

#include <functional>
#include <set>
#include <thread>

namespace cardamompost::tests
{

//! How a scripted server ends a response.
enum class ResponseEnd {
    KeepOpen,
    Close,
    Reset,
};

//! The bytes of a response, its head included.
struct ScriptedResponse {
    std::string bytes;
    ResponseEnd end = ResponseEnd::KeepOpen;
    //! Offsets at which the server pauses.
    std::set<std::size_t> pauses;
    //! False for a server that responds before it has read the request's body.
    bool readsBody = true;
};

//! A server that writes given bytes to its sockets, whether or not they are valid HTTP.
class ScriptedServer
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    //! Called on the server's thread.
    using Script = std::function<ScriptedResponse(const Request &request)>;

    explicit ScriptedServer(Script script)
        : script_(std::move(script))
        , acceptor_(io_, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , port_(acceptor_.local_endpoint().port())
    {
        boost::asio::co_spawn(io_, accept(), boost::asio::detached);
        thread_ = std::thread([this] { io_.run(); });
    }
    ~ScriptedServer()
    {
        io_.stop();
        thread_.join();
    }
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        return port_;
    }

private:
    static constexpr auto asTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
    static constexpr Milliseconds pause {2};

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
        boost::system::error_code ignored;
        socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        boost::beast::flat_buffer buffer;
        ResponseEnd end = ResponseEnd::KeepOpen;
        while (end == ResponseEnd::KeepOpen) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(boost::none);
            auto [error, count] = co_await http::async_read_header(socket, buffer, parser, asTuple);
            if (error) {
                co_return;
            }
            const ScriptedResponse response = script_(parser.get());
            if (response.readsBody && !parser.is_done()) {
                std::tie(error, count) = co_await http::async_read(socket, buffer, parser, asTuple);
            }
            co_await write(socket, response);
            end = response.end;
        }
        if (end == ResponseEnd::Reset) {
            socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        }
        socket.close(ignored);
    }

    static boost::asio::awaitable<void> write(boost::asio::ip::tcp::socket &socket, const ScriptedResponse &response)
    {
        std::size_t begin = 0;
        std::set<std::size_t> ends = response.pauses;
        ends.insert(response.bytes.size());
        for (const std::size_t end : ends) {
            if (begin != 0) {
                co_await sleepFor(pause);
            }
            co_await boost::asio::async_write(socket, boost::asio::buffer(&response.bytes[begin], end - begin),
                                              asTuple);
            begin = end;
        }
    }

    Script script_;
    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    const std::uint16_t port_;
    std::thread thread_;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_SCRIPTED_SERVER_HPP_INCLUDED
