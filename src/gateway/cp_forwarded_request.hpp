#ifndef CARDAMOMPOST_CP_FORWARDED_REQUEST_HPP_INCLUDED
#define CARDAMOMPOST_CP_FORWARDED_REQUEST_HPP_INCLUDED

#include "cp_backend_pool.hpp"
#include "cp_event_tally.hpp"
#include "cp_ledger_client.hpp"
#include "cp_request_head.hpp"

#include <cardamompost/accounts/cp_scoped_id.hpp>
#include <cardamompost/routing/cp_route_table.hpp>

namespace cardamompost
{

//! What came of sending a request to one backend server.
enum class ExchangeEnd {
    //! The caller has its whole answer.
    Answered,
    //! The server said that it did not run it, or was never reached.
    NotRun,
    //! It was sent and not answered; it may have run.
    Unanswered,
    //! As Unanswered, and given up on before the deadline, because answers usually come much sooner.
    Silent,
    //! The answer had begun and broke off.
    BrokeOff,
    //! What was reserved for the turn was not confirmed.
    NotGranted,
    //! The end of the turn could not be made durable.
    NotDurable,
    CallerGone,
    TimedOut,
};

inline constexpr std::array exchangeEndNames {
    Named {ExchangeEnd::Answered, "answered"},      Named {ExchangeEnd::NotRun, "not-run"},
    Named {ExchangeEnd::Unanswered, "unanswered"},  Named {ExchangeEnd::Silent, "silent"},
    Named {ExchangeEnd::BrokeOff, "broke-off"},     Named {ExchangeEnd::NotGranted, "not-granted"},
    Named {ExchangeEnd::NotDurable, "not-durable"}, Named {ExchangeEnd::CallerGone, "caller-gone"},
    Named {ExchangeEnd::TimedOut, "timed-out"},
};

//! A caller's request on its way, from its arrival to its final answer.
struct ForwardedRequest {
    CallerRequest message;
    std::shared_ptr<CallerConnection> caller;
    std::shared_ptr<const RouteTable> table;
    const Route *route = nullptr;
    const BackendService *service = nullptr;
    RequestFacts facts;
    //! Of the caller's key; nothing without one, or where no keys are needed.
    std::optional<KeyHash> keyHash;
    //! Name of the client account that holds the key; empty when none does.
    std::string account;
    std::optional<unsigned> accountRank;
    //! The account's requests are counted.
    bool isLimited = false;
    TimePoint arrived {};
    //! When the caller or the route has waited long enough.
    TimePoint deadline {};

    //! Set for a turn, which the ledger has to allow.
    std::shared_ptr<PendingBegin> begin;
    EventTally tally;
    //! Bytes of an event that is not whole yet, which a resumable stream holds back.
    std::string partialEvent;
    //! True once the head of an answer has been written.
    bool hasStarted = false;
    bool isComplete = false;

    //! Servers that had the request, and how often it may have run.
    std::set<std::string> tried;
    unsigned sends = 0;
    unsigned runs = 0;
    std::shared_ptr<BackendConnection> current;
    std::string lastBackend;
    //! Until the ledger's leader had a place for the turn.
    Milliseconds waited {0};
    bool isPlacedByLeader = false;
    unsigned status = 0;
    std::string_view cause;
    std::string detail;

    //! Ids within the account, under which the ledger keeps what belongs to them.
    [[nodiscard]] std::string turnId() const
    {
        return scopedId(account, facts.id);
    }
    [[nodiscard]] std::string programId() const
    {
        return scopedId(account, facts.program);
    }
    [[nodiscard]] std::string previousTurnId() const
    {
        return scopedId(account, facts.previousTurn);
    }
    //! Of accounts first, and within one rank of accounts of routes; 0 goes first.
    [[nodiscard]] unsigned rank() const
    {
        constexpr unsigned routeRanks = 1000;
        const unsigned own = std::min(route->rank, routeRanks - 1);
        return std::min(accountRank.value_or(own), routeRanks) * routeRanks + own;
    }
    [[nodiscard]] bool isTurn() const
    {
        return route->kind == RouteKind::Streaming && (route->keepsHistory || facts.budget >= 0);
    }
    //! True when the same request may run more than once.
    [[nodiscard]] bool isRepeatable() const
    {
        return route->kind == RouteKind::Safe || (route->kind == RouteKind::Streaming && route->isResumable);
    }
    [[nodiscard]] std::int64_t tokensHandedOut()
    {
        return static_cast<std::int64_t>(tally.events()) * service->engine.tokensPerEvent;
    }
    [[nodiscard]] TurnFinish finish(TurnEnding ending);
    //! What it has in common with others that a server which had them answers faster; empty for none.
    [[nodiscard]] const std::string &stickyUnit() const;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_FORWARDED_REQUEST_HPP_INCLUDED
