#include "cp_forwarder.hpp"

#include "cp_backend_exchange.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <limits>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusPaymentRequired = 402;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;
constexpr Milliseconds connectTimeout {400};
constexpr Milliseconds connectEjectionTime {1000};
// A caller that disconnects after waiting this long counts as a failure of the server.
constexpr Milliseconds unresponsiveAfter {900};
// Longest wait for an answer of a ledger leader; leaves time for an election.
constexpr Milliseconds leaderTimeout {1750};
constexpr Milliseconds finishTimeout {6000};
constexpr Milliseconds retryAfterShort {250};
constexpr Milliseconds retryAfterLong {500};
// Attempts after which a request that was not executed is not tried again.
constexpr unsigned maxSends = 4;
// Share of a server's slots above which requests leave their sticky server. Engines have the higher limit, since a
// cached prompt saves more than other cached data.
constexpr double engineLoadLimit = 0.8;
constexpr double serverLoadLimit = 0.5;
constexpr unsigned maxConnectFailures = 6;
// Part of the process's memory that responses which are held back may take before their limits are reduced.
constexpr std::size_t heldBytesDivisor = 8;
constexpr std::size_t minHeldBytes = 8U << 20U;
// Limits retries to a share of first attempts, so that servers that fail together are not overloaded.
constexpr double retriesPerAttempt = 0.2;
constexpr double retryBurst = 20;

constexpr LocalResponse outOfMemoryResponse {
    statusUnavailable, "requests and responses of other callers take the memory", retryAfterShort};

TimePoint timeNow()
{
    return std::chrono::steady_clock::now();
}

std::uint32_t toCount(std::int64_t number)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(number, 0, std::numeric_limits<std::uint32_t>::max()));
}

//! Time until a request's deadline; 0 once it has passed.
std::uint32_t timeLeftMs(const ForwardedRequest &request)
{
    return toCount(std::max<std::int64_t>(0, toMs(request.deadline - timeNow())));
}

} // namespace

Forwarder::RetryState::RetryState()
    : budget(retriesPerAttempt, retryBurst)
{
}

Forwarder::Forwarder(Parts parts)
    : parts_(parts)
    , report_({parts.pool, parts.ledger, parts.log, parts.metrics})
    , drain_({parts.settings, parts.log, parts.metrics})
    , access_({parts.adapter, parts.settings, parts.ledger, parts.metrics})
    , incarnationCheck_({parts.adapter, parts.pool, parts.log, parts.metrics})
    , heldBytes_(std::max(minHeldBytes, parts.settings.memoryBytes / heldBytesDivisor))
    , quarantine_({parts.io, parts.pool, parts.ledger, parts.log, parts.metrics})
    , responseTimeouts_(parts.metrics.counter("cardamompost_answers_given_up_total"))
    , lostRequests_(parts.metrics.counter("cardamompost_backend_lost_total"))
    , retries_(parts.metrics.counter("cardamompost_requests_repeated_total"))
    , resumedStreams_(parts.metrics.counter("cardamompost_streams_resumed_total"))
    , promptFetches_(parts.metrics.counter("cardamompost_prompt_fetches_total"))
    , resumptions_(parts.metrics.counter("cardamompost_resumptions_total"))
    , unknownVersions_(parts.metrics.counter("cardamompost_resumptions_refused_total", {{"reason", "unknown-version"}}))
    , missingVersions_(parts.metrics.counter("cardamompost_resumptions_refused_total", {{"reason", "no-such-version"}}))
    , unconfirmedVersions_(parts.metrics.counter("cardamompost_resumptions_refused_total", {{"reason", "no-ledger"}}))
{
    parts.metrics.gauge("cardamompost_held_response_bytes", {},
                        [this] { return static_cast<double>(heldBytes_.total()); });
}

void Forwarder::setTable(std::shared_ptr<const RouteTable> table)
{
    table_ = std::move(table);
    std::erase_if(retryStates_, [&](const auto &item) { return !table_->hasRoute(item.first); });
    drain_.forgetRoutesExcept(*table_);
}

Forwarder::RetryState *Forwarder::retryStateFor(const ForwardedRequest &request)
{
    const bool isRetryable = request.isRepeatable() && request.route->maxAttempts > 1;
    return isRetryable ? &retryStates_[request.route->name] : nullptr;
}

