#ifndef CARDAMOMPOST_TESTS_CP_FREE_PORT_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_FREE_PORT_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <fstream>
#include <unistd.h>

namespace cardamompost::tests
{

//! The lowest port of the ephemeral range.
inline unsigned firstEphemeralPort()
{
    constexpr unsigned linuxDefault = 32'768;
    unsigned first = linuxDefault;
    std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> first;
    return first;
}

//! A free port of the loopback interface below the ephemeral range, so that no outgoing connection takes it before the
//! listener opens. Concurrent processes start their search at different ports. Returns 0 if no port is free.
inline std::uint16_t freePort()
{
    constexpr unsigned lowestPort = 10'000;
    constexpr unsigned portsPerProcess = 211;
    static unsigned nextOffset = static_cast<unsigned>(::getpid()) * portsPerProcess;
    const unsigned span = firstEphemeralPort() - lowestPort;
    boost::asio::io_context io;
    for (unsigned attempt = 0; attempt < span; ++attempt) {
        const auto port = static_cast<std::uint16_t>(lowestPort + nextOffset++ % span);
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
