#include <cardamompost/net/cp_request_reader.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/read.hpp>

namespace cardamompost
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
// Body data that is received at once, beside the header.
constexpr std::size_t bodyBufferBytes = 64U << 10U;
// A connection's buffer is returned after a request if it has grown beyond this.
constexpr std::size_t keptBufferBytes = 8U << 10U;

boost::system::error_code outOfMemory()
{
    return make_error_code(boost::system::errc::not_enough_memory);
}

} // namespace

RequestReader::RequestReader(beast::tcp_stream &stream, beast::flat_buffer &buffer, MemoryAccount &account,
                             MemoryAccount::Holder &holder, const RequestLimits &limits)
    : stream_(stream)
    , buffer_(buffer)
    , account_(account)
    , holder_(holder)
    , limits_(limits)
{
    // Also bounds what the parser needs at once besides the header and the body, such as trailers.
    buffer_.max_size(std::max<std::size_t>(limits.headerBytes + bodyBufferBytes, buffer_.size()));
    parser_.header_limit(limits.headerBytes);
    parser_.body_limit(limits.bodyBytes);
    parser_.eager(true);
}

bool RequestReader::isOutOfMemory(const boost::system::error_code &error)
{
    return error == boost::system::errc::not_enough_memory;
}

bool RequestReader::charge()
{
    const std::string &body = parser_.get().body();
    // The body's capacity is reserved by its length, and takes no memory until bytes arrive.
    const std::size_t bodyBytes = parser_.content_length() ? body.size() : body.capacity();
    return holder_.set(HeldPart::Input, buffer_.capacity() + bodyBytes) && !holder_.hasGivenWay();
}

asio::awaitable<boost::system::error_code> RequestReader::readHead()
{
    stream_.expires_after(limits_.headerTimeout);
    const auto [error, bytesRead] = co_await http::async_read_header(stream_, buffer_, parser_, asTuple);
    const bool fits = charge();
    if (!fits) {
        co_return outOfMemory();
    }
    if (!error && !parser_.is_done() && parser_.content_length()
        && !account_.hasRoomFor(static_cast<std::size_t>(*parser_.content_length()))) {
        co_return outOfMemory();
    }
    co_return error;
}

asio::awaitable<boost::system::error_code> RequestReader::readRest()
{
    const TimePoint deadline = std::chrono::steady_clock::now() + limits_.bodyTimeout;
    stream_.expires_at(deadline);
    while (!parser_.is_done()) {
        // A client that is fast enough never lets the stream's timer expire.
        if (std::chrono::steady_clock::now() >= deadline) {
            co_return beast::error::timeout;
        }
        const auto [error, bytesRead] = co_await http::async_read_some(stream_, buffer_, parser_, asTuple);
        holder_.addProgress(bytesRead);
        const bool fits = charge();
        if (!fits) {
            co_return outOfMemory();
        }
        if (error) {
            co_return error;
        }
    }
    stream_.expires_never();
    co_return boost::system::error_code {};
}

RequestReader::Parser::value_type RequestReader::release()
{
    if (buffer_.size() == 0 && buffer_.capacity() > keptBufferBytes) {
        buffer_.shrink_to_fit();
    }
    holder_.set(HeldPart::Input, buffer_.capacity());
    return parser_.release();
}

} // namespace cardamompost