asio::awaitable<void> Forwarder::forward(CallerRequest message, std::shared_ptr<CallerConnection> caller)
{
    ForwardedRequest request;
    request.arrived = timeNow();
    request.body = std::make_shared<const std::string>(std::move(message.body()));
    request.message = std::move(message);
    request.caller = std::move(caller);
    request.table = table_;
    drain_.add(request);
    request.caller->watchForDisconnect([&request] { request.stopWaiting(BeginFailure::CallerDisconnected); });
    co_await run(request);
    request.caller->watchForDisconnect({});
    request.caller->hold().set(HeldPart::Request, 0);
    drain_.remove(request);
    report_.end(request);
}

void Forwarder::logUnfinished() const
{
    for (const ForwardedRequest *request : drain_.inFlight()) {
        report_.unfinished(*request);
    }
}

bool Forwarder::findRoute(ForwardedRequest &request)
{
    const auto target = request.message.target();
    const std::string_view path = std::string_view(target.data(), target.size());
    const auto host = request.message[boost::beast::http::field::host];
    request.route = request.table->find({host.data(), host.size()}, path.substr(0, path.find('?')));
    if (request.route == nullptr) {
        return false;
    }
    // A resumed stream keeps its service.
    const std::string &streamId = request.isResumption() ? request.metadata.resumes : request.metadata.id;
    const std::string &splitKey = request.metadata.program.empty() ? streamId : request.metadata.program;
    request.service = request.table->service(RouteTable::pickService(*request.route, stableHash(splitKey)));
    const Milliseconds callerTimeout = request.metadata.callerTimeout.value_or(request.route->timeout);
    request.callerDeadline = request.arrived + std::min(callerTimeout, request.route->timeout);
    request.deadline = request.callerDeadline;
    return true;
}

LocalResponse Forwarder::noRouteResponse() const
{
    if (parts_.ledger.hasNewestDocument()) {
        return {statusNotFound, "no route for this host and path", Milliseconds(0)};
    }
    // A 404 is final for the caller, so it is sent only if this entry is known to have the newest document. Otherwise
    // the route may have just been added.
    return {statusUnavailable, "no route is known, and the document may be old", retryAfterShort};
}

asio::awaitable<void> Forwarder::run(ForwardedRequest &request)
{
    // Read before any refusal, so that the log line of a refused request has its id.
    request.metadata = parseRequestMetadata(request.message, parts_.adapter.headers());
    const std::string malformedReason = "header '" + request.metadata.malformedHeader + "' is malformed";
    LocalResponse refusal;
    if (!request.metadata.malformedHeader.empty()) {
        refusal = {statusBadRequest, malformedReason, Milliseconds(0)};
    } else if (!request.table) {
        refusal = {statusUnavailable, "no configuration loaded yet", retryAfterLong};
    } else if (!findRoute(request)) {
        refusal = noRouteResponse();
    } else if (!charge(request)) {
        refusal = outOfMemoryResponse;
    } else if (const std::optional<LocalResponse> shuttingDown = drain_.check(request)) {
        refusal = *shuttingDown;
    } else if (const std::optional<LocalResponse> denied = access_.identify(request)) {
        refusal = *denied;
    } else if (!parts_.pool.hasService(request.service->name)) {
        refusal = {statusUnavailable, "no backend server of the service is listed", retryAfterLong};
    } else if (const std::optional<LocalResponse> overLimit = co_await access_.admit(request)) {
        refusal = *overLimit;
    }
    if (refusal.reason.empty()) {
        if (const std::optional<LocalResponse> notResumable = co_await requireBegunVersion(request)) {
            refusal = *notResumable;
        }
    }
    if (!refusal.reason.empty()) {
        co_await refuse(request, refusal);
        co_return;
    }
    const bool mayForward = co_await beginTurn(request);
    if (mayForward) {
        co_await tryBackends(request);
        finishTurn(request);
    }
}

bool Forwarder::charge(const ForwardedRequest &request)
{
    return request.caller->hold().set(HeldPart::Request, request.memoryBytes());
}

