#ifndef CARDAMOMPOST_CP_BACKEND_EXCHANGE_HPP_INCLUDED
#define CARDAMOMPOST_CP_BACKEND_EXCHANGE_HPP_INCLUDED

#include "cp_forwarded_request.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace cardamompost
{

//! One request on one connection to a backend server, and its answer to the caller.
class BackendExchange
{
public:
    struct Parts {
        boost::asio::io_context &io;
        const HeaderNames &names;
        BackendPool &pool;
        LedgerClient &ledger;
    };

    BackendExchange(Parts parts, ForwardedRequest &request, std::shared_ptr<BackendState> backend,
                    std::shared_ptr<BackendConnection> connection);

    //! \param responseTimeout  how long to wait for the head of an answer; nothing to wait until the request's deadline
    boost::asio::awaitable<ExchangeEnd> run(std::optional<Milliseconds> responseTimeout);
    //! From the sending to the head of the answer; nothing when there was none.
    [[nodiscard]] std::optional<Milliseconds> answerTime() const
    {
        return answerTime_;
    }

    //! How long nothing at all came of an answer; nothing once it has begun.
    [[nodiscard]] std::optional<Milliseconds> silence() const;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    struct Outgoing;

    boost::asio::awaitable<bool> send();
    boost::asio::awaitable<boost::system::error_code> readHead();
    boost::asio::awaitable<bool> discardForeign();
    boost::asio::awaitable<boost::system::error_code> readSome(std::string &bytes);
    boost::asio::awaitable<ExchangeEnd> relayComplete();
    boost::asio::awaitable<ExchangeEnd> relayStream();
    boost::asio::awaitable<bool> passOn(std::string bytes);
    boost::asio::awaitable<ExchangeEnd> endStream();
    [[nodiscard]] bool isNotExecuted() const;
    void takeReport();
    void keepConnection();
    [[nodiscard]] ExchangeEnd failed(const boost::system::error_code &error) const;
    [[nodiscard]] Milliseconds timeLeft() const;

    Parts parts_;
    ForwardedRequest &request_;
    std::shared_ptr<BackendState> backend_;
    std::shared_ptr<BackendConnection> connection_;
    InFlightGuard guard_;
    std::optional<Parser> parser_;
    std::shared_ptr<Outgoing> outgoing_;
    std::string head_;
    bool hadForeign_ = false;
    std::optional<Milliseconds> answerTime_;
    TimePoint begun_ {};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_BACKEND_EXCHANGE_HPP_INCLUDED
