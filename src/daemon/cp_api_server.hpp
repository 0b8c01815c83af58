#ifndef CARDAMOMPOST_CP_API_SERVER_HPP_INCLUDED
#define CARDAMOMPOST_CP_API_SERVER_HPP_INCLUDED

#include "cp_caller_limits.hpp"
#include "cp_operator_api.hpp"
#include "cp_router.hpp"

#include <cardamompost/net/cp_http_server.hpp>

namespace cardamompost
{

//! HTTP server of a VM: the caller API, the operator API, health checks and metrics.
class ApiServer
{
public:
    struct Parts {
        const Settings &settings;
        ControlReplica &replica;
        ControlClient &control;
        Router &router;
        CallerAdmission &admission;
        PartitionTable &table;
        OperatorApi &operators;
        ShutdownNotice &shutdown;
        EventLog &log;
        MetricRegistry &metrics;
    };

    ApiServer(boost::asio::any_io_executor executor, Parts parts);

    //! Starts listening. Errors: InvalidConfiguration when the address can't be used.
    Result<void> start();
    void stopAccepting();
    //! Closes idle connections, and refuses requests of which only a part has arrived. To be repeated.
    void endConnections()
    {
        server_.closeIdle();
        server_.giveUp();
    }
    [[nodiscard]] int openConnections() const
    {
        return server_.openConnections();
    }
    //! Number of requests in progress, including those that are being read.
    [[nodiscard]] int active() const
    {
        return active_ + server_.arrivingRequests();
    }

private:
    boost::asio::awaitable<void> handle(HttpRequest &request, IHttpResponder &responder);
    boost::asio::awaitable<void> route(HttpRequest &request, IHttpResponder &responder);
    boost::asio::awaitable<void> handleOperator(HttpRequest &request, IHttpResponder &responder);
    boost::asio::awaitable<void> handleCaller(HttpRequest &request, IHttpResponder &responder);
    boost::asio::awaitable<void> forward(ApiRequest request, IHttpResponder &responder);
    boost::asio::awaitable<void> forwardCall(ApiRequest request, IHttpResponder &responder);

    [[nodiscard]] Result<ApiRequest> toApiRequest(const HttpRequest &request, const Caller &caller) const;
    Result<void> parseProgramRoute(const HttpRequest &request, const std::vector<std::string_view> &path,
                                   ApiRequest &api) const;
    Result<void> parseChat(const HttpRequest &request, const Caller &caller, ApiRequest &api) const;
    Result<void> parseCreation(const HttpRequest &request, const Caller &caller, ApiRequest &api) const;
    [[nodiscard]] ProgramId newProgramId(const ApiRequest &api, const ProgramId &parent) const;
    [[nodiscard]] HttpResponse listEntries(const HttpRequest &request) const;
    [[nodiscard]] HttpResponse listModels(const Caller &caller) const;
    //! Response of a route that needs no key; empty for every other route.
    [[nodiscard]] std::optional<HttpResponse> publicRoute(const HttpRequest &request) const;

    Parts parts_;
    HttpServer server_;
    std::atomic<int> active_ {0};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_API_SERVER_HPP_INCLUDED
