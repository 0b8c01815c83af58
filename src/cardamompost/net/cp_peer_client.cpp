#include "cp_frame_connection.hpp"

#include <cardamompost/net/cp_await.hpp>
#include <cardamompost/net/cp_peer_client.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds checkInterval {100};
constexpr Milliseconds pingIdleTime {500};
constexpr Milliseconds silenceTimeout {1500};
// Requests with a shorter timeout are no evidence of a dead connection.
constexpr Milliseconds minSilenceOfDeadConnection {300};
// Shorter than the retransmission timeout of a SYN, so that a recovered VM is reached by a new attempt.
constexpr Milliseconds connectTimeout {200};
// While this many frames wait for a connection, one-way messages are dropped.
constexpr std::size_t maxQueuedFrames = 64;

std::uint64_t nextRequestId()
{
    static std::atomic<std::uint64_t> next {1};
    return next.fetch_add(1);
}

//! Shared with the handler of the timeout, which may run after the attempt has ended: a timer that has expired can't be
//! cancelled any more.
struct ConnectAttempt {
    explicit ConnectAttempt(const asio::any_io_executor &executor)
        : socket(executor)
    {
    }
    void cancel()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
        if (connection) {
            connection->close();
        }
    }

    asio::ip::tcp::socket socket;
    //! Null before the socket is connected and after the attempt.
    std::shared_ptr<FrameConnection> connection;
};

} // namespace

PeerClient::PeerClient(asio::any_io_executor executor, Address address, std::shared_ptr<asio::ssl::context> tls,
                       PeerTraffic &traffic)
    : strand_(asio::make_strand(std::move(executor)))
    , address_(std::move(address))
    , tls_(std::move(tls))
    , traffic_(traffic)
    , timer_(strand_)
{
}

std::uint64_t PeerClient::request(FrameBody body, Milliseconds timeout, ReplyHandler handler)
{
    const std::uint64_t id = nextRequestId();
    asio::post(
        strand_,
        [self = shared_from_this(), id, timeout, body = std::move(body), handler = std::move(handler)]() mutable {
            self->start(id, std::move(body), timeout, std::move(handler));
        });
    return id;
}

asio::awaitable<Result<FrameBody>> PeerClient::call(FrameBody body, Milliseconds timeout)
{
    auto start = [self = shared_from_this(), body = std::move(body),
                  timeout](std::function<void(Result<FrameBody>)> done) mutable {
        self->request(std::move(body), timeout,
                      [done = std::move(done)](Result<FrameBody> reply, bool) { done(std::move(reply)); });
    };
    return awaitCallback<Result<FrameBody>>(std::move(start));
}

void PeerClient::notify(FrameBody body)
{
    asio::post(strand_, [self = shared_from_this(), body = std::move(body)]() mutable {
        Frame frame {0, FrameKind::OneWay, 0, std::move(body)};
        if (self->connection_) {
            self->connection_->send(frame);
            return;
        }
        // Queued until the peer is connected: if the first message of an election were dropped, the election would
        // need another election timeout.
        if (self->queuedFrames_.size() < maxQueuedFrames) {
            self->queuedFrames_.push_back(std::move(frame));
        }
        self->ensureConnection();
    });
}

void PeerClient::cancel(std::uint64_t id)
{
    asio::post(strand_, [self = shared_from_this(), id] {
        if (self->pending_.erase(id) != 0 && self->connection_) {
            self->connection_->send({id, FrameKind::Cancel, 0, {}});
        }
    });
}

void PeerClient::resetConnection()
{
    asio::post(strand_, [self = shared_from_this()] {
        self->dropConnection(makeError(ErrorKind::PeerLost, self->address_.toString() + ": the connection was reset"));
    });
}

void PeerClient::dropConnection(const Error &error)
{
    if (const auto old = std::exchange(connection_, nullptr)) {
        old->close();
        failAll(error);
    }
}

void PeerClient::close()
{
    asio::post(strand_, [self = shared_from_this()] {
        if (self->connection_) {
            self->connection_->close();
        }
        self->timer_.cancel();
    });
}

void PeerClient::start(std::uint64_t id, FrameBody body, Milliseconds timeout, ReplyHandler handler)
{
    Frame frame {id, FrameKind::Request, static_cast<std::uint32_t>(timeout.count()), std::move(body)};
    const TimePoint now = std::chrono::steady_clock::now();
    pending_.emplace(id, Pending {std::move(handler), timeout, now + timeout, now});
    scheduleCheck();
    if (connection_) {
        connection_->send(frame);
        return;
    }
    queuedFrames_.push_back(std::move(frame));
    ensureConnection();
}

void PeerClient::ensureConnection()
{
    if (connection_ || isConnecting_) {
        return;
    }
    isConnecting_ = true;
    asio::co_spawn(
        strand_, [self = shared_from_this()] { return self->connectAndRead(); }, asio::detached);
}

