#ifndef CARDAMOMPOST_CP_PEER_SERVER_HPP_INCLUDED
#define CARDAMOMPOST_CP_PEER_SERVER_HPP_INCLUDED

#include <cardamompost/config/cp_section_reader.hpp>
#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/limits/cp_memory_account.hpp>
#include <cardamompost/net/cp_frame.hpp>
#include <cardamompost/net/cp_peer_traffic.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace boost::asio::ssl
{
class context;
}

namespace cardamompost
{

class FrameConnection;

//! Sends the replies to one request. Thread-safe.
class PeerReplier
{
public:
    PeerReplier(std::shared_ptr<FrameConnection> connection, std::uint64_t id);

    void reply(FrameBody body, bool isLast = true);
    //! True when the request was cancelled or its connection is closed.
    [[nodiscard]] bool isCancelled() const;
    void cancel()
    {
        isCancelled_ = true;
    }

private:
    std::shared_ptr<FrameConnection> connection_;
    std::uint64_t id_;
    std::atomic<bool> isCancelled_ {false};
};

//! Accepts connections and requests from peers.
class PeerServer
{
public:
    //! Called on a connection's strand; must not block. The replier is null for a message without a reply.
    using RequestHandler
        = std::function<void(FrameBody body, Milliseconds timeout, std::shared_ptr<PeerReplier> replier)>;

    PeerServer(boost::asio::any_io_executor executor, std::shared_ptr<boost::asio::ssl::context> tls,
               PeerTraffic &traffic, RequestHandler handler, std::shared_ptr<MemoryAccount> account = nullptr);

    //! Errors: InvalidConfiguration when the address cannot be bound.
    Result<void> listen(const Address &address);
    //! Stops accepting connections; open ones stay open.
    void stopAccepting();

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<FrameConnection> connection);

    boost::asio::any_io_executor executor_;
    std::shared_ptr<boost::asio::ssl::context> tls_;
    PeerTraffic &traffic_;
    RequestHandler handler_;
    //! Bounds what partly received frames take together; may be null.
    std::shared_ptr<MemoryAccount> account_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_PEER_SERVER_HPP_INCLUDED
