#ifndef CARDAMOMPOST_CP_PEER_TLS_HPP_INCLUDED
#define CARDAMOMPOST_CP_PEER_TLS_HPP_INCLUDED

#include <cardamompost/core/cp_error.hpp>

#include <memory>
#include <string>

namespace boost::asio::ssl
{
class context;
}

namespace cardamompost
{

//! PEM files for mutual TLS between peers.
struct PeerTlsFiles {
    std::string certificate;
    std::string key;
    //! Certificate of the authority that signed the certificates of all peers.
    std::string authority;
};

//! Creates a TLS context for both sides of a peer connection; each side must present a certificate signed by the
//! authority. Errors: InvalidConfiguration, naming the file that cannot be used.
[[nodiscard]] Result<std::shared_ptr<boost::asio::ssl::context>> makePeerTls(const PeerTlsFiles &files);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_PEER_TLS_HPP_INCLUDED
