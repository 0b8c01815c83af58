#include "cp_directory_server.hpp"

#include "cp_local_responses.hpp"

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t maxAddresses = 64;
// Part of the process's descriptors that look-ups may take.
constexpr std::size_t descriptorsDivisor = 2;
// A look-up has no body.
constexpr std::uint64_t maxBodyBytes = 64U << 10U;

HttpLimits directoryLimits(const DirectoryServer::Parts &parts)
{
    HttpLimits limits;
    limits.bodyBytes = maxBodyBytes;
    limits.connections = static_cast<int>(parts.settings.descriptors / descriptorsDivisor);
    limits.account = parts.account;
    return limits;
}

} // namespace

DirectoryServer::DirectoryServer(Parts parts)
    : parts_(parts)
    , selection_(parts.settings.nearEntriesMin, maxAddresses, stableHash(parts.settings.vm))
    , nearAnswers_(parts.metrics.counter("cardamompost_directory_answers_total", {{"entries", "near"}}))
    , remoteAnswers_(parts.metrics.counter("cardamompost_directory_answers_total", {{"entries", "remote"}}))
    , server_(
          parts.io.get_executor(), directoryLimits(parts),
          [this](HttpRequest &request, IHttpResponder &responder) { return onRequest(request, responder); },
          errorResponse)
{
}

Result<void> DirectoryServer::listen()
{
    return server_.listen(parts_.settings.directory);
}

HttpResponse DirectoryServer::directoryResponse(const HttpRequest &request)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const auto zone = request.query.find("zone");
    const std::string failureDomain = zone == request.query.end() ? std::string() : zone->second;
    const EntryChoice choice = selection_.select(failureDomain, parts_.presence.accepting(now), now);
    report(failureDomain, choice);
    if (choice.addresses.empty()) {
        return unavailableResponse("no entry accepts requests");
    }
    return jsonResponse(statusOk, parts_.adapter.writeDirectory(choice.addresses, lifetimeFor(failureDomain, now)));
}

void DirectoryServer::report(const std::string &failureDomain, const EntryChoice &choice)
{
    (choice.remote == 0 ? nearAnswers_ : remoteAnswers_).add();
    if (choice.hasChanged) {
        parts_.log.info("directory.changed",
                        {{"failure_domain", failureDomain},
                         {"near", choice.addresses.size() - choice.remote},
                         {"remote", choice.remote},
                         {"load", choice.load}});
    }
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
