#include "support/cp_free_port.hpp"

#include <cardamompost/net/cp_peer_client.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

#include <thread>

using namespace cardamompost;

namespace
{

namespace asio = boost::asio;

//! Accepts connections and never sends a byte.
class SilentPeer
{
public:
    explicit SilentPeer(asio::io_context &io)
        : acceptor_(io, {asio::ip::make_address("127.0.0.1"), tests::freePort()})
    {
        asio::co_spawn(io, accept(), asio::detached);
    }
    [[nodiscard]] Address address() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }
    [[nodiscard]] std::size_t connections() const
    {
        return sockets_.size();
    }

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            auto [error, socket] = co_await acceptor_.async_accept(asio::as_tuple(asio::use_awaitable));
            if (error) {
                co_return;
            }
            sockets_.push_back(std::move(socket));
        }
    }

    asio::ip::tcp::acceptor acceptor_;
    std::vector<asio::ip::tcp::socket> sockets_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(peer_client)

// A middlebox drops the state of a connection, which stays open but delivers nothing. Retries on it would fail until
// unanswered pings reveal it.
BOOST_AUTO_TEST_CASE(a_request_after_a_timeout_on_a_silent_connection_uses_a_new_connection)
{
    asio::io_context io;
    PeerTraffic traffic;
    SilentPeer peer(io);
    const auto client = std::make_shared<PeerClient>(io.get_executor(), peer.address(), nullptr, traffic);
    auto ask = [&](Milliseconds timeout) -> asio::awaitable<void> {
        FrameBody body = UpdateRequest {};
        const Result<FrameBody> reply = co_await client->call(std::move(body), timeout);
        BOOST_TEST(!reply.has_value());
    };
    std::vector<std::size_t> connections;
    auto run = [&]() -> asio::awaitable<void> {
        co_await ask(Milliseconds(400));
        connections.push_back(peer.connections());
        co_await ask(Milliseconds(400));
        connections.push_back(peer.connections());
        // So short a timeout is no evidence of a dead connection.
        co_await ask(Milliseconds(1));
        connections.push_back(peer.connections());
        co_await ask(Milliseconds(1));
        connections.push_back(peer.connections());
        io.stop();
    };
    asio::co_spawn(io, run(), asio::detached);
    io.run();
    const std::vector<std::size_t> expected {1, 2, 3, 3};
    BOOST_TEST(connections == expected, boost::test_tools::per_element());
}

// Guards against taking a slow peer for a lost one: all requests on a silent connection fail as unanswered.
BOOST_AUTO_TEST_CASE(requests_pending_on_a_silent_connection_are_not_reported_as_a_lost_peer)
{
    asio::io_context io;
    PeerTraffic traffic;
    SilentPeer peer(io);
    const auto client = std::make_shared<PeerClient>(io.get_executor(), peer.address(), nullptr, traffic);
    std::vector<ErrorKind> failures;
    const auto onReply = [&](Result<FrameBody> reply, bool) {
        BOOST_REQUIRE(!reply.has_value());
        failures.push_back(reply.error().kind);
        if (failures.size() == 2) {
            io.stop();
        }
    };
    client->request(UpdateRequest {}, Milliseconds(400), onReply);
    client->request(UpdateRequest {}, Milliseconds(60'000), onReply);
    io.run();
    BOOST_TEST(failures.size() == 2U);
    for (const ErrorKind kind : failures) {
        BOOST_TEST((kind == ErrorKind::DeadlineExceeded));
    }
}

// Guards against a timeout's handler that uses an attempt to connect which was refused in the same turn of the event
// loop; found only by the sanitizer build.
BOOST_AUTO_TEST_CASE(a_connection_may_be_refused_while_its_timeout_passes)
{
    constexpr int maxSteps = 12;
    // Longer than the timeout of an attempt to connect.
    constexpr Milliseconds pause {260};
    for (int steps = 0; steps < maxSteps; ++steps) {
        asio::io_context io;
        PeerTraffic traffic;
        const Address nobody {"127.0.0.1", tests::freePort()};
        const auto client = std::make_shared<PeerClient>(io.get_executor(), nobody, nullptr, traffic);
        bool hasFailed = false;
        client->request(UpdateRequest {}, Milliseconds(5000), [&](Result<FrameBody> reply, bool) {
            BOOST_TEST(!reply.has_value());
            hasFailed = true;
        });
        for (int step = 0; step < steps; ++step) {
            io.poll_one();
        }
        std::this_thread::sleep_for(pause);
        while (!hasFailed) {
            io.poll_one();
        }
        io.poll();
    }
}

BOOST_AUTO_TEST_SUITE_END()
