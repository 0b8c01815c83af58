#include "cp_frame_connection.hpp"
#include "cp_open_acceptor.hpp"

#include <cardamompost/net/cp_peer_server.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds handshakeTimeout {3000};
constexpr Milliseconds acceptRetryDelay {20};

} // namespace

PeerReplier::PeerReplier(std::shared_ptr<FrameConnection> connection, std::uint64_t id)
    : connection_(std::move(connection))
    , id_(id)
{
}

void PeerReplier::reply(FrameBody body, bool isLast)
{
    connection_->send({id_, isLast ? FrameKind::LastReply : FrameKind::Reply, 0, std::move(body)});
}

bool PeerReplier::isCancelled() const
{
    return isCancelled_ || !connection_->isOpen();
}

PeerServer::PeerServer(asio::any_io_executor executor, std::shared_ptr<asio::ssl::context> tls, PeerTraffic &traffic,
                       RequestHandler handler, std::shared_ptr<MemoryAccount> account)
    : executor_(executor)
    , tls_(std::move(tls))
    , traffic_(traffic)
    , handler_(std::move(handler))
    , account_(std::move(account))
    , acceptor_(asio::make_strand(executor))
{
}

Result<void> PeerServer::listen(const Address &address)
{
    BOOST_OUTCOME_TRYV(openAcceptor(acceptor_, address));
    asio::co_spawn(
        acceptor_.get_executor(), [this] { return accept(); }, asio::detached);
    return boost::outcome_v2::success();
}

void PeerServer::stopAccepting()
{
    asio::post(acceptor_.get_executor(), [this] {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
    });
}

asio::awaitable<void> PeerServer::accept()
{
    while (acceptor_.is_open()) {
        auto [error, socket]
            = co_await acceptor_.async_accept(asio::make_strand(executor_), asio::as_tuple(asio::use_awaitable));
        if (error) {
            // Avoids a busy loop, for example when the process is out of file descriptors.
            asio::steady_timer pause(acceptor_.get_executor(), acceptRetryDelay);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        const auto executor = socket.get_executor();
        auto connection = std::make_shared<FrameConnection>(std::move(socket), tls_, traffic_);
        if (account_) {
            connection->chargeTo(account_);
        }
        asio::co_spawn(
            executor, [this, connection] { return serve(connection); }, asio::detached);
    }
}

asio::awaitable<void> PeerServer::serve(std::shared_ptr<FrameConnection> connection)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timeout(executor, handshakeTimeout);
    const std::weak_ptr<FrameConnection> opening = connection;
    timeout.async_wait([opening](const boost::system::error_code &error) {
        const auto late = opening.lock();
        if (!error && late) {
            late->close();
        }
    });
    const Result<void> opened = co_await connection->open(true);
    timeout.cancel();
    if (!opened) {
        connection->close();
        co_return;
    }
    std::map<std::uint64_t, std::weak_ptr<PeerReplier>> repliers;
    FrameConnection::FrameHandler onFrame = [&](Frame frame) {
        if (frame.kind == FrameKind::Cancel) {
            const auto found = repliers.find(frame.id);
            if (const auto replier = found == repliers.end() ? nullptr : found->second.lock()) {
                replier->cancel();
            }
            repliers.erase(frame.id);
            return;
        }
        std::shared_ptr<PeerReplier> replier;
        if (frame.kind == FrameKind::Request) {
            std::erase_if(repliers, [](const auto &item) { return item.second.expired(); });
            replier = std::make_shared<PeerReplier>(connection, frame.id);
            repliers.emplace(frame.id, replier);
        }
        handler_(std::move(frame.body), Milliseconds(frame.deadlineMs), std::move(replier));
    };
    co_await connection->read(std::move(onFrame));
}

} // namespace cardamompost
