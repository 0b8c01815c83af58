#ifndef CARDAMOMPOST_CP_REQUEST_READER_HPP_INCLUDED
#define CARDAMOMPOST_CP_REQUEST_READER_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/limits/cp_memory_account.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace cardamompost
{

//! Limits of one request.
struct RequestLimits {
    std::uint32_t headerBytes = 0;
    std::uint64_t bodyBytes = 0;
    Milliseconds headerTimeout {0};
    //! For all that follows the header.
    Milliseconds bodyTimeout {0};
};

//! Reads a request that a client sends.
//!
//! Whatever the client sends, and however slowly: the request takes a bounded amount of memory, which is charged to the
//! connection's holder as HeldPart::Input, and reading ends at the timeouts.
class RequestReader
{
public:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    //! \param buffer  may contain the first bytes of the request
    RequestReader(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, MemoryAccount &account,
                  MemoryAccount::Holder &holder, const RequestLimits &limits);

    //! Fails with not_enough_memory if the body is known not to fit. \see isOutOfMemory()
    boost::asio::awaitable<boost::system::error_code> readHead();
    //! Reads what follows the header, if anything does.
    boost::asio::awaitable<boost::system::error_code> readRest();

    [[nodiscard]] const Parser::value_type &head() const
    {
        return parser_.get();
    }
    [[nodiscard]] bool isDone() const
    {
        return parser_.is_done();
    }
    //! The request, after which no more than the connection's buffer is charged as input.
    [[nodiscard]] Parser::value_type release();
    //! True for the error of a request that does not fit beside what other connections hold.
    [[nodiscard]] static bool isOutOfMemory(const boost::system::error_code &error);

private:
    //! Charges what has been received. \returns false if the connection has to give way
    [[nodiscard]] bool charge();

    boost::beast::tcp_stream &stream_;
    boost::beast::flat_buffer &buffer_;
    MemoryAccount &account_;
    MemoryAccount::Holder &holder_;
    const RequestLimits limits_;
    Parser parser_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_REQUEST_READER_HPP_INCLUDED
