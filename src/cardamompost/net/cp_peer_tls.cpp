#include <cardamompost/net/cp_peer_tls.hpp>

#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/verify_mode.hpp>

namespace cardamompost
{

namespace ssl = boost::asio::ssl;

Result<std::shared_ptr<ssl::context>> makePeerTls(const PeerTlsFiles &files)
{
    auto context = std::make_shared<ssl::context>(ssl::context::tls);
    context->set_options(ssl::context::default_workarounds | ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1);
    boost::system::error_code error;
    context->use_certificate_chain_file(files.certificate, error);
    if (error) {
        return makeError(ErrorKind::InvalidConfiguration,
                         "certificate '" + files.certificate + "': " + error.message());
    }
    context->use_private_key_file(files.key, ssl::context::pem, error);
    if (error) {
        return makeError(ErrorKind::InvalidConfiguration, "key '" + files.key + "': " + error.message());
    }
    context->load_verify_file(files.authority, error);
    if (error) {
        return makeError(ErrorKind::InvalidConfiguration, "authority '" + files.authority + "': " + error.message());
    }
    // Mutual authentication: both sides verify the certificate of the peer.
    context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert);
    return context;
}

} // namespace cardamompost
