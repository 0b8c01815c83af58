#ifndef CARDAMOMPOST_TESTS_CP_FREE_PORT_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_FREE_PORT_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <fstream>
#include <unistd.h>

namespace cardamompost::tests
{

//! The lowest port that outgoing connections may be given.
inline unsigned firstEphemeralPort()
{
    constexpr unsigned usual = 32'768;
    unsigned first = usual;
    std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> first;
    return first;
}

//! A port of the loopback that nobody listens on now, and that no outgoing connection can take.
//!
//! Guards against a port that the system hands out as free: an outgoing connection of the same test may be given it
//! before the listener opens, which then fails (seen once, in CI). Ports below the ephemeral ones are never given to
//! connections; processes that run side by side begin at places of their own.
inline std::uint16_t freePort()
{
    constexpr unsigned lowest = 10'000;
    constexpr unsigned perProcess = 211;
    static unsigned next = static_cast<unsigned>(::getpid()) * perProcess;
    const unsigned span = firstEphemeralPort() - lowest;
    boost::asio::io_context io;
    for (unsigned tries = 0; tries < span; ++tries) {
        const auto port = static_cast<std::uint16_t>(lowest + next++ % span);
        boost::asio::ip::tcp::acceptor probe(io, boost::asio::ip::tcp::v4());
        boost::system::error_code error;
        probe.bind({boost::asio::ip::make_address_v4("127.0.0.1"), port}, error);
        if (!error) {
            return port;
        }
    }
    return 0;
}

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_FREE_PORT_HPP_INCLUDED