asio::awaitable<void> Forwarder::refuse(ForwardedRequest &request, LocalResponse refusal)
{
    request.status = refusal.status;
    request.cause = refusal.reason;
    co_await request.caller->sendResponse(refusal);
}

PlacementRequest Forwarder::placementRequestFor(const ForwardedRequest &request) const
{
    const TimePoint now = timeNow();
    PlacementRequest placement;
    placement.service = request.service->name;
    placement.failureDomain = parts_.pool.failureDomain();
    placement.rank = request.rank();
    placement.programTimeLeftMs = request.metadata.programTimeLeft.value_or(Milliseconds(0)).count();
    if (request.requiredVersion) {
        placement.softwareVersion = request.requiredVersion->softwareVersion;
    }
    placement.promptTokens = toCount(request.metadata.tokensIn);
    placement.outputTokens = toCount(request.metadata.expectedOutputTokens.value_or(request.metadata.maxOutputTokens));
    placement.unreachable = parts_.pool.ejected(request.service->name, now);
    return placement;
}

std::shared_ptr<BackendState> Forwarder::chooseBackend(ForwardedRequest &request)
{
    const TimePoint now = timeNow();
    if (now >= request.deadline) {
        return nullptr;
    }
    const ServerVersion required = request.requiredVersion.value_or(ServerVersion {});
    if (request.requiredVersion && (!required.isKnown() || required.service != request.service->name)) {
        return nullptr;
    }
    // The leader's choice is preferred for the first attempt, since it sees the turns of all entries.
    if (request.begin && request.tried.empty()) {
        const auto leaderChoice = parts_.pool.find(request.begin->backend(), now);
        const bool hasVersion
            = leaderChoice && leaderChoice->server().version() == required && !leaderChoice->hasRestarted();
        const bool isExcluded
            = leaderChoice && request.excludedVersions.contains(leaderChoice->server().softwareVersion);
        // The leader may have chosen by another list, or for an earlier request with the same id.
        const bool isOfService = leaderChoice && leaderChoice->mayServe(request.service->name);
        if (isOfService && !isExcluded && (!request.requiredVersion || hasVersion)) {
            request.isPlacedByLeader = true;
            return leaderChoice;
        }
    }
    request.isPlacedByLeader = false;
    const std::string &stickyValue = request.stickyKey();
    const bool isSticky = request.route->isSticky && !stickyValue.empty();
    const PickRequest pickRequest {request.service->name,
                                   isSticky ? stableHash(stickyValue) | 1U : 0,
                                   request.tried,
                                   request.service->isEngine ? engineLoadLimit : serverLoadLimit,
                                   required.softwareVersion,
                                   request.excludedVersions};
    return parts_.pool.pick(pickRequest, now);
}

LocalResponse Forwarder::missingVersionResponse(ForwardedRequest &request)
{
    missingVersions_.add();
    // A status that this release does not know is decoded as that of a missing version.
    request.detail = "software version " + request.requiredVersion.value_or(ServerVersion {}).softwareVersion;
    return {statusUnavailable, "no backend server has the software version that began the stream", retryAfterShort};
}

asio::awaitable<std::optional<LocalResponse>> Forwarder::requireBegunVersion(ForwardedRequest &request)
{
    if (!request.isResumption()) {
        co_return std::nullopt;
    }
    resumptions_.add();
    const std::string &begun = request.metadata.resumes;
    const TimePoint patience = std::min(request.deadline, request.arrived + leaderTimeout);
    std::optional<StreamVersionReply> reply;
    if (!begun.empty()) {
        reply = co_await parts_.ledger.findStreamVersion(scopedId(request.account, begun), patience);
        if (!reply) {
            unconfirmedVersions_.add();
            co_return LocalResponse {
                statusUnavailable, "can't find the software version that began the stream: the ledger does not respond",
                retryAfterShort};
        }
    }
    if (!reply || reply->status != StreamVersionStatus::Recorded || !reply->version.isKnown()) {
        unknownVersions_.add();
        co_return LocalResponse {statusUnavailable, "the software version that began the stream is not known",
                                 retryAfterShort};
    }
    request.requiredVersion = reply->version;
    if (request.requiredVersion->service != request.service->name) {
        co_return missingVersionResponse(request);
    }
    co_return std::nullopt;
}

