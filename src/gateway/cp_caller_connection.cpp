#include "cp_caller_connection.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include <sys/socket.h>

namespace cardamompost
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
// A caller that takes nothing for so long has left without saying so.
constexpr Milliseconds writeTimeout {8000};

} // namespace

void CallerConnection::watch(std::function<void()> onGone)
{
    onGone_ = std::move(onGone);
    if (onGone_) {
        armWatch();
    }
}

void CallerConnection::armWatch()
{
    if (isArmed_ || isGone_) {
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
    const auto got = ::recv(stream_.socket().native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    const bool isEmpty = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    // Bytes are the caller's next request, which waits its turn.
    if (got > 0 || isEmpty) {
        return;
    }
    isGone_ = true;
    if (onGone_) {
        const auto onGone = std::exchange(onGone_, {});
        onGone();
    }
}

asio::awaitable<bool> CallerConnection::write(std::string bytes)
{
    stream_.expires_after(writeTimeout);
    const auto [error, written] = co_await asio::async_write(stream_, asio::buffer(bytes), asTuple);
    stream_.expires_never();
    isGone_ = isGone_ || error;
    co_return !isGone_;
}

asio::awaitable<bool> CallerConnection::answer(LocalResponse own)
{
    const std::string body = fmt::format("{{\"error\":\"{}\"}}", own.reason);
    std::string text
        = fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n", own.status,
                      std::string_view(http::obsolete_reason(http::status(own.status))), body.size());
    if (own.retryAfter.count() > 0) {
        text += fmt::format("Retry-After: {:.3f}\r\n", static_cast<double>(own.retryAfter.count()) / 1000);
    }
    if (!keepsOpen_) {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    text += body;
    co_return co_await write(std::move(text));
}

void CallerConnection::abort()
{
    keepsOpen_ = false;
    isGone_ = true;
    // A reset, so that not even an answer without a length looks whole.
    boost::system::error_code ignored;
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream_.socket().close(ignored);
}

} // namespace cardamompost
