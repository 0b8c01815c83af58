#include "cp_response_reader.hpp"

#include "cp_request_head.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>

namespace cardamompost
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t maxHeadBytes = 64U << 10U;
constexpr std::size_t readBufferBytes = 16U << 10U;
// Interim responses and responses to other requests that may precede the one to the request.
constexpr int maxSkippedResponses = 4;
// Body of a response to another request.
constexpr std::size_t maxSkippedBytes = 1U << 20U;
// A new connection costs less than reading more, or waiting for longer.
constexpr std::size_t maxDiscardedBytes = 64U << 10U;
constexpr Milliseconds discardTimeout {100};
// Used if the server states no keep-alive timeout.
constexpr Milliseconds defaultIdleTimeout {4000};
// Tenths of the stated keep-alive timeout for which a connection is reused; the rest covers a request in transit.
constexpr std::int64_t keepAliveTenths = 7;

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

bool isInterim(unsigned status)
{
    constexpr unsigned firstFinal = 200;
    return status < firstFinal;
}

} // namespace

ResponseReader::ResponseReader(std::shared_ptr<BackendConnection> connection, std::shared_ptr<const SendState> sending,
                               bool isHeadRequest)
    : connection_(std::move(connection))
    , sending_(std::move(sending))
    , isHeadRequest_(isHeadRequest)
{
    connection_->buffer.max_size(std::max(maxHeadBytes + readBufferBytes, connection_->buffer.size()));
}

void ResponseReader::setDeadline(TimePoint deadline)
{
    deadline_ = deadline;
    connection_->stream.expires_at(deadline);
}

bool ResponseReader::isPastDeadline() const
{
    // A stream's timer is cancelled by each read that succeeds, so a server that is fast enough never lets it expire.
    return std::chrono::steady_clock::now() >= deadline_;
}

asio::awaitable<boost::system::error_code> ResponseReader::readHead(std::string_view idHeader, std::string_view id)
{
    const beast::string_view idName(idHeader.data(), idHeader.size());
    for (int skipped = 0; skipped <= maxSkippedResponses; ++skipped) {
        if (isPastDeadline()) {
            co_return beast::error::timeout;
        }
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(maxHeadBytes));
        parser_->body_limit(boost::none);
        parser_->eager(true);
        parser_->skip(isHeadRequest_);
        const auto [error, bytesRead]
            = co_await http::async_read_header(connection_->stream, connection_->buffer, *parser_, asTuple);
        if (error) {
            co_return error;
        }
        if (isInterim(header().result_int())) {
            continue;
        }
        const auto found = header().find(idName);
        const bool hasId = found != header().end();
        if (hasId ? view(found->value()) == id : id.empty()) {
            co_return boost::system::error_code {};
        }
        // A late duplicate response to an earlier request on this connection, or bytes that follow its response, must
        // not reach this caller.
        hadUnmatchedResponse_ = true;
        if (!hasId && !connection_->isReused) {
            // The only response that the server has sent.
            break;
        }
        const bool isDiscarded = co_await discardBody(maxSkippedBytes);
        if (!isDiscarded) {
            break;
        }
    }
    co_return http::error::bad_value;
}

asio::awaitable<boost::system::error_code> ResponseReader::readSome(std::string &bytes)
{
    if (isPastDeadline()) {
        co_return beast::error::timeout;
    }
    std::array<char, readBufferBytes> space;
    auto &body = parser_->get().body();
    body.data = space.data();
    body.size = space.size();
    body.more = true;
    auto [error, bytesRead]
        = co_await http::async_read_some(connection_->stream, connection_->buffer, *parser_, asTuple);
    bytes.append(space.data(), space.size() - body.size);
    if (error == http::error::need_buffer) {
        error = {};
    }
    if (!error && parser_->is_done() && parser_->need_eof() && sending_->wasReset) {
        error = asio::error::connection_reset;
    }
    co_return error;
}

asio::awaitable<bool> ResponseReader::discardBody(std::size_t maxBytes)
{
    std::string bytes;
    std::size_t discarded = 0;
    boost::system::error_code error;
    while (!error && !isDone() && discarded <= maxBytes) {
        bytes.clear();
        error = co_await readSome(bytes);
        discarded += bytes.size();
    }
    co_return !error && isDone();
}

asio::awaitable<void> ResponseReader::discardRest()
{
    setDeadline(std::min(deadline_, std::chrono::steady_clock::now() + discardTimeout));
    co_await discardBody(maxDiscardedBytes);
}

bool ResponseReader::hasEventToRead() const
{
    // The parser reads the line end of a chunk together with the next chunk.
    constexpr std::size_t lineEndBytes = 2;
    boost::system::error_code error;
    return connection_->buffer.size() > lineEndBytes || (connection_->stream.socket().available(error) > 0 && !error);
}

bool ResponseReader::isReusable() const
{
    // A connection with unread or unmatched bytes is not reused.
    return isDone() && parser_->get().keep_alive() && connection_->buffer.size() == 0 && !hadUnmatchedResponse_
        && sending_->isWritten;
}

Milliseconds ResponseReader::idleTimeout() const
{
    const auto keepAlive = header().find(http::field::keep_alive);
    if (keepAlive == header().end()) {
        return defaultIdleTimeout;
    }
    const std::optional<Milliseconds> stated = readKeepAlive(view(keepAlive->value()));
    return stated ? *stated * keepAliveTenths / 10 : defaultIdleTimeout;
}

} // namespace cardamompost