asio::awaitable<bool> Forwarder::beginTurn(ForwardedRequest &request)
{
    if (!request.isTurn()) {
        co_return true;
    }
    TurnBegin begin;
    begin.turn = request.turnId();
    begin.program = request.programId();
    begin.previous = request.route->keepsHistory ? request.previousTurnId() : std::string();
    begin.account = request.isLimited ? request.account : std::string();
    begin.admission = request.admissionId;
    begin.maxTokens = request.metadata.maxOutputTokens;
    begin.budget = request.metadata.budget;
    begin.retentionMs = request.makeFinish(TurnEnding::NotRun).retentionMs;
    begin.isRetained = request.route->keepsHistory;
    begin.streamRetentionMs = static_cast<std::uint32_t>(request.streamRetention().count());
    if (request.service->isEngine) {
        begin.placement = placementRequestFor(request);
    }
    begin.placement.timeLeftMs = timeLeftMs(request);
    request.begin = parts_.ledger.begin(std::move(begin), request.deadline, leaderTimeout);
    co_await request.begin->waitUntilTentative();
    request.admissionTime = std::chrono::duration_cast<Milliseconds>(timeNow() - request.arrived);
    const bool fits = charge(request);
    if (request.begin->isTentative() && fits) {
        co_return true;
    }
    if (request.caller->isDisconnected()) {
        request.cause = "the caller left";
        finishTurn(request);
        co_return false;
    }
    if (request.begin->failure() != BeginFailure::None) {
        request.detail = nameOf(beginFailureNames, request.begin->failure());
    }
    LocalResponse refusal {statusUnavailable, "the ledger can't be reached", retryAfterShort};
    if (request.isGivenUp) {
        refusal.reason = "the entry is shutting down";
    } else if (!fits) {
        refusal = outOfMemoryResponse;
    } else if (request.begin->status() == TurnBeginStatus::BudgetExhausted) {
        refusal = {statusPaymentRequired, "the turn exceeds the program's remaining budget", Milliseconds(0)};
    } else if (request.begin->status() == TurnBeginStatus::NoSuchTurn) {
        refusal = {statusNotFound, "the previous turn does not exist", Milliseconds(0)};
    } else if (request.begin->status() == TurnBeginStatus::Limited) {
        refusal = access_.overLimitResponse(request.begin->retryAfter());
    } else if (request.begin->status() == TurnBeginStatus::Overloaded) {
        refusal = {statusUnavailable, "the ledger is overloaded", request.begin->retryAfter()};
    } else if (request.begin->status() == TurnBeginStatus::NotAdmitted) {
        refusal = {statusUnavailable, "the program can't be served in time", request.begin->retryAfter()};
    } else if (request.begin->status() == TurnBeginStatus::NoSuchVersion) {
        refusal = missingVersionResponse(request);
    } else if (request.begin->status() == TurnBeginStatus::IncompleteHistory) {
        refusal = {statusUnavailable, "a part of the turn's history is lost", request.begin->retryAfter()};
    }
    co_await refuse(request, refusal);
    // The leader may have made a reservation although its reply was lost.
    if (refusal.status == statusUnavailable) {
        finishTurn(request);
    }
    co_return false;
}

asio::awaitable<std::shared_ptr<BackendConnection>> Forwarder::connect(ForwardedRequest &request,
                                                                       std::shared_ptr<BackendState> backend)
{
    const TimePoint now = timeNow();
    if (auto pooled = parts_.pool.takeIdle(*backend, now)) {
        co_return pooled;
    }
    const auto timeLeft = std::chrono::duration_cast<Milliseconds>(request.deadline - now);
    Result<std::shared_ptr<BackendConnection>> opened
        = co_await parts_.pool.connect(backend, std::min(connectTimeout, timeLeft));
    if (!opened) {
        parts_.pool.eject(*backend, timeNow() + connectEjectionTime);
        parts_.log.info("backend.unreachable",
                        {{"backend", backend->server().id},
                         {"address", backend->server().address.toString()},
                         {"error", opened.error().message},
                         {"list_term", parts_.pool.version().term},
                         {"list_sequence", parts_.pool.version().sequence}});
        co_return nullptr;
    }
    co_return opened.value();
}

