#ifndef CARDAMOMPOST_CP_LEDGER_API_HPP_INCLUDED
#define CARDAMOMPOST_CP_LEDGER_API_HPP_INCLUDED

#include "cp_ledger_service.hpp"

#include <cardamompost/edge/cp_iplatform_adapter.hpp>
#include <cardamompost/net/cp_http_server.hpp>

namespace cardamompost
{

//! Serves the operators' HTTP interface of a ledger VM: the route document and the retirement of VMs.
class LedgerApi
{
public:
    struct Parts {
        boost::asio::io_context &io;
        const GatewaySettings &settings;
        const IPlatformAdapter &adapter;
        LedgerService &service;
        EventLog &log;
        MetricRegistry &metrics;
        std::shared_ptr<MemoryAccount> account;
    };

    explicit LedgerApi(Parts parts);

    //! Errors: InvalidConfiguration when the control address can't be used.
    Result<void> listen();
    [[nodiscard]] HttpServer &server()
    {
        return control_;
    }

private:
    boost::asio::awaitable<void> onControl(HttpRequest &request, IHttpResponder &responder);
    boost::asio::awaitable<HttpResponse> putDocument(HttpRequest &request);
    boost::asio::awaitable<HttpResponse> getDocument(const HttpRequest &request);
    boost::asio::awaitable<HttpResponse> retire(const HttpRequest &request);
    [[nodiscard]] HttpResponse makeResponse(LedgerService::OperationResult result, const HttpRequest &request,
                                            std::string body) const;
    [[nodiscard]] HttpResponse redirect(const HttpRequest &request) const;

    Parts parts_;
    HttpServer control_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LEDGER_API_HPP_INCLUDED