asio::awaitable<Result<std::shared_ptr<FrameConnection>>> PeerClient::connect()
{
    const auto attempt = std::make_shared<ConnectAttempt>(strand_);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address_.host), address_.port);
    asio::steady_timer timeout(strand_, connectTimeout);
    timeout.async_wait([attempt](const boost::system::error_code &error) {
        if (!error) {
            attempt->cancel();
        }
    });
    const auto [error] = co_await attempt->socket.async_connect(endpoint, asio::as_tuple(asio::use_awaitable));
    if (error) {
        Error failure = makeError(ErrorKind::PeerLost, address_.toString() + ": " + error.message());
        failure.outcome = Outcome::NotRun;
        co_return failure;
    }
    attempt->connection = std::make_shared<FrameConnection>(std::move(attempt->socket), tls_, traffic_);
    const Result<void> opened = co_await attempt->connection->open(false);
    if (!opened) {
        co_return opened.error();
    }
    // From here on the connection does not belong to the attempt, whose timeout may pass at the same time.
    co_return std::exchange(attempt->connection, nullptr);
}

asio::awaitable<void> PeerClient::connectAndRead()
{
    const auto self = shared_from_this();
    Result<std::shared_ptr<FrameConnection>> connected = co_await connect();
    isConnecting_ = false;
    if (!connected) {
        queuedFrames_.clear();
        failAll(connected.error());
        co_return;
    }
    connection_ = connected.value();
    const std::vector<Frame> queuedFrames = std::exchange(queuedFrames_, {});
    for (const Frame &frame : queuedFrames) {
        connection_->send(frame);
    }
    const std::shared_ptr<FrameConnection> current = connection_;
    FrameConnection::FrameHandler handler = [this](Frame frame) { onFrame(std::move(frame)); };
    co_await current->read(std::move(handler));
    if (connection_ != current) {
        co_return;
    }
    connection_.reset();
    failAll(makeError(ErrorKind::PeerLost, address_.toString() + ": the connection was lost"));
}

void PeerClient::onFrame(Frame frame)
{
    const bool isLast = frame.kind == FrameKind::LastReply;
    const auto found = pending_.find(frame.id);
    // Ignores replies to cancelled and expired requests.
    if (found == pending_.end() || (!isLast && frame.kind != FrameKind::Reply)) {
        return;
    }
    const ReplyHandler handler = found->second.handler;
    if (isLast) {
        pending_.erase(found);
    } else {
        found->second.deadline = std::chrono::steady_clock::now() + found->second.timeout;
    }
    if (const auto *failure = std::get_if<FailureReply>(&frame.body)) {
        handler(failure->error, isLast);
    } else {
        handler(std::move(frame.body), isLast);
    }
}

void PeerClient::failAll(const Error &error)
{
    const std::map<std::uint64_t, Pending> failed = std::exchange(pending_, {});
    for (const auto &[id, pending] : failed) {
        pending.handler(error, true);
    }
}

void PeerClient::scheduleCheck()
{
    if (isCheckScheduled_ || pending_.empty()) {
        return;
    }
    isCheckScheduled_ = true;
    timer_.expires_after(checkInterval);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        self->isCheckScheduled_ = false;
        if (!error) {
            self->check();
        }
    });
}

bool PeerClient::expireOverdue(TimePoint now)
{
    bool isSilent = false;
    std::vector<ReplyHandler> expired;
    for (auto item = pending_.begin(); item != pending_.end();) {
        if (now < item->second.deadline) {
            ++item;
            continue;
        }
        const bool wasSilent = connection_ && connection_->hasReceivedNothingSince(item->second.sentAt);
        isSilent = isSilent || (wasSilent && now - item->second.sentAt >= minSilenceOfDeadConnection);
        expired.push_back(std::move(item->second.handler));
        item = pending_.erase(item);
    }
    for (const ReplyHandler &handler : expired) {
        handler(makeError(ErrorKind::DeadlineExceeded, address_.toString() + ": no reply in time"), true);
    }
    return isSilent;
}

void PeerClient::check()
{
    const TimePoint now = std::chrono::steady_clock::now();
    const Error silent = makeError(ErrorKind::DeadlineExceeded, address_.toString() + ": the connection is silent");
    if (expireOverdue(now)) {
        // Nothing was received while a request waited for its whole timeout: retries must not wait until the pings
        // below detect the dead connection.
        dropConnection(silent);
    }
    if (connection_ && !pending_.empty()) {
        const auto silence = now - connection_->lastReceived();
        // Detects a half-open connection by unanswered pings; the next request opens a new one.
        if (silence > silenceTimeout && now - lastPing_ < silenceTimeout) {
            dropConnection(silent);
        } else if (silence > pingIdleTime && now - lastPing_ > pingIdleTime) {
            lastPing_ = now;
            connection_->send({0, FrameKind::Ping, 0, {}});
        }
    }
    scheduleCheck();
}

} // namespace cardamompost
