#ifndef CARDAMOMPOST_TESTS_CP_CRASHING_SERVERS_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_CRASHING_SERVERS_HPP_INCLUDED

#include "support/cp_fake_platform.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <atomic>

namespace cardamompost::tests
{

//! Backend servers on loopback that end some time after they have received a body with a certain word: their
//! connections are reset, nothing listens at their address for a while, and they return under another id and address.
class CrashingServers
{
public:
    static constexpr std::string_view fatalWord = "fatal";
    //! Also in the body of a request whose response begins before the server ends.
    static constexpr std::string_view lateWord = "late";
    //! Software that does not end under the fatal word.
    static constexpr std::string_view fixedVersion = "v2";

    CrashingServers(FakePlatform &platform, std::size_t count)
        : platform_(platform)
    {
        for (std::size_t i = 0; i < count; ++i) {
            servers_.push_back(std::make_shared<Server>(io_, nextId_++));
            boost::asio::co_spawn(io_, accept(servers_.back()), boost::asio::detached);
        }
        publish();
        thread_ = std::thread([this] { io_.run(); });
    }
    ~CrashingServers()
    {
        io_.stop();
        thread_.join();
    }
    CrashingServers(const CrashingServers &) = delete;
    CrashingServers &operator=(const CrashingServers &) = delete;

    //! How many servers have ended.
    [[nodiscard]] std::size_t ends() const
    {
        return ends_;
    }
    //! How many requests with the fatal word have reached servers.
    [[nodiscard]] std::size_t fatalRequests() const
    {
        return fatalRequests_;
    }
    //! Ends the server that runs the request with this body, as if by chance.
    void endServerOf(const std::string &body)
    {
        boost::asio::post(io_, [this, body] {
            for (const auto &server : servers_) {
                if (server->running.contains(body)) {
                    end(server);
                    return;
                }
            }
        });
    }
    void endAll()
    {
        boost::asio::post(io_, [this] {
            for (const auto &server : servers_) {
                end(server);
            }
        });
    }
    //! True while a server runs a request with this body.
    [[nodiscard]] bool isRunning(const std::string &body)
    {
        std::promise<bool> answer;
        boost::asio::post(io_, [&] {
            answer.set_value(std::any_of(servers_.begin(), servers_.end(),
                                         [&](const auto &server) { return server->running.contains(body); }));
        });
        return answer.get_future().get();
    }
    //! Resets the connections of the servers that run the request with this body; the servers go on.
    void resetConnectionsOf(const std::string &body)
    {
        boost::asio::post(io_, [this, body] {
            for (const auto &server : servers_) {
                if (server->running.contains(body)) {
                    server->resetConnections();
                }
            }
        });
    }
    //! Replaces all servers by new ones with another software version.
    void release(const std::string &softwareVersion)
    {
        boost::asio::post(io_, [this, softwareVersion] {
            softwareVersion_ = softwareVersion;
            for (auto &server : servers_) {
                server = std::make_shared<Server>(io_, nextId_++, softwareVersion);
                boost::asio::co_spawn(io_, accept(server), boost::asio::detached);
            }
            publish();
        });
    }
    //! Lists the server that runs the request with this body as leaving.
    void drainServerOf(const std::string &body)
    {
        boost::asio::post(io_, [this, body] {
            for (const auto &server : servers_) {
                server->isLeaving = server->isLeaving || server->running.contains(body);
            }
            publish();
        });
    }

    //! From the arrival of a fatal body to the end of its server.
    Milliseconds timeToEnd {80};
    //! How long a server takes to serve any other request.
    Milliseconds serviceTime {2};
    //! From the end of a server to its return.
    Milliseconds downTime {800};
    //! Servers end without a trace: their connections stay open, and only the list tells that they are gone.
    std::atomic<bool> endSilently {false};

private:
    static constexpr auto asTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
    using Socket = boost::asio::ip::tcp::socket;

    struct Server {
        Server(boost::asio::io_context &io, std::size_t number, std::string softwareVersion = "v1")
            : id(number)
            , version(std::move(softwareVersion))
            , acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0})
            , port(acceptor.local_endpoint().port())
        {
        }
        void resetConnections()
        {
            boost::system::error_code ignored;
            for (const auto &socket : connections) {
                socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
                socket->close(ignored);
            }
            connections.clear();
        }

