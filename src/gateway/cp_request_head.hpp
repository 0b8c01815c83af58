#ifndef CARDAMOMPOST_CP_REQUEST_HEAD_HPP_INCLUDED
#define CARDAMOMPOST_CP_REQUEST_HEAD_HPP_INCLUDED

#include "cp_caller_connection.hpp"

#include <cardamompost/accounts/cp_account.hpp>
#include <cardamompost/edge/cp_iplatform_adapter.hpp>

#include <boost/beast/http/fields.hpp>

#include <optional>

namespace cardamompost
{

//! What the system reads from a caller's headers.
struct RequestFacts {
    std::string id;
    std::string program;
    std::string session;
    std::string previousTurn;
    //! How long the caller waits; nothing when it does not say.
    std::optional<Milliseconds> callerTimeout;
    //! Until the program should be finished; below 0 when it is late.
    std::optional<Milliseconds> programTimeLeft;
    //! Negative for none.
    std::int64_t budget = -1;
    std::int64_t tokensIn = 0;
    std::int64_t tokensOutAtMost = 0;
    std::string lastEventId;
    //! The same for requests that concern the same object; empty when the caller does not say.
    std::string affinity;
    //! The name of a header that can't be read; empty when all can.
    std::string fault;
};

[[nodiscard]] RequestFacts readFacts(const CallerRequest &request, const HeaderNames &names);

//! Of the access key; nothing for a request without one, or with several that differ.
[[nodiscard]] std::optional<KeyHash> readKeyHash(const CallerRequest &request, const HeaderNames &names);

//! What the system adds for one backend server.
struct SendFacts {
    std::string_view expectedInstance;
    Milliseconds timeLeft {0};
    //! 0 to 9, where 0 goes first; negative for none.
    int priority = -1;
    //! Where a stream goes on; empty for a stream from its start.
    std::string_view lastEventId;
    std::size_t bodyBytes = 0;
    //! Keys and accounts are the system's: what the caller says of them is not passed on.
    bool hidesKeys = false;
    //! Of the client account; empty for an anonymous request.
    std::string_view account;
};

//! The request line and headers for a backend server, with the empty line.
[[nodiscard]] std::string makeBackendHead(const CallerRequest &request, const HeaderNames &names,
                                          const SendFacts &facts);

//! How an answer's body is framed towards the caller.
struct BodyFraming {
    //! Nothing means chunks.
    std::optional<std::uint64_t> length;
    bool keepsOpen = true;
};

//! The status line and headers for the caller, with the empty line.
[[nodiscard]] std::string makeCallerHead(const boost::beast::http::response_header<> &header, const HeaderNames &names,
                                         const BodyFraming &framing);

//! A number, without its fraction; nothing for any other text, as one with anything behind the number, and for numbers
//! that no header here can mean.
[[nodiscard]] std::optional<std::int64_t> readNumber(std::string_view text);

//! What a backend server says of itself beside an answer.
struct LoadReport {
    unsigned running = 0;
    unsigned waiting = 0;
};

//! Reads "running,waiting" and whatever follows; nothing for other text, or counts that no server can have.
[[nodiscard]] std::optional<LoadReport> readLoad(std::string_view text);

//! For how long a Keep-Alive header says that an idle connection is kept; nothing when it does not say, 0 when that
//! can't be read.
[[nodiscard]] std::optional<Milliseconds> readKeepAlive(std::string_view text);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_REQUEST_HEAD_HPP_INCLUDED
