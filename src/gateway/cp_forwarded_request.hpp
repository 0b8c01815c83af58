#ifndef CARDAMOMPOST_CP_FORWARDED_REQUEST_HPP_INCLUDED
#define CARDAMOMPOST_CP_FORWARDED_REQUEST_HPP_INCLUDED

#include "cp_backend_pool.hpp"
#include "cp_event_stream_scanner.hpp"
#include "cp_ledger_client.hpp"
#include "cp_request_head.hpp"
#include "cp_stream_timer.hpp"
#include "cp_stream_version_record.hpp"

#include <cardamompost/accounts/cp_scoped_id.hpp>
#include <cardamompost/quarantine/cp_request_fingerprint.hpp>
#include <cardamompost/routing/cp_route_table.hpp>

namespace cardamompost
{

//! Outcome of one attempt at a backend server.
enum class ExchangeEnd {
    //! The caller received the complete response.
    Completed,
    //! The server reported that it did not execute the request, or could not be reached.
    NotExecuted,
    //! The request was sent and got no response; it may have been executed.
    NoResponse,
    //! As NoResponse, but abandoned before the deadline because responses usually arrive much sooner.
    ResponseOverdue,
    //! The response ended before it was complete.
    Interrupted,
    //! The server may have executed the request, and its response states that it has not.
    FalsePromise,
    //! The turn's reservation was not confirmed.
    NotGranted,
    //! The end of the turn was not made durable in time.
    NotDurable,
    //! This process ends before the server has responded.
    ShuttingDown,
    CallerDisconnected,
    TimedOut,
};

inline constexpr std::array exchangeEndNames {
    Named {ExchangeEnd::Completed, "answered"},         Named {ExchangeEnd::NotExecuted, "not-run"},
    Named {ExchangeEnd::NoResponse, "unanswered"},      Named {ExchangeEnd::ResponseOverdue, "silent"},
    Named {ExchangeEnd::Interrupted, "broke-off"},      Named {ExchangeEnd::FalsePromise, "false-promise"},
    Named {ExchangeEnd::NotGranted, "not-granted"},     Named {ExchangeEnd::NotDurable, "not-durable"},
    Named {ExchangeEnd::ShuttingDown, "shutting-down"}, Named {ExchangeEnd::CallerDisconnected, "caller-gone"},
    Named {ExchangeEnd::TimedOut, "timed-out"},
};

//! How the end of a response's body is determined.
enum class ResponseFraming {
    None,
    Length,
    Chunks,
    //! The end of the connection.
    Connection,
};

inline constexpr std::array responseFramingNames {
    Named {ResponseFraming::None, "none"},
    Named {ResponseFraming::Length, "length"},
    Named {ResponseFraming::Chunks, "chunks"},
    Named {ResponseFraming::Connection, "connection"},
};

//! State of a caller's request from its arrival to its final response.
struct ForwardedRequest {
    //! Without its body.
    CallerRequest message;
    //! Shared with attempts whose writes outlive the request.
    std::shared_ptr<const std::string> body;
    std::shared_ptr<CallerConnection> caller;
    std::shared_ptr<const RouteTable> table;
    const Route *route = nullptr;
    const BackendService *service = nullptr;
    RequestMetadata metadata;
    //! Hash of the caller's key; nothing if the caller sent none or several different ones, or the document has no
    //! accounts.
    std::optional<KeyHash> keyHash;
    //! Name of the client account that holds the key; empty if there is none.
    std::string account;
    std::optional<unsigned> accountRank;
    //! True if the account has a limit.
    bool isLimited = false;
    TimePoint arrived {};
    //! Identifies this arrival of the request at the ledger, if the account has a limit; callers may repeat their ids.
    std::string admissionId;
    //! Arrival plus the shorter of the caller's and the route's timeout.
    TimePoint callerDeadline {};
    //! When the request has to have its final response: the caller's deadline, or earlier if the process ends before.
    TimePoint deadline {};
    //! The process is about to end, and the request gets its final response at once.
    bool isGivenUp = false;

    //! Set for a turn, which needs admission by the ledger.
    std::shared_ptr<PendingBegin> begin;
    EventStreamScanner eventScanner;
    //! Of the current attempt.
    StreamTimer streamTimer;
    //! True if the response is a stream of events, false if it has a body of another type.
    bool isEventStream = true;
    //! Bytes of an incomplete event, which are held back.
    std::string partialEvent;
    //! True once the head of the response has been written.
    bool hasResponseStarted = false;
    bool isResponseComplete = false;
    //! False once no other server may go on with the response.
    bool mayContinueElsewhere = true;

