#include "cp_frame_connection.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <cstring>
#include <netinet/tcp.h>
#include <tuple>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t maxQueuedBytes = 128U << 20U;
constexpr std::size_t maxWriteBytes = 1U << 20U;
constexpr std::size_t readBufferBytes = 16U << 10U;
// A receive buffer that has grown beyond this is returned once its frames have been handled.
constexpr std::size_t keptBufferBytes = 256U << 10U;
constexpr int tcpUserTimeoutMs = 3000;

} // namespace

void setSocketOptions(asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    // Detects a connection whose state a middlebox dropped; by default the kernel retransmits for many minutes.
    const int timeout = tcpUserTimeoutMs;
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

FrameConnection::FrameConnection(asio::ip::tcp::socket socket, const std::shared_ptr<asio::ssl::context> &tls,
                                 PeerTraffic &traffic)
    : socket_(std::move(socket))
    , tlsContext_(tls)
    , traffic_(traffic)
    , openedAt_(std::chrono::steady_clock::now())
    , lastReceived_(openedAt_)
{
    setSocketOptions(socket_);
    if (tlsContext_) {
        tls_ = std::make_unique<asio::ssl::stream<asio::ip::tcp::socket &>>(socket_, *tlsContext_);
    }
}

void FrameConnection::chargeTo(std::shared_ptr<MemoryAccount> account)
{
    account_ = std::move(account);
    hold_.emplace(*account_, [weak = weak_from_this(), executor = socket_.get_executor()] {
        asio::post(executor, [weak] {
            if (const auto self = weak.lock()) {
                self->close();
            }
        });
    });
}

bool FrameConnection::charge(std::size_t newBytes)
{
    if (!hold_) {
        return true;
    }
    if (received_.empty() == hasPartialFrame_) {
        hasPartialFrame_ = !received_.empty();
        hold_->setWaiting(hasPartialFrame_);
    }
    hold_->addProgress(newBytes);
    return hold_->set(HeldPart::Input, received_.capacity());
}

asio::awaitable<Result<void>> FrameConnection::open(bool isServer)
{
    if (!tls_) {
        co_return boost::outcome_v2::success();
    }
    const auto side = isServer ? asio::ssl::stream_base::server : asio::ssl::stream_base::client;
    const auto [error] = co_await tls_->async_handshake(side, asTuple);
    if (error) {
        co_return makeError(ErrorKind::PeerLost, "the TLS handshake failed: " + error.message());
    }
    co_return boost::outcome_v2::success();
}

asio::awaitable<bool> FrameConnection::readMore()
{
    const std::size_t oldSize = received_.size();
    received_.resize(oldSize + readBufferBytes);
    const auto space = asio::buffer(received_.data() + oldSize, readBufferBytes);
    boost::system::error_code error;
    std::size_t count = 0;
    if (tls_) {
        std::tie(error, count) = co_await tls_->async_read_some(space, asTuple);
    } else {
        std::tie(error, count) = co_await socket_.async_read_some(space, asTuple);
    }
    received_.resize(oldSize + count);
    if (error) {
        co_return false;
    }
    lastReceived_ = std::chrono::steady_clock::now();
    traffic_.received += count;
    receivedBytes_ += count;
    co_return true;
}

bool FrameConnection::dispatchFrames(const FrameHandler &handler)
{
    std::size_t begin = 0;
    std::uint32_t length = 0;
    bool isValid = true;
    while (isValid && isOpen_ && received_.size() - begin >= sizeof(length)) {
        std::memcpy(&length, received_.data() + begin, sizeof(length));
        isValid = length <= maxFrameBytes;
        if (!isValid || received_.size() - begin - sizeof(length) < length) {
            break;
        }
        Result<Frame> frame = decodeFrame(std::string_view(received_).substr(begin + sizeof(length), length));
        begin += sizeof(length) + length;
        isValid = frame.has_value();
        if (isValid) {
            traffic_.receivedByBody[frame.value().body.index()].add(sizeof(length) + length);
        }
        if (isValid && frame.value().kind == FrameKind::Ping) {
            send({frame.value().id, FrameKind::Pong, 0, {}});
        } else if (isValid) {
            handler(std::move(frame.value()));
        }
    }
    received_.erase(0, begin);
    if (received_.size() < keptBufferBytes && received_.capacity() > keptBufferBytes) {
        received_.shrink_to_fit();
    }
    return isValid;
}

asio::awaitable<void> FrameConnection::read(FrameHandler handler)
{
    // Frames arrive many at a time, and a system call for each would cost more than the frames themselves.
    const auto self = shared_from_this();
    bool isReading = true;
    while (isReading && isOpen_) {
        const std::uint64_t before = receivedBytes_;
        isReading = co_await readMore();
        isReading = isReading && dispatchFrames(handler) && charge(receivedBytes_ - before);
    }
    close();
}

void FrameConnection::send(const Frame &frame)
{
    const std::string body = encodeFrame(frame);
    const auto length = static_cast<std::uint32_t>(body.size());
    std::string bytes(sizeof(length), '\0');
    std::memcpy(bytes.data(), &length, sizeof(length));
    bytes += body;
    traffic_.sentByBody[frame.body.index()].add(bytes.size());
    asio::post(socket_.get_executor(),
               [self = shared_from_this(), moved = std::move(bytes)]() mutable { self->enqueue(std::move(moved)); });
}

void FrameConnection::enqueue(std::string bytes)
{
    if (!isOpen_) {
        return;
    }
    queuedBytes_ += bytes.size();
    // Bounds the memory used for a peer that stopped reading; its requests fail and can be retried elsewhere.
    if (queuedBytes_ > maxQueuedBytes) {
        close();
        return;
    }
    queue_.push_back(std::move(bytes));
    if (!isWriting_) {
        isWriting_ = true;
        asio::co_spawn(
            socket_.get_executor(), [self = shared_from_this()] { return self->writeQueued(); }, asio::detached);
    }
}

asio::awaitable<bool> FrameConnection::writeBytes(std::string bytes)
{
    boost::system::error_code error;
    if (tls_) {
        const auto [failure, written] = co_await asio::async_write(*tls_, asio::buffer(bytes), asTuple);
        error = failure;
    } else {
        const auto [failure, written] = co_await asio::async_write(socket_, asio::buffer(bytes), asTuple);
        error = failure;
    }
    co_return !error;
}

asio::awaitable<void> FrameConnection::writeQueued()
{
    const auto self = shared_from_this();
    while (isOpen_ && !queue_.empty()) {
        std::string bytes;
        while (!queue_.empty() && bytes.size() < maxWriteBytes) {
            bytes += queue_.front();
            queue_.pop_front();
        }
        queuedBytes_ -= bytes.size();
        traffic_.sent += bytes.size();
        const bool isWritten = co_await writeBytes(std::move(bytes));
        if (!isWritten) {
            close();
        }
    }
    isWriting_ = false;
}

void FrameConnection::close()
{
    isOpen_ = false;
    boost::system::error_code ignored;
    socket_.close(ignored);
}

} // namespace cardamompost
