#ifndef CARDAMOMPOST_CP_OPEN_ACCEPTOR_HPP_INCLUDED
#define CARDAMOMPOST_CP_OPEN_ACCEPTOR_HPP_INCLUDED

#include <cardamompost/config/cp_section_reader.hpp>
#include <cardamompost/core/cp_error.hpp>

#include <boost/asio/ip/tcp.hpp>

namespace cardamompost
{

//! Binds an acceptor to an address and starts listening. Errors: InvalidConfiguration when the address cannot be bound.
inline Result<void> openAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const Address &address)
{
    boost::system::error_code error;
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(address.host), address.port);
    acceptor.open(endpoint.protocol(), error);
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
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
