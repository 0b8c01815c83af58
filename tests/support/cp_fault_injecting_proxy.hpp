#ifndef CARDAMOMPOST_TESTS_CP_FAULT_INJECTING_PROXY_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_FAULT_INJECTING_PROXY_HPP_INCLUDED

#include <cardamompost/config/cp_section_reader.hpp>
#include <cardamompost/core/cp_time.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <list>
#include <memory>
#include <thread>

namespace cardamompost::tests
{

//! TCP proxy that can delay traffic, and blackhole open connections as a stateful firewall does that has lost their
//! state: they stay open without transferring data, while new connections work.
class FaultInjectingProxy
{
public:
    FaultInjectingProxy()
    {
        thread_ = std::thread([this] { io_.run(); });
    }
    ~FaultInjectingProxy()
    {
        io_.stop();
        thread_.join();
    }
    FaultInjectingProxy(const FaultInjectingProxy &) = delete;
    FaultInjectingProxy &operator=(const FaultInjectingProxy &) = delete;

    //! Listens at an address and forwards its connections to another one.
    void forward(const Address &from, const Address &to)
    {
        acceptors_.emplace_back(io_, endpoint(from));
        Acceptor &acceptor = acceptors_.back();
        boost::asio::co_spawn(
            io_, [this, &acceptor, to] { return accept(acceptor, to); }, boost::asio::detached);
    }
    //! Stops forwarding on the connections that are open.
    void blackholeOpenConnections()
    {
        boost::asio::post(io_, [this] {
            *isForwarding_ = false;
            isForwarding_ = std::make_shared<bool>(true);
        });
    }

    //! Delays every third chunk of each connection, and those behind it.
    void delayChunks(Milliseconds time)
    {
        boost::asio::post(io_, [this, time] { *delay_ = time; });
    }

private:
    using Socket = boost::asio::ip::tcp::socket;
    using Acceptor = boost::asio::ip::tcp::acceptor;
    static constexpr auto asTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
    static constexpr unsigned delayEveryChunks = 3;

    static boost::asio::ip::tcp::endpoint endpoint(const Address &address)
    {
        return {boost::asio::ip::make_address(address.host), address.port};
    }

    boost::asio::awaitable<void> accept(Acceptor &acceptor, Address to)
    {
        while (acceptor.is_open()) {
            auto [error, accepted] = co_await acceptor.async_accept(asTuple);
            auto client = std::make_shared<Socket>(std::move(accepted));
            auto server = std::make_shared<Socket>(io_);
            const boost::asio::ip::tcp::endpoint target = endpoint(to);
            std::tie(error) = co_await server->async_connect(target, asTuple);
            if (error) {
                continue;
            }
            const std::shared_ptr<bool> isForwarding = isForwarding_;
            boost::asio::co_spawn(io_, pipe(client, server, isForwarding, delay_), boost::asio::detached);
            boost::asio::co_spawn(io_, pipe(server, client, isForwarding, delay_), boost::asio::detached);
        }
    }

    static boost::asio::awaitable<void> pipe(std::shared_ptr<Socket> from, std::shared_ptr<Socket> to,
                                             std::shared_ptr<bool> isForwarding, std::shared_ptr<Milliseconds> delay)
    {
        boost::asio::steady_timer timer(from->get_executor());
        unsigned chunks = 0;
        std::array<char, 16U << 10U> chunk {};
        for (;;) {
            const auto [error, bytesRead] = co_await from->async_read_some(boost::asio::buffer(chunk), asTuple);
            if (!*isForwarding && !error) {
                continue;
            }
            if (!*isForwarding) {
                co_return;
            }
            if (error) {
                boost::system::error_code ignored;
                to->close(ignored);
                co_return;
            }
            if (++chunks % delayEveryChunks == 0 && delay->count() > 0) {
                timer.expires_after(*delay);
                co_await timer.async_wait(asTuple);
            }
            co_await boost::asio::async_write(*to, boost::asio::buffer(chunk, bytesRead), asTuple);
        }
    }

    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_ {io_.get_executor()};
    std::shared_ptr<bool> isForwarding_ = std::make_shared<bool>(true);
    std::shared_ptr<Milliseconds> delay_ = std::make_shared<Milliseconds>(0);
    std::list<Acceptor> acceptors_;
    std::thread thread_;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_FAULT_INJECTING_PROXY_HPP_INCLUDED
