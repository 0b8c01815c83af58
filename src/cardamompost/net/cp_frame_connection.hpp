#ifndef CARDAMOMPOST_CP_FRAME_CONNECTION_HPP_INCLUDED
#define CARDAMOMPOST_CP_FRAME_CONNECTION_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/limits/cp_memory_account.hpp>
#include <cardamompost/net/cp_frame.hpp>
#include <cardamompost/net/cp_peer_traffic.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <deque>
#include <functional>
#include <memory>

namespace cardamompost
{

//! Frames over one TCP connection, with or without TLS. send() and isOpen() are thread-safe; everything else runs on
//! the connection's strand.
//!
//! Owned by shared pointer: pending socket operations keep it alive.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    using FrameHandler = std::function<void(Frame)>;

    //! \param tls  null for plain TCP
    FrameConnection(boost::asio::ip::tcp::socket socket, const std::shared_ptr<boost::asio::ssl::context> &tls,
                    PeerTraffic &traffic);

    //! Charges what the connection receives. The connection is closed when it has to give way.
    void chargeTo(std::shared_ptr<MemoryAccount> account);
    //! Performs the TLS handshake, if TLS is used. Errors: PeerLost.
    boost::asio::awaitable<Result<void>> open(bool isServer);
    //! Passes received frames to the handler until the connection is closed; answers pings itself.
    boost::asio::awaitable<void> read(FrameHandler handler);

    //! Queues a frame; thread-safe. The connection is closed when its queue exceeds the limit.
    void send(const Frame &frame);
    void close();

    [[nodiscard]] bool isOpen() const
    {
        return isOpen_;
    }
    [[nodiscard]] TimePoint lastReceived() const
    {
        return lastReceived_;
    }
    //! True when nothing was received since the given time, or since the connection was opened.
    [[nodiscard]] bool hasReceivedNothingSince(TimePoint time) const
    {
        return lastReceived_ < time || lastReceived_ == openedAt_;
    }

private:
    //! Appends the next bytes to the receive buffer. \returns false at the end of the stream
    boost::asio::awaitable<bool> readMore();
    //! Passes complete frames to the handler, except pings, which it answers. \returns false for malformed input
    bool dispatchFrames(const FrameHandler &handler);
    boost::asio::awaitable<bool> writeBytes(std::string bytes);
    boost::asio::awaitable<void> writeQueued();
    void enqueue(std::string bytes);
    //! Charges the receive buffer. \returns false if the connection has to give way
    [[nodiscard]] bool charge(std::size_t newBytes);

    boost::asio::ip::tcp::socket socket_;
    std::shared_ptr<boost::asio::ssl::context> tlsContext_;
    PeerTraffic &traffic_;
    std::unique_ptr<boost::asio::ssl::stream<boost::asio::ip::tcp::socket &>> tls_;
    std::deque<std::string> queue_;
    std::size_t queuedBytes_ = 0;
    std::string received_;
    std::shared_ptr<MemoryAccount> account_;
    //! Empty if nothing is charged.
    std::optional<MemoryAccount::Holder> hold_;
    bool hasPartialFrame_ = false;
    std::uint64_t receivedBytes_ = 0;
    bool isWriting_ = false;
    std::atomic<bool> isOpen_ {true};
    TimePoint openedAt_;
    TimePoint lastReceived_;
};

//! Sets TCP_NODELAY, and TCP_USER_TIMEOUT to detect a lost peer.
void setSocketOptions(boost::asio::ip::tcp::socket &socket);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_FRAME_CONNECTION_HPP_INCLUDED
