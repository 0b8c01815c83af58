#ifndef CARDAMOMPOST_CP_FORWARDER_HPP_INCLUDED
#define CARDAMOMPOST_CP_FORWARDER_HPP_INCLUDED

#include "cp_access_check.hpp"
#include "cp_backend_pool.hpp"
#include "cp_forwarded_request.hpp"
#include "cp_ledger_client.hpp"
#include "cp_request_report.hpp"

#include <cardamompost/limits/cp_retry_budget.hpp>
#include <cardamompost/policy/cp_response_time_tracker.hpp>

namespace cardamompost
{

//! Sends callers' requests to backend servers and their answers back, once the ledger allows it.
//!
//! What may be repeated follows from the route's kind alone. A final answer is given as soon as it is known, and says
//! truthfully whether the request may have run.
class Forwarder
{
public:
    struct Parts {
        boost::asio::io_context &io;
        const IPlatformAdapter &adapter;
        const GatewaySettings &settings;
        BackendPool &pool;
        LedgerClient &ledger;
        EventLog &log;
        MetricRegistry &metrics;
    };

    explicit Forwarder(Parts parts);

    //! Puts a document in force for the requests that follow.
    void setTable(std::shared_ptr<const RouteTable> table);
    [[nodiscard]] const std::shared_ptr<const RouteTable> &table() const
    {
        return table_;
    }

    //! Answers one request.
    boost::asio::awaitable<void> forward(CallerRequest message, std::shared_ptr<CallerConnection> caller);
    [[nodiscard]] std::size_t inFlight() const
    {
        return inFlight_;
    }

private:
    //! What is known of a route whose requests may be repeated.
    struct Repeats {
        Repeats();

        ResponseTimeTracker answers;
        RetryBudget budget;
    };

    //! Null when the request may run on one server only.
    [[nodiscard]] Repeats *repeatsOf(const ForwardedRequest &request);
    boost::asio::awaitable<void> run(ForwardedRequest &request);
    [[nodiscard]] bool findRoute(ForwardedRequest &request);
    //! The answer to a request without a route.
    [[nodiscard]] LocalResponse noRoute() const;
    [[nodiscard]] PlacementRequest placementRequestFor(const ForwardedRequest &request) const;
    //! The next server to send to; null when there is none, or no time.
    [[nodiscard]] std::shared_ptr<BackendState> choose(ForwardedRequest &request);
    boost::asio::awaitable<bool> beginTurn(ForwardedRequest &request);
    boost::asio::awaitable<void> tryBackends(ForwardedRequest &request);
    boost::asio::awaitable<std::shared_ptr<BackendConnection>> connect(ForwardedRequest &request,
                                                                       std::shared_ptr<BackendState> backend);
    //! How long the next server may be silent; nothing when the request can't go to another one.
    [[nodiscard]] std::optional<Milliseconds> responseTimeoutFor(const ForwardedRequest &request);
    //! Ends a request that is not sent.
    boost::asio::awaitable<void> refuse(ForwardedRequest &request, LocalResponse refusal);
    void noteLost(BackendState &backend, const ForwardedRequest &request);
    void noteAnswer(const ForwardedRequest &request, ExchangeEnd end, std::optional<Milliseconds> time);
    boost::asio::awaitable<bool> goesOn(ForwardedRequest &request, ExchangeEnd end, const std::string &backend);
    void settle(ForwardedRequest &request);

    Parts parts_;
    RequestReport report_;
    AccessCheck access_;
    std::shared_ptr<const RouteTable> table_;
    //! By route.
    std::unordered_map<std::string, Repeats> repeats_;
    std::size_t inFlight_ = 0;
    Counter &silences_;
    Counter &lost_;
    Counter &repeated_;
    Counter &resumed_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_FORWARDER_HPP_INCLUDED
