#ifndef CARDAMOMPOST_CP_BACKEND_EXCHANGE_HPP_INCLUDED
#define CARDAMOMPOST_CP_BACKEND_EXCHANGE_HPP_INCLUDED

#include "cp_forwarded_request.hpp"
#include "cp_held_bytes.hpp"
#include "cp_response_reader.hpp"

namespace cardamompost
{

//! Sends one request over one connection to a backend server and relays the response to the caller.
class BackendExchange
{
public:
    struct Parts {
        boost::asio::io_context &io;
        const HeaderNames &names;
        BackendPool &pool;
        LedgerClient &ledger;
        //! Counts requests that name another engine as the source of their prompt.
        Counter &promptFetches;
        HeldBytes &heldBytes;
    };

    BackendExchange(Parts parts, ForwardedRequest &request, std::shared_ptr<BackendState> backend,
                    std::shared_ptr<BackendConnection> connection);
    ~BackendExchange();
    BackendExchange(const BackendExchange &) = delete;
    BackendExchange &operator=(const BackendExchange &) = delete;

    //! \param responseTimeout  time to wait for the head of the response; nothing to wait until the request's deadline
    boost::asio::awaitable<ExchangeEnd> run(std::optional<Milliseconds> responseTimeout);
    //! Time from sending the request to the head of the response; nothing if there was no response.
    [[nodiscard]] std::optional<Milliseconds> responseTime() const
    {
        return responseTime_;
    }

    //! Time since sending began; nothing once the head of a response has arrived.
    [[nodiscard]] std::optional<Milliseconds> timeWithoutResponse() const;

private:
    struct OutgoingRequest;

    //! Sends the request; a large one is written in the background. \returns false if writing failed
    boost::asio::awaitable<bool> send();
    //! Relays a response that is not an event stream; a small one only once it is complete.
    boost::asio::awaitable<ExchangeEnd> relayBuffered();
    //! Waits until the ledger has granted the turn and recorded the stream's version.
    //! \returns how the attempt ended if the stream must not be relayed
    boost::asio::awaitable<std::optional<ExchangeEnd>> waitUntilRelayable();
    boost::asio::awaitable<ExchangeEnd> relayStream();
    //! Reads once. \param chunk  receives what can be relayed, formatted for the caller
    boost::asio::awaitable<boost::system::error_code> readEvents(std::string &chunk);
    //! Records the version of a stream that its caller may resume.
    void proposeVersion();
    //! True if the response has ended and its event stream lacks the end of an event, or has not begun.
    [[nodiscard]] bool isCutOff() const;
    //! True if the turn alone would give its caller more tokens than the program's budget and one turn.
    [[nodiscard]] bool isOverBudget();
    //! Why no more of the stream may be read; empty if it is within the limits.
    [[nodiscard]] std::string_view excessOf();
    //! Ends the attempt after a stream that is not complete.
    //! \param chunk  events that precede the end
    //! \param error  why reading ended; none if the server ended the response
    boost::asio::awaitable<ExchangeEnd> breakOff(std::string chunk, boost::system::error_code error);
    //! Formats bytes of the stream for the caller, without an incomplete event at the end; empty if there is nothing to
    //! relay yet.
    [[nodiscard]] std::string makeChunk(std::string bytes);
    void startResponse();
    //! \returns false if the caller has disconnected
    boost::asio::awaitable<bool> relayChunk(std::string chunk);
    //! \param lastChunk  sent with the end
    boost::asio::awaitable<ExchangeEnd> endStream(std::string lastChunk);
    [[nodiscard]] bool hasBody() const;
    [[nodiscard]] bool isNotExecuted() const;
    //! A response with this status tells callers that the request has not run and never will.
    [[nodiscard]] bool promisesNotExecuted(unsigned status) const;
    void recordFraming();
    void recordStatusAndLoad();
    //! Returns the connection to the pool if it can be reused.
    void releaseConnection();
    //! The same in the background, once the rest of the response has been read.
    void releaseAfterRest();
    [[nodiscard]] ExchangeEnd endForError(const boost::system::error_code &error) const;
    //! \returns end, unless the attempt ended because the caller disconnected or the request was given up
    [[nodiscard]] ExchangeEnd endUnlessAbandoned(ExchangeEnd end) const;
    [[nodiscard]] Milliseconds timeLeft() const;

    Parts parts_;
    ForwardedRequest &request_;
    std::shared_ptr<BackendState> backend_;
    //! As when the request was sent; the server may restart with another one.
    const ServerVersion version_;
    std::shared_ptr<BackendConnection> connection_;
    std::shared_ptr<OutgoingRequest> outgoing_;
    std::shared_ptr<ResponseReader> reader_;
    InFlightGuard guard_;
    HeldBytes::Share held_;
    std::string responseHead_;
    bool isConnectionReleased_ = false;
    std::optional<Milliseconds> responseTime_;
    TimePoint startedAt_ {};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_BACKEND_EXCHANGE_HPP_INCLUDED
