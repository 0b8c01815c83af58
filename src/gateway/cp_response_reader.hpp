#ifndef CARDAMOMPOST_CP_RESPONSE_READER_HPP_INCLUDED
#define CARDAMOMPOST_CP_RESPONSE_READER_HPP_INCLUDED

#include "cp_backend_pool.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace cardamompost
{

//! How the sending of a request has gone so far.
struct SendState {
    bool isWritten = false;
    //! True if writing failed with a reset, which the operating system reports only once.
    bool wasReset = false;
};

//! Reads the response to one request from a connection to a backend server.
//!
//! Whatever the server sends, and however fast: the memory in use is bounded, and reading ends at the deadline.
class ResponseReader
{
public:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    using Header = boost::beast::http::response_header<>;

    //! \param isHeadRequest  the response has no body, whatever its head says
    ResponseReader(std::shared_ptr<BackendConnection> connection, std::shared_ptr<const SendState> sending,
                   bool isHeadRequest);

    //! Reading fails with beast::error::timeout from the deadline on.
    void setDeadline(TimePoint deadline);
    //! Reads heads until that of the response to the request. Skips interim responses, and a few responses to other
    //! requests or without an id, which may follow an earlier request on the connection. A server states the id in each
    //! response.
    boost::asio::awaitable<boost::system::error_code> readHead(std::string_view idHeader, std::string_view id);
    //! Reads once from the body. \param bytes  receives what was read
    boost::asio::awaitable<boost::system::error_code> readSome(std::string &bytes);
    //! Reads the rest of an unneeded body, so that the connection can be used again. Gives up soon.
    boost::asio::awaitable<void> discardRest();

    [[nodiscard]] const Parser &parser() const
    {
        return *parser_;
    }
    [[nodiscard]] const Header &header() const
    {
        return parser_->get().base();
    }
    //! True once the whole response has been read.
    [[nodiscard]] bool isDone() const
    {
        return parser_->is_done();
    }
    //! True if bytes have arrived that are not read yet, and that may belong to an event.
    [[nodiscard]] bool hasEventToRead() const;
    //! Responses to other requests, or without an id, were read.
    [[nodiscard]] bool hadUnmatchedResponse() const
    {
        return hadUnmatchedResponse_;
    }
    //! True if the next request can be sent on the connection.
    [[nodiscard]] bool isReusable() const;
    //! How long the connection may be idle, according to the server.
    [[nodiscard]] Milliseconds idleTimeout() const;

private:
    [[nodiscard]] bool isPastDeadline() const;
    //! Reads the body of an unneeded response. \returns false if reading failed or the body is too long
    boost::asio::awaitable<bool> discardBody(std::size_t maxBytes);

    std::shared_ptr<BackendConnection> connection_;
    std::shared_ptr<const SendState> sending_;
    const bool isHeadRequest_;
    std::optional<Parser> parser_;
    TimePoint deadline_ = TimePoint::max();
    bool hadUnmatchedResponse_ = false;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_RESPONSE_READER_HPP_INCLUDED
