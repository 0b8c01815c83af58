#include "cp_directory_server.hpp"

#include "cp_local_responses.hpp"

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t maxAddresses = 64;

} // namespace

DirectoryServer::DirectoryServer(Parts parts)
    : parts_(parts)
    , server_(
          parts.io.get_executor(), HttpLimits {},
          [this](HttpRequest &request, IHttpResponder &responder) { return onRequest(request, responder); },
          errorResponse)
{
}

Result<void> DirectoryServer::listen()
{
    return server_.listen(parts_.settings.directory);
}

void DirectoryServer::stop()
{
    server_.stopAccepting();
}

HttpResponse DirectoryServer::answerFrom(const HttpRequest &request) const
{
    const TimePoint now = std::chrono::steady_clock::now();
    const auto zone = request.query.find("zone");
    const std::string domain = zone == request.query.end() ? std::string() : zone->second;
    const std::vector<std::string> addresses = addressesFor(domain, parts_.presence.ready(now), maxAddresses);
    if (addresses.empty()) {
        return unavailableResponse("no entry is known to take requests now");
    }
    return jsonResponse(statusOk, parts_.adapter.writeDirectory(addresses, lifetimeFor(domain, now)));
}

Milliseconds DirectoryServer::lifetimeFor(const std::string &domain, TimePoint now) const
{
    // Guards callers near a directory that is frozen: a look-up there costs them a second before they ask elsewhere,
    // which shows as pauses of a second, again and again, of all programs of a failure domain. They ask the less often,
    // the more of those that they ask first are dark. Lives are short otherwise, and no longer than that, since callers
    // go on connecting to entries that froze meanwhile.
    const GatewaySettings &settings = parts_.settings;
    const double dark = parts_.presence.unreachableShare(domain, now);
    const auto more = static_cast<double>((settings.directoryLifetimeDark - settings.directoryLifetime).count());
    return settings.directoryLifetime + Milliseconds(static_cast<std::int64_t>(more * dark));
}

asio::awaitable<void> DirectoryServer::onRequest(HttpRequest &request, IHttpResponder &responder)
{
    HttpResponse response = failureResponse(statusNotFound, "no such path");
    if (request.path == parts_.adapter.paths().directory) {
        response = answerFrom(request);
    } else if (request.path == "/metrics") {
        response = HttpResponse {statusOk, {}, parts_.metrics.text()};
        response.headers["Content-Type"] = "text/plain; version=0.0.4";
    }
    co_await responder.respond(std::move(response));
}

} // namespace cardamompost
