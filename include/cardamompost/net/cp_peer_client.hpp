#ifndef CARDAMOMPOST_CP_PEER_CLIENT_HPP_INCLUDED
#define CARDAMOMPOST_CP_PEER_CLIENT_HPP_INCLUDED

#include <cardamompost/config/cp_section_reader.hpp>
#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/net/cp_frame.hpp>
#include <cardamompost/net/cp_peer_traffic.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>

namespace boost::asio::ssl
{
class context;
}

namespace cardamompost
{

class FrameConnection;

//! Sends requests to one peer over a single connection, which is opened on demand.
//!
//! While requests are pending, an idle connection is pinged. A connection that stays silent is closed, its requests
//! fail with DeadlineExceeded, and the next request opens a new one.
//! Thread-safety: all functions from any thread; handlers run on the client's strand and must not block.
class PeerClient : public std::enable_shared_from_this<PeerClient>
{
public:
    //! Called for each reply; the last reply, or an error, is the final call.
    using ReplyHandler = std::function<void(Result<FrameBody> reply, bool isLast)>;

    PeerClient(boost::asio::any_io_executor executor, Address address, std::shared_ptr<boost::asio::ssl::context> tls,
               PeerTraffic &traffic);

    //! Each reply but the last restarts the timeout.
    //! Errors passed to the handler: PeerLost if the connection failed, DeadlineExceeded if the peer was silent. The
    //! peer may have received the request, unless the outcome is NotRun. \returns the request's id, for cancel()
    std::uint64_t request(FrameBody body, Milliseconds timeout, ReplyHandler handler);
    //! As request(), for a single reply.
    boost::asio::awaitable<Result<FrameBody>> call(FrameBody body, Milliseconds timeout);
    //! Sends a message without a reply; it is dropped when the connection cannot be opened or too many frames
    //! wait for it.
    void notify(FrameBody body);
    //! Cancels a request at the peer; its handler is not called again.
    void cancel(std::uint64_t id);
    //! Closes the connection and fails its requests; the next message opens a new one.
    void resetConnection();
    //! Closes the connection; pending requests fail.
    void close();

private:
    struct Pending {
        ReplyHandler handler;
        Milliseconds timeout;
        TimePoint deadline;
        TimePoint sentAt;
    };

    void start(std::uint64_t id, FrameBody body, Milliseconds timeout, ReplyHandler handler);
    void ensureConnection();
    boost::asio::awaitable<void> connectAndRead();
    boost::asio::awaitable<Result<std::shared_ptr<FrameConnection>>> connect();
    void onFrame(Frame frame);
    //! Closes the connection and fails its requests.
    void dropConnection(const Error &error);
    void failAll(const Error &error);
    void scheduleCheck();
    void check();
    //! Fails every request past its deadline. \returns true when the connection appears to be dead
    bool expireOverdue(TimePoint now);

    boost::asio::any_io_executor strand_;
    Address address_;
    std::shared_ptr<boost::asio::ssl::context> tls_;
    PeerTraffic &traffic_;
    std::shared_ptr<FrameConnection> connection_;
    bool isConnecting_ = false;
    std::vector<Frame> queuedFrames_;
    std::map<std::uint64_t, Pending> pending_;
    boost::asio::steady_timer timer_;
    bool isCheckScheduled_ = false;
    TimePoint lastPing_ {};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_PEER_CLIENT_HPP_INCLUDED
