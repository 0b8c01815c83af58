#ifndef CARDAMOMPOST_CP_CALLER_CONNECTION_HPP_INCLUDED
#define CARDAMOMPOST_CP_CALLER_CONNECTION_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>

namespace cardamompost
{

using CallerRequest = boost::beast::http::request<boost::beast::http::string_body>;

//! An answer that the system gives itself.
struct LocalResponse {
    unsigned status = 503;
    std::string_view reason;
    //! Set where the request has not run and coming back makes sense.
    Milliseconds retryAfter {0};
};

//! A caller's connection: writes answers, and notices when the caller leaves while one is under way.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    explicit CallerConnection(boost::asio::ip::tcp::socket socket)
        : stream_(std::move(socket))
    {
    }

    [[nodiscard]] boost::beast::tcp_stream &stream()
    {
        return stream_;
    }
    [[nodiscard]] boost::beast::flat_buffer &buffer()
    {
        return buffer_;
    }

    //! Calls back once when the caller closes; an empty function ends that.
    void watch(std::function<void()> onGone);
    [[nodiscard]] bool isGone() const
    {
        return isGone_;
    }

    //! Each gives false when the caller is gone.
    boost::asio::awaitable<bool> write(std::string bytes);
    boost::asio::awaitable<bool> answer(LocalResponse answer);

    //! After an answer that broke off, so that nobody takes it for whole.
    void abort();
    void closeAfterAnswer()
    {
        keepsOpen_ = false;
    }
    void setKeepsOpen(bool keepsOpen)
    {
        keepsOpen_ = keepsOpen;
    }
    [[nodiscard]] bool keepsOpen() const
    {
        return keepsOpen_ && !isGone_;
    }

private:
    void armWatch();
    void onReadable();

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    std::function<void()> onGone_;
    bool isArmed_ = false;
    bool isGone_ = false;
    bool keepsOpen_ = true;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CALLER_CONNECTION_HPP_INCLUDED
