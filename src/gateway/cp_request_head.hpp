#ifndef CARDAMOMPOST_CP_REQUEST_HEAD_HPP_INCLUDED
#define CARDAMOMPOST_CP_REQUEST_HEAD_HPP_INCLUDED

#include "cp_caller_connection.hpp"

#include <cardamompost/accounts/cp_account.hpp>
#include <cardamompost/edge/cp_iplatform_adapter.hpp>

#include <boost/beast/http/fields.hpp>

#include <optional>

namespace cardamompost
{

//! Request metadata parsed from a caller's headers.
struct RequestMetadata {
    std::string id;
    std::string program;
    std::string session;
    std::string previousTurn;
    //! The caller's timeout, if given.
    std::optional<Milliseconds> callerTimeout;
    //! Time until the program's deadline; negative once it has passed.
    std::optional<Milliseconds> programTimeLeft;
    //! The program's token budget; negative for none.
    std::int64_t budget = -1;
    std::int64_t tokensIn = 0;
    std::int64_t maxOutputTokens = 0;
    //! The caller's estimate of the generated tokens, if given.
    std::optional<std::int64_t> expectedOutputTokens;
    std::string lastEventId;
    //! Id of the request that received the first event of the stream to resume; empty for none.
    std::string resumes;
    //! Key shared by requests for the same object; empty for none.
    std::string affinity;
    //! Name of a malformed header; empty if there is none.
    std::string malformedHeader;
};

[[nodiscard]] RequestMetadata parseRequestMetadata(const CallerRequest &request, const HeaderNames &names);

//! Hash of the access key; nothing if there is no key, or several different ones.
[[nodiscard]] std::optional<KeyHash> readKeyHash(const CallerRequest &request, const HeaderNames &names);

//! How the head of a request to a backend server differs from the caller's.
struct BackendHeadOptions {
    std::string_view expectedInstance;
    Milliseconds timeLeft {0};
    //! 0 (highest) to 9; negative for none.
    int priority = -1;
    //! Id of the event after which to resume a stream; empty to start from the beginning.
    std::string_view lastEventId;
    std::size_t bodyBytes = 0;
    //! Removes the caller's access key and account headers.
    bool stripsCredentials = false;
    //! Name of the client account; empty for an anonymous request.
    std::string_view account;
    //! Address of the engine from which to fetch cached parts of the prompt; empty for none.
    std::string_view promptSource;
};

//! Formats the request line and headers for a backend server, including the empty line.
//! Hop-by-hop headers and those reserved for the gateway are not forwarded.
[[nodiscard]] std::string makeBackendHead(const CallerRequest &request, const HeaderNames &names,
                                          const BackendHeadOptions &options);

//! How the body of a response to the caller is framed.
struct BodyFraming {
    //! Nothing for chunked encoding.
    std::optional<std::uint64_t> length;
    bool keepsOpen = true;
    //! False for a response without a body, such as that to HEAD; its length is what the server stated.
    bool hasBody = true;
};

//! Formats the status line and headers for the caller, including the empty line.
[[nodiscard]] std::string makeCallerHead(const boost::beast::http::response_header<> &header, const HeaderNames &names,
                                         const BodyFraming &framing);

//! Parses a decimal number and drops its fraction; nothing if the text is malformed or the number out of range.
[[nodiscard]] std::optional<std::int64_t> readNumber(std::string_view text);

//! Load that a backend server reports with a response.
struct LoadReport {
    unsigned running = 0;
    unsigned waiting = 0;
};

//! Parses "running,waiting", ignoring further items; nothing if malformed or out of range.
[[nodiscard]] std::optional<LoadReport> readLoad(std::string_view text);

//! Parses the timeout of a Keep-Alive header; nothing if it has none, 0 if it is malformed.
[[nodiscard]] std::optional<Milliseconds> readKeepAlive(std::string_view text);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_REQUEST_HEAD_HPP_INCLUDED