    //! The only version that may run the request: that of the servers that began its stream. Empty while the stream has
    //! not begun.
    std::optional<ServerVersion> requiredVersion;
    StreamVersionRecord versionRecord;
    //! Ids of servers tried.
    std::set<std::string> tried;
    //! Attempts at which the request was sent; set to the maximum to prevent another attempt.
    unsigned sends = 0;
    //! Attempts that may have been executed.
    unsigned runs = 0;
    //! Id of the run that the ledger has admitted although servers have ended under the request; 0 if there is none.
    std::uint64_t suspectRun = 0;
    //! Time spent waiting for the runs of other such requests.
    Milliseconds busyTime {0};
    //! Software versions whose servers have ended under the request.
    std::set<std::string> excludedVersions;
    //! No server may run the request any more.
    bool isQuarantined = false;
    //! A server has ended under the request, and the ledger has not recorded it yet.
    bool hasUnrecordedEnd = false;
    //! Set while the request waits for that record.
    std::shared_ptr<boost::asio::steady_timer> recordWait;
    //! Null once it is available to other requests.
    std::shared_ptr<BackendConnection> connection;
    std::string lastBackend;
    //! Software version of that server.
    std::string lastBackendVersion;
    //! As BackendServer::incarnation when the request was sent.
    std::uint64_t lastBackendIncarnation = 0;
    //! Time from arrival until the ledger admitted or refused the request, or the wait for it ended.
    Milliseconds admissionTime {0};
    bool isPlacedByLeader = false;
    //! Id of the engine from which a server was asked to fetch the prompt; empty if none was.
    std::string promptSource;
    unsigned status = 0;
    //! Framing of the last response from a server.
    ResponseFraming framing = ResponseFraming::None;
    //! How the request ended, as logged.
    std::string_view cause;
    //! Error of the last attempt that failed.
    std::string detail;

    //! Ids scoped to the account, as used in the ledger.
    [[nodiscard]] std::string turnId() const
    {
        return scopedId(account, metadata.id);
    }
    [[nodiscard]] std::string programId() const
    {
        return scopedId(account, metadata.program);
    }
    [[nodiscard]] std::string previousTurnId() const
    {
        return scopedId(account, metadata.previousTurn);
    }
    //! Priority by account, then by route; 0 is the highest.
    [[nodiscard]] unsigned rank() const
    {
        constexpr unsigned ranksPerAccount = 1000;
        const unsigned routeRank = std::min(route->rank, ranksPerAccount - 1);
        return std::min(accountRank.value_or(routeRank), ranksPerAccount) * ranksPerAccount + routeRank;
    }
    //! True for a turn of a program: a stream that keeps history or has a token budget.
    [[nodiscard]] bool isTurn() const
    {
        return route->kind == RouteKind::Streaming && (route->keepsHistory || metadata.budget >= 0);
    }
    //! True if the request may safely be executed more than once.
    [[nodiscard]] bool isRepeatable() const
    {
        return route->kind == RouteKind::Safe || (route->kind == RouteKind::Streaming && route->isResumable);
    }
    //! True if another attempt can provide what the caller still lacks: all of a response that has not started, or the
    //! events after the last one that was relayed.
    [[nodiscard]] bool canContinue() const
    {
        const bool isContinuableStream
            = route->kind == RouteKind::Streaming && route->isResumable && isEventStream && eventScanner.canContinue();
        return mayContinueElsewhere && (!hasResponseStarted || isContinuableStream);
    }
    //! True if the caller resumes a stream that another request began.
    [[nodiscard]] bool isResumption() const
    {
        return route->kind == RouteKind::Streaming && !metadata.lastEventId.empty();
    }
    //! True if the next attempt continues a stream that another request or attempt began.
    [[nodiscard]] bool continuesStream() const
    {
        return isResumption() || hasResponseStarted;
    }
    //! How long the caller may resume the stream that this request begins; 0 if it can't.
    [[nodiscard]] Milliseconds streamRetention() const
    {
        return route->isResumable ? std::max(route->timeout, metadata.callerTimeout.value_or(route->timeout))
                                  : Milliseconds(0);
    }
    [[nodiscard]] std::int64_t tokensSent()
    {
        return static_cast<std::int64_t>(eventScanner.eventCount()) * service->engine.tokensPerEvent;
    }
    //! True if the output of the response's events is stored when it ends.
    [[nodiscard]] bool keepsOutput() const
    {
        return begin && route->keepsHistory;
    }
    //! What the request takes at most while it is handled, apart from its response.
    [[nodiscard]] std::size_t memoryBytes() const;
    //! Ends all waits for the ledger and a server.
    void stopWaiting(BeginFailure reason);
    //! The message that reports the turn's end to the ledger.
    [[nodiscard]] TurnFinish makeFinish(TurnEnding ending);
    //! How long the complete stream took.
    [[nodiscard]] TurnTiming makeTiming() const;
    [[nodiscard]] RequestFingerprint fingerprint() const;
    //! Key shared by requests that benefit from reaching the same server; empty for none.
    [[nodiscard]] const std::string &stickyKey() const;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_FORWARDED_REQUEST_HPP_INCLUDED
