#include "cp_caller_connection.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace cardamompost
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
// A caller that reads nothing for this long is treated as disconnected.
constexpr Milliseconds writeTimeout {8000};
// Time for a caller to close its end, and bytes that it may send meanwhile.
constexpr Milliseconds closeTimeout {250};
constexpr std::size_t maxDiscardedBytes = 1U << 20U;
constexpr std::size_t discardBufferBytes = 4U << 10U;
// The kernel doubles the size of a buffer for its own needs.
constexpr std::size_t maxUnsentBytes = 2U * CallerConnection::sendBufferBytes;
// Bound for what a response takes, besides the bytes to write, while it can't go on: the buffers of its server's
// connection, and parts that have been received.
constexpr std::size_t relayBytes = 256U << 10U;
constexpr std::size_t maxUnreadBytes = 2U * CallerConnection::receiveBufferBytes;

} // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket, MemoryAccount &account)
    : stream_(std::move(socket))
    , hold_(account, [this] { giveWay(); })
{
    setPhase(ConnectionPhase::Idle);
}

void CallerConnection::setPhase(ConnectionPhase phase)
{
    hasServed_ = hasServed_ || phase == ConnectionPhase::Responding;
    if (phase == ConnectionPhase::Reading && hasUnreadInput_) {
        hasUnreadInput_ = false;
        chargeQueues();
    }
    phase_ = phase;
    phaseSince_ = std::chrono::steady_clock::now();
    hold_.setWaiting(phase != ConnectionPhase::Responding);
}

void CallerConnection::giveWay()
{
    if (phase_ == ConnectionPhase::Reading) {
        // The caller gets a response, which promises that the request has not run.
        stream_.cancel();
    } else {
        abort();
    }
}

void CallerConnection::chargeQueues()
{
    hold_.set(HeldPart::Queues, unsentBytes_ + (hasUnreadInput_ ? maxUnreadBytes : 0));
}

void CallerConnection::measureQueues()
{
    if (unsentBytes_ == 0) {
        return;
    }
    int bytes = 0;
    const bool isMeasured = ::ioctl(stream_.socket().native_handle(), SIOCOUTQ, &bytes) == 0;
    const std::size_t unsent = isMeasured ? std::min(unsentBytes_, static_cast<std::size_t>(bytes)) : 0;
    hold_.addProgress(unsentBytes_ - unsent);
    unsentBytes_ = unsent;
    chargeQueues();
}

void CallerConnection::watchForDisconnect(std::function<void()> onDisconnect)
{
    onDisconnect_ = std::move(onDisconnect);
    if (onDisconnect_) {
        armWatch();
    }
}

void CallerConnection::armWatch()
{
    if (isArmed_ || isDisconnected_) {
        return;
    }
    isArmed_ = true;
    stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                [self = shared_from_this()](const boost::system::error_code &error) {
                                    self->isArmed_ = false;
                                    if (!error) {
                                        self->onReadable();
                                    }
                                });
}

void CallerConnection::onReadable()
{
    char byte = 0;
    const auto received = ::recv(stream_.socket().native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    const bool isEmpty = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    // Readable bytes are the caller's next request, which is read later.
    if (received > 0) {
        hasUnreadInput_ = true;
        chargeQueues();
        return;
    }
    if (isEmpty) {
        return;
    }
    isDisconnected_ = true;
    if (onDisconnect_) {
        const auto onDisconnect = std::exchange(onDisconnect_, {});
        onDisconnect();
    }
}

asio::awaitable<bool> CallerConnection::write(std::string bytes)
{
    const auto sent = ::send(stream_.socket().native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    const std::size_t sentBytes = sent > 0 ? static_cast<std::size_t>(sent) : 0;
    unsentBytes_ = std::min(unsentBytes_ + sentBytes, maxUnsentBytes);
    chargeQueues();
    if (sentBytes < bytes.size()) {
        co_await writeSlowly(bytes, sentBytes);
    }
    co_return !isDisconnected_;
}

asio::awaitable<void> CallerConnection::writeSlowly(const std::string &bytes, std::size_t sentBytes)
{
    hold_.addProgress(sentBytes);
    hold_.setWaiting(true);
    hold_.set(HeldPart::Response, bytes.size() + relayBytes);
    stream_.expires_after(writeTimeout);
    while (sentBytes < bytes.size() && !isDisconnected_) {
        const auto [error, written] = co_await stream_.async_write_some(asio::buffer(bytes) + sentBytes, asTuple);
        isDisconnected_ = isDisconnected_ || error;
        sentBytes += written;
        hold_.addProgress(written);
    }
    stream_.expires_never();
    hold_.set(HeldPart::Response, 0);
    hold_.setWaiting(phase_ != ConnectionPhase::Responding);
    unsentBytes_ = maxUnsentBytes;
    chargeQueues();
}

asio::awaitable<bool> CallerConnection::sendResponse(LocalResponse response)
{
    const std::string body = fmt::format("{{\"error\":\"{}\"}}", response.reason);
    std::string text
        = fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n", response.status,
                      std::string_view(http::obsolete_reason(http::status(response.status))), body.size());
    if (response.retryAfter.count() > 0) {
        text += fmt::format("Retry-After: {:.3f}\r\n", static_cast<double>(response.retryAfter.count()) / 1000);
    }
    if (!settleKeepsOpen()) {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    text += body;
    co_return co_await write(std::move(text));
}

bool CallerConnection::hasInput()
{
    boost::system::error_code error;
    return buffer_.size() > 0 || (stream_.socket().available(error) > 0 && !error);
}

bool CallerConnection::settleKeepsOpen()
{
    keepsOpen_ = keepsOpen_ && (!closesWhenQuiet_ || hasInput());
    return keepsOpen();
}

void CallerConnection::closeIdle()
{
    boost::system::error_code ignored;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    stream_.close();
}

asio::awaitable<void> CallerConnection::closeAfterWrite()
{
    if (!stream_.socket().is_open()) {
        co_return;
    }
    boost::system::error_code ignored;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    // Closing with unread bytes would reset the connection, and the caller could lose the response.
    stream_.expires_after(closeTimeout);
    std::array<char, discardBufferBytes> space {};
    std::size_t discarded = 0;
    while (!isDisconnected_ && discarded < maxDiscardedBytes) {
        const auto [error, bytesRead] = co_await stream_.async_read_some(asio::buffer(space), asTuple);
        discarded += bytesRead;
        isDisconnected_ = isDisconnected_ || error;
    }
    stream_.close();
}

void CallerConnection::abort()
{
    keepsOpen_ = false;
    isDisconnected_ = true;
    // Reset rather than close: a response without a length would look complete at end of stream.
    boost::system::error_code ignored;
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream_.socket().close(ignored);
}

} // namespace cardamompost
