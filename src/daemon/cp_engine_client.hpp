#ifndef CARDAMOMPOST_CP_ENGINE_CLIENT_HPP_INCLUDED
#define CARDAMOMPOST_CP_ENGINE_CLIENT_HPP_INCLUDED

#include <cardamompost/config/cp_configuration.hpp>
#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/net/cp_http_client.hpp>

#include <boost/json/object.hpp>

namespace cardamompost
{

//! How an engine stream ended.
enum class EngineEnd {
    Finished,
    //! No connection could be made; the engine did not receive the request.
    NotSent,
    //! The engine rejected the attempt.
    Refused,
    //! The stream was interrupted or timed out; the engine may still be running the attempt.
    Interrupted,
    //! The engine doesn't know the attempt.
    UnknownAttempt,
    //! StreamHandlers::isWanted returned false.
    Stopped,
};

struct EngineResult {
    EngineEnd end = EngineEnd::Interrupted;
    std::string message;
    std::string finishReason;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    std::int64_t cachedTokens = 0;
};

//! Client for model engines: resumable, cancellable chat completion streams, and cache management.
class EngineClient
{
public:
    //! \param position  number of tokens received in this attempt so far
    using TokenHandler = std::function<void(std::uint64_t position, std::string text)>;
    //! Called for any data received, including keep-alives; returning false ends the stream.
    using WantedHandler = std::function<bool()>;

    struct StreamHandlers {
        TokenHandler onToken;
        WantedHandler isWanted;
    };

    explicit EngineClient(HttpClient &http);

    //! Starts an attempt.
    boost::asio::awaitable<EngineResult> start(Replica replica, boost::json::object request, Milliseconds timeLeft,
                                               StreamHandlers handlers);
    //! Resumes an attempt's stream after a position.
    boost::asio::awaitable<EngineResult> resume(Replica replica, std::string attempt, std::uint64_t after,
                                                Milliseconds timeLeft, StreamHandlers handlers);
    //! Cancels an attempt. Returns true if the engine confirmed that it isn't running the attempt and never will.
    boost::asio::awaitable<bool> cancel(Replica replica, std::string attempt);
    //! Lists the programs that an engine holds cache entries for. Errors as HttpClient::request().
    boost::asio::awaitable<Result<std::vector<ProgramId>>> heldPrograms(Replica replica);
    //! Releases an engine's cache entries for a program. Returns true if the engine confirmed it.
    boost::asio::awaitable<bool> release(Replica replica, ProgramId program);

private:
    boost::asio::awaitable<EngineResult> stream(HttpCall call, StreamHandlers handlers);

    HttpClient &http_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ENGINE_CLIENT_HPP_INCLUDED
