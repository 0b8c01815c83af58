#ifndef CARDAMOMPOST_CP_OPEN_ACCEPTOR_HPP_INCLUDED
#define CARDAMOMPOST_CP_OPEN_ACCEPTOR_HPP_INCLUDED

#include <cardamompost/config/cp_section_reader.hpp>
#include <cardamompost/core/cp_error.hpp>

#include <boost/asio/ip/tcp.hpp>

namespace cardamompost
{

//! Sizes of the kernel's buffers for each accepted connection; 0 for the system's defaults, which grow.
struct SocketBuffers {
    int receiveBytes = 0;
    int sendBytes = 0;
};

//! Binds an acceptor to an address and starts listening. Errors: InvalidConfiguration when the address cannot be bound.
inline Result<void> openAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const Address &address,
                                 const SocketBuffers &buffers = {})
{
    boost::system::error_code error;
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(address.host), address.port);
    acceptor.open(endpoint.protocol(), error);
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    // Accepted sockets inherit these.
    boost::system::error_code ignored;
    if (buffers.receiveBytes != 0) {
        acceptor.set_option(boost::asio::socket_base::receive_buffer_size(buffers.receiveBytes), ignored);
    }
    if (buffers.sendBytes != 0) {
        acceptor.set_option(boost::asio::socket_base::send_buffer_size(buffers.sendBytes), ignored);
    }
    acceptor.bind(endpoint, error);
    if (!error) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return makeError(ErrorKind::InvalidConfiguration,
                         "cannot listen on " + address.toString() + ": " + error.message());
    }
    return boost::outcome_v2::success();
}

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_OPEN_ACCEPTOR_HPP_INCLUDED