asio::awaitable<void> Forwarder::tryBackends(ForwardedRequest &request)
{
    unsigned connectFailures = 0;
    bool hasNextAttempt = true;
    if (RetryState *retryState = retryStateFor(request)) {
        retryState->budget.onFirstAttempt();
    }
    while (hasNextAttempt) {
        if (request.caller->isDisconnected()) {
            request.cause = "the caller left";
            co_return;
        }
        if (const std::optional<LocalResponse> denied = recheck(request)) {
            co_await refuse(request, *denied);
            co_return;
        }
        const std::shared_ptr<BackendState> backend = chooseBackend(request);
        if (!backend) {
            hasNextAttempt = co_await finishWithoutBackend(request);
            continue;
        }
        const std::string backendId = backend->server().id;
        const QuarantineVerdict verdict = co_await quarantine_.admit(request, *backend);
        if (verdict != QuarantineVerdict::Send) {
            hasNextAttempt = verdict == QuarantineVerdict::ChooseAgain || co_await finishWithoutBackend(request);
            continue;
        }
        request.connection = co_await connect(request, backend);
        if (request.connection) {
            const bool isConfirmed = co_await incarnationCheck_.confirm(request, backend);
            // The list may have changed since the server was chosen.
            if (!isConfirmed || !backend->mayServe(request.service->name)) {
                request.connection.reset();
            }
        }
        if (!request.connection) {
            quarantine_.release(request, *backend);
            request.tried.insert(backendId);
            if (++connectFailures >= maxConnectFailures) {
                request.sends = maxSends;
            }
            hasNextAttempt = co_await retryOrFinish(request, ExchangeEnd::NotExecuted, backendId);
            continue;
        }
        request.lastBackend = backendId;
        request.lastBackendVersion = backend->server().softwareVersion;
        request.lastBackendIncarnation = backend->server().incarnation;
        BackendExchange exchange(
            {parts_.io, parts_.adapter.headers(), parts_.pool, parts_.ledger, promptFetches_, heldBytes_}, request,
            backend, request.connection);
        const std::optional<Milliseconds> responseTimeout = responseTimeoutFor(request);
        const ExchangeEnd end = co_await exchange.run(responseTimeout);
        request.connection.reset();
        recordResponse(request, end, exchange.responseTime());
        co_await quarantine_.afterAttempt(request, backend, end);
        // Detects a server that accepts requests and never responds while its health checks pass. A caller that
        // disconnects early says nothing about the server.
        const bool hasCallerGivenUp = end == ExchangeEnd::CallerDisconnected
            && exchange.timeWithoutResponse().value_or(Milliseconds(0)) >= unresponsiveAfter;
        if (end == ExchangeEnd::NoResponse || hasCallerGivenUp) {
            recordLostRequest(*backend, request);
        } else if (exchange.responseTime()) {
            backend->recordSuccess();
        }
        ++request.sends;
        hasNextAttempt = co_await retryOrFinish(request, end, backendId);
    }
}

std::optional<LocalResponse> Forwarder::recheck(ForwardedRequest &request)
{
    if (request.hasResponseStarted) {
        return std::nullopt;
    }
    if (const std::optional<LocalResponse> denied = access_.recheck(request, *table_)) {
        return denied;
    }
    return request.runs == 0 ? drain_.check(request) : std::nullopt;
}

asio::awaitable<bool> Forwarder::finishWithoutBackend(ForwardedRequest &request)
{
    request.isQuarantined = !request.excludedVersions.empty() && timeNow() < request.deadline;
    request.sends = maxSends;
    co_return co_await retryOrFinish(request, ExchangeEnd::NotExecuted, {});
}

void Forwarder::recordLostRequest(BackendState &backend, const ForwardedRequest &request)
{
    lostRequests_.add();
    if (parts_.pool.recordFailure(backend, timeNow())) {
        parts_.log.warn("backend.left_out",
                        {{"backend", backend.server().id},
                         {"address", backend.server().address.toString()},
                         {"id", request.metadata.id},
                         {"error", request.detail},
                         {"list_term", parts_.pool.version().term},
                         {"list_sequence", parts_.pool.version().sequence}});
    }
}