        std::size_t id;
        std::string version;
        boost::asio::ip::tcp::acceptor acceptor;
        std::uint16_t port;
        std::set<std::shared_ptr<Socket>> connections;
        std::multiset<std::string> running;
        bool isLeaving = false;
        bool hasEnded = false;
    };
    using SharedServer = std::shared_ptr<Server>;

    void publish()
    {
        std::vector<ListedServer> list;
        for (const SharedServer &server : servers_) {
            if (endSilently && server->hasEnded) {
                continue;
            }
            ListedServer listed;
            listed.server = server->id;
            listed.softwareVersion = server->version;
            listed.port = server->port;
            listed.isLeaving = server->isLeaving;
            list.push_back(listed);
        }
        platform_.setList(std::move(list));
    }

    void end(const SharedServer &server)
    {
        if (server->hasEnded) {
            return;
        }
        server->hasEnded = true;
        server->running.clear();
        ++ends_;
        if (endSilently) {
            publish();
        } else {
            server->acceptor.close();
            server->resetConnections();
        }
        boost::asio::co_spawn(io_, restart(server), boost::asio::detached);
    }

    boost::asio::awaitable<void> restart(SharedServer ended)
    {
        co_await sleepFor(downTime);
        for (SharedServer &server : servers_) {
            if (server == ended) {
                server = std::make_shared<Server>(io_, nextId_++, softwareVersion_);
                boost::asio::co_spawn(io_, accept(server), boost::asio::detached);
            }
        }
        publish();
    }

    boost::asio::awaitable<void> accept(SharedServer server)
    {
        while (server->acceptor.is_open()) {
            auto [error, socket] = co_await server->acceptor.async_accept(asTuple);
            if (!error) {
                const auto shared = std::make_shared<Socket>(std::move(socket));
                server->connections.insert(shared);
                boost::asio::co_spawn(io_, serve(server, shared), boost::asio::detached);
            }
        }
    }

    boost::asio::awaitable<void> serve(SharedServer server, std::shared_ptr<Socket> socket)
    {
        namespace http = boost::beast::http;
        boost::beast::flat_buffer buffer;
        for (;;) {
            http::request<http::string_body> request;
            const auto [error, count] = co_await http::async_read(*socket, buffer, request, asTuple);
            if (error) {
                break;
            }
            const std::string body = request.body();
            server->running.insert(body);
            if (body.find(fatalWord) != std::string::npos) {
                ++fatalRequests_;
                if (body.find(lateWord) != std::string::npos) {
                    const std::string id(request["Request-Id"]);
                    const std::string start = "HTTP/1.1 200 OK\r\nRequest-Id: " + id
                        + "\r\nServer-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
                          "chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";
                    co_await boost::asio::async_write(*socket, boost::asio::buffer(start), asTuple);
                }
                co_await sleepFor(timeToEnd);
                if (server->version != fixedVersion) {
                    end(server);
                }
            } else {
                co_await sleepFor(serviceTime);
            }
            if (server->hasEnded) {
                // Keeps the connections of a server that ends silently.
                co_return;
            }
            server->running.erase(server->running.find(body));
            co_await respond(*socket, request);
        }
        server->connections.erase(socket);
    }

    static boost::asio::awaitable<void>
    respond(Socket &socket, const boost::beast::http::request<boost::beast::http::string_body> &request)
    {
        const std::string id(request["Request-Id"]);
        const bool isStream = request.target().find("/reads/") != 0 && request.target().find("/tools/") != 0;
        const std::string body = isStream ? "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" : "done";
        const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Signature: sig-" + id
            + "\r\nContent-Type: " + (isStream ? "text/event-stream" : "text/plain")
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        co_await boost::asio::async_write(socket, boost::asio::buffer(head + body), asTuple);
    }

    FakePlatform &platform_;
    boost::asio::io_context io_;
    std::size_t nextId_ = 0;
    std::string softwareVersion_ = "v1";
    std::vector<SharedServer> servers_;
    std::atomic<std::size_t> ends_ {0};
    std::atomic<std::size_t> fatalRequests_ {0};
    std::thread thread_;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_CRASHING_SERVERS_HPP_INCLUDED
