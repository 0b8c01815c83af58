#ifndef CARDAMOMPOST_CP_API_CLIENT_HPP_INCLUDED
#define CARDAMOMPOST_CP_API_CLIENT_HPP_INCLUDED

#include <cardamompost/net/cp_http_client.hpp>

#include <boost/json/object.hpp>

#include <mutex>

namespace cardamompost::cli
{

//! A response and the address of the entry that sent it.
struct ApiAnswer {
    HttpResponse response;
    std::string entry;
};

//! Result of a streamed call, measured at the client.
struct StreamedCall {
    //! "ran", "not-run" or "unknown".
    std::string outcome;
    std::string text;
    boost::json::object final;
    boost::json::object error;
    //! Time to first token; -1 if none was received.
    Milliseconds firstToken {-1};
    Milliseconds total {0};
    //! Longest wait for an event.
    Milliseconds longestSilence {0};
    //! Number of attempts that failed or ended before the call did.
    int resumes = 0;
};

//! HTTP client that discovers the entries and fails over between them. Thread-safe.
class ApiClient
{
public:
    ApiClient(std::vector<Address> entries, std::string key);

    //! Retries a request on successive entries until one answers. Several entries may receive it, so a request with
    //! side effects needs an idempotency key. Errors: on timeout, that of the last attempt.
    boost::asio::awaitable<Result<ApiAnswer>> request(std::string method, std::string target, std::string body,
                                                      HttpHeaders headers, Milliseconds timeout);
    //! Submits a streamed call and resumes its stream at another entry when the connection breaks.
    boost::asio::awaitable<StreamedCall> streamCall(std::string program, boost::json::object body,
                                                    std::string idempotencyKey, Milliseconds timeout);
    //! Replaces the list of entries by the directory's list, unless that is empty. Errors as request().
    //! \param program  its owner is listed first; may be empty
    boost::asio::awaitable<Result<void>> refreshEntries(std::string program);

private:
    struct StreamState;

    [[nodiscard]] Address selectEntry(std::size_t attempt);
    void moveToBack(const Address &entry);
    boost::asio::awaitable<bool> streamOnce(StreamState &state, HttpCall call);

    HttpClient http_;
    std::string key_;
    std::mutex mutex_;
    std::vector<Address> entries_;
};

} // namespace cardamompost::cli

#endif // CARDAMOMPOST_CP_API_CLIENT_HPP_INCLUDED
