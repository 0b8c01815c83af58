#ifndef CARDAMOMPOST_TESTS_CP_RAW_CALLER_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_RAW_CALLER_HPP_INCLUDED

#include <cardamompost/config/cp_section_reader.hpp>
#include <cardamompost/net/cp_http_message.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace cardamompost::tests
{

//! A response as its caller received it.
struct ReceivedResponse {
    //! 0 if the head did not arrive.
    unsigned status = 0;
    HttpHeaders headers;
    //! Also of a response that is not complete.
    std::string body;
    bool isComplete = false;
};

//! A caller on its own connection that also returns responses which are not complete.
class RawCaller
{
public:
    explicit RawCaller(const Address &address)
        : stream_(io_)
    {
        boost::system::error_code ignored;
        stream_.socket().connect({boost::asio::ip::make_address(address.host), address.port}, ignored);
        stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    }

    ReceivedResponse call(const std::string &method, const std::string &target, const HttpHeaders &headers,
                          const std::string &body = {})
    {
        namespace http = boost::beast::http;
        http::request<http::string_body> request(http::string_to_verb(method), target, 11);
        for (const auto &[name, value] : headers) {
            request.set(name, value);
        }
        request.body() = body;
        request.prepare_payload();
        boost::system::error_code ignored;
        http::write(stream_.socket(), request, ignored);
        return receive(method == "HEAD");
    }
    //! Sends bytes, whether or not they are a complete request.
    void send(const std::string &bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(stream_.socket(), boost::asio::buffer(bytes), ignored);
    }
    //! Receives the next response. Gives up after a timeout.
    ReceivedResponse receive(bool isHeadRequest = false)
    {
        namespace http = boost::beast::http;
        boost::system::error_code error;
        http::response_parser<http::string_body> parser;
        parser.skip(isHeadRequest);
        stream_.expires_after(timeout);
        http::async_read(stream_, buffer_, parser,
                         [&](const boost::system::error_code &result, std::size_t) { error = result; });
        io_.restart();
        io_.run();
        ReceivedResponse received;
        received.isComplete = !error && parser.is_done();
        if (parser.is_header_done()) {
            received.status = parser.get().result_int();
            for (const auto &field : parser.get()) {
                received.headers.insert_or_assign(std::string(field.name_string()), std::string(field.value()));
            }
        }
        received.body = parser.get().body();
        return received;
    }

private:
    static constexpr Milliseconds timeout {6000};

    boost::asio::io_context io_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_RAW_CALLER_HPP_INCLUDED
