#ifndef CARDAMOMPOST_CP_FRAME_CONNECTION_HPP_INCLUDED
#define CARDAMOMPOST_CP_FRAME_CONNECTION_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>
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

//! Frames over one TCP connection, with or without TLS. Everything but send() and close() runs on its strand.
//!
//! Shared ownership: the operations under way on the socket keep it alive until they have ended.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    using FrameHandler = std::function<void(Frame)>;

    //! \param tls  null for plain TCP
    FrameConnection(boost::asio::ip::tcp::socket socket, const std::shared_ptr<boost::asio::ssl::context> &tls,
                    PeerTraffic &traffic);

    //! The handshake of TLS, if there is one. Errors: PeerLost.
    boost::asio::awaitable<Result<void>> open(bool isServer);
    //! Reads frames until the connection ends.
    boost::asio::awaitable<void> read(FrameHandler handler);

    //! Queues a frame; from any thread. A connection whose queue is too long is closed.
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
    //! True when not a byte has come since then.
    [[nodiscard]] bool isSilentSince(TimePoint time) const
    {
        return lastReceived_ < time || lastReceived_ == openedAt_;
    }

private:
    //! Appends what has arrived; false at the end.
    boost::asio::awaitable<bool> readMore();
    //! Hands on the whole frames that have arrived; false when something else than frames has.
    bool takeFrames(const FrameHandler &handler);
    boost::asio::awaitable<bool> writeBytes(std::string bytes);
    boost::asio::awaitable<void> writeQueued();
    void enqueue(std::string bytes);

    boost::asio::ip::tcp::socket socket_;
    std::shared_ptr<boost::asio::ssl::context> tlsContext_;
    PeerTraffic &traffic_;
    std::unique_ptr<boost::asio::ssl::stream<boost::asio::ip::tcp::socket &>> tls_;
    std::deque<std::string> queue_;
    std::size_t queuedBytes_ = 0;
    std::string received_;
    bool isWriting_ = false;
    std::atomic<bool> isOpen_ {true};
    TimePoint openedAt_;
    TimePoint lastReceived_;
};

//! Options that make a lost peer show: no delay, and a bound on unacknowledged data.
void setSocketOptions(boost::asio::ip::tcp::socket &socket);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_FRAME_CONNECTION_HPP_INCLUDED
