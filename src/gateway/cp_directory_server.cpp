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

HttpResponse DirectoryServer::directoryResponse(const HttpRequest &request) const
{
    const TimePoint now = std::chrono::steady_clock::now();
    const auto zone = request.query.find("zone");
    const std::string failureDomain = zone == request.query.end() ? std::string() : zone->second;
    const std::vector<std::string> addresses
        = addressesFor(failureDomain, parts_.presence.ready(now), maxAddresses, stableHash(parts_.settings.vm));
    if (addresses.empty()) {
        return unavailableResponse("no entry is ready");
    }
    return jsonResponse(statusOk, parts_.adapter.writeDirectory(addresses, lifetimeFor(failureDomain, now)));
}

Milliseconds DirectoryServer::lifetimeFor(const std::string &failureDomain, TimePoint now) const
{
    // A lookup at an unreachable directory delays the caller until it times out and asks another, so callers should ask
    // less often the more of their directories are unreachable. Lifetimes are short otherwise, because a cached
    // response may list an entry that has failed since.
    const GatewaySettings &settings = parts_.settings;
    const double unreachableShare = parts_.presence.unreachableShare(failureDomain, now);
    const auto extension
        = static_cast<double>((settings.directoryLifetimeUnreachable - settings.directoryLifetime).count());
    return settings.directoryLifetime + Milliseconds(static_cast<std::int64_t>(extension * unreachableShare));
}

asio::awaitable<void> DirectoryServer::onRequest(HttpRequest &request, IHttpResponder &responder)
{
    HttpResponse response = failureResponse(statusNotFound, "no such path");
    if (request.path == parts_.adapter.paths().directory) {
        response = directoryResponse(request);
    } else if (request.path == "/metrics") {
        response = HttpResponse {statusOk, {}, parts_.metrics.text()};
        response.headers["Content-Type"] = "text/plain; version=0.0.4";
    }
    co_await responder.respond(std::move(response));
}

} // namespace cardamompost
