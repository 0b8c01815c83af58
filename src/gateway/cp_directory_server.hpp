#ifndef CARDAMOMPOST_CP_DIRECTORY_SERVER_HPP_INCLUDED
#define CARDAMOMPOST_CP_DIRECTORY_SERVER_HPP_INCLUDED

#include "cp_gateway_settings.hpp"
#include "cp_presence_table.hpp"

#include <cardamompost/edge/cp_iplatform_adapter.hpp>
#include <cardamompost/net/cp_http_server.hpp>
#include <cardamompost/observe/cp_metrics.hpp>

namespace cardamompost
{

//! Tells callers over HTTP which entries to use.
class DirectoryServer
{
public:
    struct Parts {
        boost::asio::io_context &io;
        const GatewaySettings &settings;
        const IPlatformAdapter &adapter;
        const PresenceTable &presence;
        MetricRegistry &metrics;
    };
    explicit DirectoryServer(Parts parts);

    //! Errors: InvalidConfiguration when the address can't be used.
    Result<void> listen();
    void stop();

private:
    boost::asio::awaitable<void> onRequest(HttpRequest &request, IHttpResponder &responder);
    [[nodiscard]] HttpResponse answerFrom(const HttpRequest &request) const;
    //! How long callers of a failure domain may keep an answer.
    [[nodiscard]] Milliseconds lifetimeFor(const std::string &domain, TimePoint now) const;

    Parts parts_;
    HttpServer server_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_DIRECTORY_SERVER_HPP_INCLUDED
