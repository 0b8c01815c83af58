#ifndef CARDAMOMPOST_CP_DIRECTORY_SERVER_HPP_INCLUDED
#define CARDAMOMPOST_CP_DIRECTORY_SERVER_HPP_INCLUDED

#include "cp_gateway_settings.hpp"
#include "cp_presence_table.hpp"

#include <cardamompost/edge/cp_iplatform_adapter.hpp>
#include <cardamompost/net/cp_http_server.hpp>
#include <cardamompost/observe/cp_event_log.hpp>
#include <cardamompost/observe/cp_metrics.hpp>

namespace cardamompost
{

//! Serves the list of ready entries to callers over HTTP; while there are none, of those that still accept requests.
class DirectoryServer
{
public:
    struct Parts {
        boost::asio::io_context &io;
        const GatewaySettings &settings;
        const IPlatformAdapter &adapter;
        const PresenceTable &presence;
        EventLog &log;
        MetricRegistry &metrics;
        std::shared_ptr<MemoryAccount> account;
    };
    explicit DirectoryServer(Parts parts);

    //! Errors: InvalidConfiguration if the address can't be bound.
    Result<void> listen();
    [[nodiscard]] HttpServer &server()
    {
        return server_;
    }

private:
    boost::asio::awaitable<void> onRequest(HttpRequest &request, IHttpResponder &responder);
    [[nodiscard]] HttpResponse directoryResponse(const HttpRequest &request);
    void report(const std::string &failureDomain, const EntryChoice &choice);
    //! How long callers in a failure domain may cache a response.
    [[nodiscard]] Milliseconds lifetimeFor(const std::string &failureDomain, TimePoint now) const;

    Parts parts_;
    EntrySelection selection_;
    Counter &nearAnswers_;
    Counter &remoteAnswers_;
    HttpServer server_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_DIRECTORY_SERVER_HPP_INCLUDED
