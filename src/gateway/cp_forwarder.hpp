#ifndef CARDAMOMPOST_CP_FORWARDER_HPP_INCLUDED
#define CARDAMOMPOST_CP_FORWARDER_HPP_INCLUDED

#include "cp_access_check.hpp"
#include "cp_backend_pool.hpp"
#include "cp_forwarded_request.hpp"
#include "cp_held_bytes.hpp"
#include "cp_incarnation_check.hpp"
#include "cp_ledger_client.hpp"
#include "cp_quarantine_check.hpp"
#include "cp_request_drain.hpp"
#include "cp_request_report.hpp"

#include <cardamompost/limits/cp_retry_budget.hpp>
#include <cardamompost/policy/cp_response_time_tracker.hpp>

namespace cardamompost
{

//! Forwards callers' requests to backend servers and relays the responses. Turns and requests of accounts with a limit
//! need admission by the ledger first.
//!
//! A request that was not executed is retried on another server. One that may have been executed is retried only if
//! its route is safe or its stream resumable. The caller gets its final response as soon as the outcome is known; the
//! status tells whether the request may have been executed.
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

    //! Sets the route table for subsequent requests.
    void setTable(std::shared_ptr<const RouteTable> table);
    [[nodiscard]] const std::shared_ptr<const RouteTable> &table() const
    {
        return table_;
    }

    [[nodiscard]] QuarantineCheck &quarantine()
    {
        return quarantine_;
    }

    //! Handles one request, up to its final response.
    boost::asio::awaitable<void> forward(CallerRequest message, std::shared_ptr<CallerConnection> caller);
    [[nodiscard]] std::size_t inFlight() const
    {
        return drain_.inFlight().size();
    }
    [[nodiscard]] RequestDrain &drain()
    {
        return drain_;
    }
    //! Logs the requests in flight, which get no response because the process ends.
    void logUnfinished() const;

private:
    //! State of a route whose requests may be retried.
    struct RetryState {
        RetryState();

        ResponseTimeTracker responseTimes;
        RetryBudget budget;
    };

    //! Null if the request must not be retried.
    [[nodiscard]] RetryState *retryStateFor(const ForwardedRequest &request);
    boost::asio::awaitable<void> run(ForwardedRequest &request);
    //! Sets the request's route, service and deadline. \returns false if no route matches
    [[nodiscard]] bool findRoute(ForwardedRequest &request);
    //! The response to a request that matches no route.
    [[nodiscard]] LocalResponse noRouteResponse() const;
    [[nodiscard]] PlacementRequest placementRequestFor(const ForwardedRequest &request) const;
    //! The next server to try; null if there is none or the deadline has passed.
    [[nodiscard]] std::shared_ptr<BackendState> chooseBackend(ForwardedRequest &request);
    //! Finds the version that began the stream that the request resumes.
    //! \returns the response to a request that can't be resumed
    boost::asio::awaitable<std::optional<LocalResponse>> requireBegunVersion(ForwardedRequest &request);
    [[nodiscard]] LocalResponse missingVersionResponse(ForwardedRequest &request);
    //! Waits for admission if the request is a turn, and refuses one that is not admitted.
    //! \returns true if the request may be forwarded
    boost::asio::awaitable<bool> beginTurn(ForwardedRequest &request);
    boost::asio::awaitable<void> tryBackends(ForwardedRequest &request);
    //! The response to a request that must not be forwarded any more; nothing if it may be.
    [[nodiscard]] std::optional<LocalResponse> recheck(ForwardedRequest &request);
    //! Handles a request for which there is no server to try. \returns true if it should be tried again
    boost::asio::awaitable<bool> finishWithoutBackend(ForwardedRequest &request);
    //! An idle or new connection; null if the server can't be reached, which ejects it.
    boost::asio::awaitable<std::shared_ptr<BackendConnection>> connect(ForwardedRequest &request,
                                                                       std::shared_ptr<BackendState> backend);
    //! Time to wait for the head of the response; nothing if the request can't be retried on another server.
    [[nodiscard]] std::optional<Milliseconds> responseTimeoutFor(const ForwardedRequest &request);
    //! Charges what the request holds. \returns false if it does not fit beside what other callers' requests hold
    [[nodiscard]] static bool charge(const ForwardedRequest &request);
    //! Responds to a request that is not forwarded.
    boost::asio::awaitable<void> refuse(ForwardedRequest &request, LocalResponse refusal);
    void recordLostRequest(BackendState &backend, const ForwardedRequest &request);
    void recordResponse(const ForwardedRequest &request, ExchangeEnd end, std::optional<Milliseconds> time);
    //! Decides after an attempt whether to try again. If not, the caller gets a final response, or its connection is
    //! reset if a response has started.
    //! \param backendId  the server that was tried; empty if there was none
    //! \returns true if the request should be tried again
    boost::asio::awaitable<bool> retryOrFinish(ForwardedRequest &request, ExchangeEnd end,
                                               const std::string &backendId);
    //! Reports the end of a turn to the ledger in the background.
    void finishTurn(ForwardedRequest &request);

    Parts parts_;
    RequestReport report_;
    RequestDrain drain_;
    AccessCheck access_;
    IncarnationCheck incarnationCheck_;
    HeldBytes heldBytes_;
    QuarantineCheck quarantine_;
    std::shared_ptr<const RouteTable> table_;
    //! Keyed by route name.
    std::unordered_map<std::string, RetryState> retryStates_;
    Counter &responseTimeouts_;
    Counter &lostRequests_;
    Counter &retries_;
    Counter &resumedStreams_;
    Counter &promptFetches_;
    Counter &resumptions_;
    Counter &unknownVersions_;
    Counter &missingVersions_;
    Counter &unconfirmedVersions_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_FORWARDER_HPP_INCLUDED