std::optional<Milliseconds> Forwarder::responseTimeoutFor(const ForwardedRequest &request)
{
    const RetryState *retryState = retryStateFor(request);
    const bool canRetryElsewhere = retryState != nullptr && request.runs + 1 < request.route->maxAttempts
        && retryState->budget.mayRetry() && !request.hasResponseStarted;
    if (!canRetryElsewhere) {
        return std::nullopt;
    }
    return retryState->responseTimes.responseTimeout(
        std::chrono::duration_cast<Milliseconds>(request.deadline - timeNow()));
}

void Forwarder::recordResponse(const ForwardedRequest &request, ExchangeEnd end, std::optional<Milliseconds> time)
{
    RetryState *retryState = retryStateFor(request);
    if (retryState != nullptr && time && end != ExchangeEnd::NotExecuted) {
        retryState->responseTimes.observe(*time);
    }
    if (end == ExchangeEnd::ResponseOverdue) {
        responseTimeouts_.add();
    }
}

asio::awaitable<bool> Forwarder::retryOrFinish(ForwardedRequest &request, ExchangeEnd end, const std::string &backendId)
{
    request.cause = nameOf(exchangeEndNames, end);
    request.tried.insert(backendId);
    request.runs += end == ExchangeEnd::NotExecuted ? 0 : 1;
    const bool hasTimeLeft = timeNow() < request.deadline;
    LocalResponse final {statusBadGateway, "no response from the backend server", Milliseconds(0)};
    switch (end) {
    case ExchangeEnd::Completed:
    case ExchangeEnd::CallerDisconnected:
        co_return false;
    case ExchangeEnd::NotExecuted:
        if (request.sends < maxSends && hasTimeLeft) {
            co_return true;
        }
        if (request.runs == 0 && request.isResumption() && backendId.empty()) {
            final = missingVersionResponse(request);
        } else if (request.runs == 0) {
            final = {statusUnavailable, "no backend server could execute the request", retryAfterShort};
        }
        break;
    case ExchangeEnd::NoResponse:
    case ExchangeEnd::ResponseOverdue:
    case ExchangeEnd::Interrupted: {
        RetryState *retryState = retryStateFor(request);
        const bool canRetry = retryState != nullptr && request.runs < request.route->maxAttempts && hasTimeLeft
            && request.canContinue() && !request.isQuarantined && !request.hasUnrecordedEnd;
        if (canRetry && retryState->budget.tryRetry()) {
            (request.hasResponseStarted ? resumedStreams_ : retries_).add();
            co_return true;
        }
        break;
    }
    case ExchangeEnd::TimedOut:
        final = {statusGatewayTimeout, "the request's deadline has passed", Milliseconds(0)};
        break;
    case ExchangeEnd::FalsePromise:
        final.reason = "the backend server may have run the request, and answers that it has not";
        break;
    case ExchangeEnd::ShuttingDown:
        final = {statusGatewayTimeout, "the entry is shutting down, and the backend server has not responded",
                 Milliseconds(0)};
        break;
    case ExchangeEnd::NotGranted:
    case ExchangeEnd::NotDurable:
        final.reason = "the ledger did not confirm the turn";
        break;
    }
    if (request.hasResponseStarted) {
        request.caller->abort();
        co_return false;
    }
    if (request.isQuarantined) {
        final = quarantine_.quarantinedResponse();
        request.cause = "quarantined";
    }
    request.status = final.status;
    co_await request.caller->sendResponse(final);
    co_return false;
}

void Forwarder::finishTurn(ForwardedRequest &request)
{
    // A complete turn that keeps history was finished before its stream ended.
    if (!request.begin || (request.isResponseComplete && request.route->keepsHistory)) {
        return;
    }
    const bool hasRun = request.runs > 0 || request.hasResponseStarted || request.isResponseComplete;
    TurnEnding ending = hasRun ? TurnEnding::Interrupted : TurnEnding::NotRun;
    if (request.isResponseComplete) {
        ending = TurnEnding::Complete;
    }
    auto sendFinish = [](LedgerClient &ledger, TurnFinish finish) -> asio::awaitable<void> {
        co_await ledger.finish(std::move(finish), timeNow() + finishTimeout);
    };
    asio::co_spawn(parts_.io, sendFinish(parts_.ledger, request.makeFinish(ending)), asio::detached);
}

} // namespace cardamompost
