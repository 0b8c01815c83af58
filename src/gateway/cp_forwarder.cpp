#include "cp_forwarder.hpp"

#include "cp_backend_exchange.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr unsigned statusInvalid = 400;
constexpr unsigned statusSpent = 402;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusTimeout = 504;
constexpr Milliseconds connectTimeout {400};
constexpr Milliseconds avoidFor {1000};
// Callers give a stream up after two seconds of silence, and a plain call near its deadline.
constexpr Milliseconds mute {900};
// Longest wait for the ledger before a turn is refused; an election of a new leader fits in.
constexpr Milliseconds beginTimeout {1750};
constexpr Milliseconds settleTimeout {6000};
constexpr Milliseconds retryAfterShort {250};
constexpr Milliseconds comeBackLater {500};
// Servers that may say that they did not run a request before its caller is told so.
constexpr unsigned maxSends = 4;
// Shares of a server's slots from which on requests leave the one that holds what they need. Plain services slow down
// before they are full, and what they gain by it is less than an engine's prompt.
constexpr double engineLoadLimit = 0.8;
constexpr double serverLoadLimit = 0.5;
constexpr unsigned maxConnectFailures = 6;
// Repeats for a route's first attempts, so that servers that fail together are not sent several times their load.
constexpr double repeatsPerAttempt = 0.2;
constexpr double repeatBurst = 20;

TimePoint timeNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

Forwarder::Repeats::Repeats()
    : budget(repeatsPerAttempt, repeatBurst)
{
}

Forwarder::Forwarder(Parts parts)
    : parts_(parts)
    , report_({parts.pool, parts.ledger, parts.log, parts.metrics})
    , access_({parts.adapter, parts.settings, parts.ledger, parts.metrics})
    , silences_(parts.metrics.counter("cardamompost_answers_given_up_total"))
    , lost_(parts.metrics.counter("cardamompost_backend_lost_total"))
    , repeated_(parts.metrics.counter("cardamompost_requests_repeated_total"))
    , resumed_(parts.metrics.counter("cardamompost_streams_resumed_total"))
{
}

void Forwarder::setTable(std::shared_ptr<const RouteTable> table)
{
    table_ = std::move(table);
    std::erase_if(repeats_, [&](const auto &item) { return !table_->hasRoute(item.first); });
}

Forwarder::Repeats *Forwarder::repeatsOf(const ForwardedRequest &request)
{
    const bool isRepeatable = request.isRepeatable() && request.route->maxAttempts > 1;
    return isRepeatable ? &repeats_[request.route->name] : nullptr;
}

asio::awaitable<void> Forwarder::forward(CallerRequest message, std::shared_ptr<CallerConnection> caller)
{
    ForwardedRequest request;
    request.arrived = timeNow();
    request.message = std::move(message);
    request.caller = std::move(caller);
    request.table = table_;
    ++inFlight_;
    request.caller->watch([&request] {
        if (request.current) {
            request.current->stream.cancel();
        }
    });
    co_await run(request);
    request.caller->watch({});
    --inFlight_;
    report_.end(request);
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
    const std::string &spread = request.facts.program.empty() ? request.facts.id : request.facts.program;
    request.service = request.table->service(RouteTable::pickService(*request.route, stableHash(spread)));
    const Milliseconds callerTimeout = request.facts.callerTimeout.value_or(request.route->timeout);
    request.deadline = request.arrived + std::min(callerTimeout, request.route->timeout);
    return true;
}

LocalResponse Forwarder::noRoute() const
{
    if (parts_.ledger.hasNewestDocument()) {
        return {statusNotFound, "no route for this host and path", Milliseconds(0)};
    }
    // Guards callers of a route that was added a moment ago: a 404 is final for them, and an entry that is cut off, or
    // to which the newest document is still on its way, can't know that there is no such route.
    return {statusUnavailable, "no route is known, and the document may be old", retryAfterShort};
}

asio::awaitable<void> Forwarder::run(ForwardedRequest &request)
{
    // Before anything is decided: a request that is refused at once is looked for by its id too.
    request.facts = readFacts(request.message, parts_.adapter.headers());
    const std::string unreadable = "the header '" + request.facts.fault + "' can't be read";
    LocalResponse refusal;
    if (!request.facts.fault.empty()) {
        refusal = {statusInvalid, unreadable, Milliseconds(0)};
    } else if (!request.table) {
        refusal = {statusUnavailable, "no configuration is known yet", comeBackLater};
    } else if (!findRoute(request)) {
        refusal = noRoute();
    } else if (const std::optional<LocalResponse> denied = access_.identify(request)) {
        refusal = *denied;
    } else if (const std::optional<LocalResponse> limited = co_await access_.admit(request)) {
        refusal = *limited;
    }
    if (!refusal.reason.empty()) {
        co_await refuse(request, refusal);
        co_return;
    }
    const bool mayGoOn = co_await beginTurn(request);
    if (mayGoOn) {
        co_await tryBackends(request);
        settle(request);
    }
}

asio::awaitable<void> Forwarder::refuse(ForwardedRequest &request, LocalResponse refusal)
{
    request.status = refusal.status;
    request.cause = refusal.reason;
    co_await request.caller->answer(refusal);
}

PlacementRequest Forwarder::placementRequestFor(const ForwardedRequest &request) const
{
    const TimePoint now = timeNow();
    PlacementRequest placement;
    placement.service = request.service->name;
    placement.failureDomain = parts_.pool.failureDomain();
    placement.rank = request.rank();
    placement.programTimeLeftMs = request.facts.programTimeLeft.value_or(Milliseconds(0)).count();
    placement.timeLeftMs = static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<Milliseconds>(request.deadline - now).count()));
    placement.unreachable = parts_.pool.avoided(request.service->name, now);
    return placement;
}

std::shared_ptr<BackendState> Forwarder::choose(ForwardedRequest &request)
{
    const TimePoint now = timeNow();
    if (now >= request.deadline) {
        return nullptr;
    }
    // The ledger's leader sees the turns of all entries; an entry chooses by itself only where that is of no use.
    if (request.begin && request.tried.empty()) {
        if (auto placed = parts_.pool.find(request.begin->backend(), now)) {
            request.isPlacedByLeader = true;
            return placed;
        }
    }
    const std::string &unit = request.stickyUnit();
    const bool isSticky = request.route->isSticky && !unit.empty();
    const PickRequest wanted {request.service->name, isSticky ? stableHash(unit) | 1U : 0, request.tried,
                              request.service->isEngine ? engineLoadLimit : serverLoadLimit};
    return parts_.pool.pick(wanted, now);
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
    begin.tokensAtMost = request.facts.tokensOutAtMost;
    begin.budget = request.facts.budget;
    begin.retentionMs = request.finish(TurnEnding::NotRun).retentionMs;
    if (request.service->isEngine) {
        begin.placement = placementRequestFor(request);
    }
    request.begin = parts_.ledger.begin(std::move(begin), std::min(request.deadline, request.arrived + beginTimeout));
    co_await request.begin->waitUntilTentative();
    request.waited = std::chrono::duration_cast<Milliseconds>(timeNow() - request.arrived);
    if (request.begin->isTentative()) {
        co_return true;
    }
    LocalResponse refusal {statusUnavailable, "the ledger can't be reached", retryAfterShort};
    if (request.begin->status() == TurnBeginStatus::BudgetExhausted) {
        refusal = {statusSpent, "the program's budget does not hold the turn", Milliseconds(0)};
    } else if (request.begin->status() == TurnBeginStatus::NoSuchTurn) {
        refusal = {statusNotFound, "no such turn to continue", Milliseconds(0)};
    } else if (request.begin->status() == TurnBeginStatus::Limited) {
        refusal = access_.limited(request.begin->retryAfter());
    } else if (request.begin->status() == TurnBeginStatus::Overloaded) {
        refusal = {statusUnavailable, "the ledger has more to write than it can", request.begin->retryAfter()};
    }
    co_await refuse(request, refusal);
    // A reservation may have been made behind an answer that was lost.
    if (refusal.status == statusUnavailable) {
        settle(request);
    }
    co_return false;
}

asio::awaitable<std::shared_ptr<BackendConnection>> Forwarder::connect(ForwardedRequest &request,
                                                                       std::shared_ptr<BackendState> backend)
{
    const TimePoint now = timeNow();
    if (auto kept = parts_.pool.takeKept(*backend, now)) {
        co_return kept;
    }
    const auto left = std::chrono::duration_cast<Milliseconds>(request.deadline - now);
    Result<std::shared_ptr<BackendConnection>> opened
        = co_await parts_.pool.connect(backend, std::min(connectTimeout, left));
    if (!opened) {
        backend->avoid(timeNow() + avoidFor);
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
    bool mayGoOn = true;
    if (Repeats *repeats = repeatsOf(request)) {
        repeats->budget.onFirstAttempt();
    }
    while (mayGoOn) {
        if (request.caller->isGone()) {
            request.cause = "the caller left";
            co_return;
        }
        if (!request.hasStarted) {
            if (const std::optional<LocalResponse> denied = access_.recheck(request, *table_)) {
                co_await refuse(request, *denied);
                co_return;
            }
        }
        const std::shared_ptr<BackendState> backend = choose(request);
        if (!backend) {
            request.sends = maxSends;
            mayGoOn = co_await goesOn(request, ExchangeEnd::NotRun, {});
            continue;
        }
        const std::string id = backend->server().id;
        request.current = co_await connect(request, backend);
        if (!request.current) {
            request.tried.insert(id);
            if (++connectFailures >= maxConnectFailures) {
                request.sends = maxSends;
            }
            mayGoOn = co_await goesOn(request, ExchangeEnd::NotRun, id);
            continue;
        }
        request.lastBackend = id;
        BackendExchange exchange({parts_.io, parts_.adapter.headers(), parts_.pool, parts_.ledger}, request, backend,
                                 request.current);
        const std::optional<Milliseconds> responseTimeout = responseTimeoutFor(request);
        const ExchangeEnd end = co_await exchange.run(responseTimeout);
        request.current.reset();
        noteAnswer(request, end, exchange.answerTime());
        // Guards against a server that takes requests and answers nothing, while its health is good: it shows only by
        // callers that give up. One that leaves early for reasons of its own says nothing.
        const bool isGivenUp = end == ExchangeEnd::CallerGone && exchange.silence().value_or(Milliseconds(0)) >= mute;
        if (end == ExchangeEnd::Unanswered || isGivenUp) {
            noteLost(*backend, request);
        } else if (exchange.answerTime()) {
            backend->noteAnswer();
        }
        ++request.sends;
        mayGoOn = co_await goesOn(request, end, id);
    }
}

void Forwarder::noteLost(BackendState &backend, const ForwardedRequest &request)
{
    lost_.add();
    if (parts_.pool.noteLost(backend, timeNow())) {
        parts_.log.warn("backend.left_out",
                        {{"backend", backend.server().id},
                         {"address", backend.server().address.toString()},
                         {"id", request.facts.id},
                         {"error", request.detail},
                         {"list_term", parts_.pool.version().term},
                         {"list_sequence", parts_.pool.version().sequence}});
    }
}

std::optional<Milliseconds> Forwarder::responseTimeoutFor(const ForwardedRequest &request)
{
    const Repeats *repeats = repeatsOf(request);
    const bool mayGoElsewhere = repeats != nullptr && request.runs + 1 < request.route->maxAttempts
        && repeats->budget.mayRetry() && !request.hasStarted;
    if (!mayGoElsewhere) {
        return std::nullopt;
    }
    return repeats->answers.responseTimeout(std::chrono::duration_cast<Milliseconds>(request.deadline - timeNow()));
}

void Forwarder::noteAnswer(const ForwardedRequest &request, ExchangeEnd end, std::optional<Milliseconds> time)
{
    Repeats *repeats = repeatsOf(request);
    if (repeats != nullptr && time && end != ExchangeEnd::NotRun) {
        repeats->answers.observe(*time);
    }
    if (end == ExchangeEnd::Silent) {
        silences_.add();
    }
}

asio::awaitable<bool> Forwarder::goesOn(ForwardedRequest &request, ExchangeEnd end, const std::string &backend)
{
    request.cause = nameOf(exchangeEndNames, end);
    request.tried.insert(backend);
    request.runs += end == ExchangeEnd::NotRun ? 0 : 1;
    const bool hasTime = timeNow() < request.deadline;
    LocalResponse final {statusBadGateway, "the backend server gave no answer", Milliseconds(0)};
    switch (end) {
    case ExchangeEnd::Answered:
    case ExchangeEnd::CallerGone:
        co_return false;
    case ExchangeEnd::NotRun:
        if (request.sends < maxSends && hasTime) {
            co_return true;
        }
        if (request.runs == 0) {
            final = {statusUnavailable, "no backend server could run it", retryAfterShort};
        }
        break;
    case ExchangeEnd::Unanswered:
    case ExchangeEnd::Silent:
    case ExchangeEnd::BrokeOff: {
        Repeats *repeats = repeatsOf(request);
        const bool isAllowed = repeats != nullptr && request.runs < request.route->maxAttempts && hasTime;
        if (isAllowed && repeats->budget.tryRetry()) {
            (request.hasStarted ? resumed_ : repeated_).add();
            co_return true;
        }
        break;
    }
    case ExchangeEnd::TimedOut:
        final = {statusTimeout, "the time for the request is over", Milliseconds(0)};
        break;
    case ExchangeEnd::NotGranted:
    case ExchangeEnd::NotDurable:
        final.reason = "the ledger did not confirm the turn";
        break;
    }
    if (request.hasStarted) {
        request.caller->abort();
        co_return false;
    }
    request.status = final.status;
    co_await request.caller->answer(final);
    co_return false;
}

void Forwarder::settle(ForwardedRequest &request)
{
    // The whole turn of a kept history is settled already, before its answer ended.
    if (!request.begin || (request.isComplete && request.route->keepsHistory)) {
        return;
    }
    const bool hasRun = request.runs > 0 || request.hasStarted || request.isComplete;
    TurnEnding ending = hasRun ? TurnEnding::Broken : TurnEnding::NotRun;
    if (request.isComplete) {
        ending = TurnEnding::Complete;
    }
    auto work = [](LedgerClient &ledger, TurnFinish finish) -> asio::awaitable<void> {
        co_await ledger.finish(std::move(finish), timeNow() + settleTimeout);
    };
    asio::co_spawn(parts_.io, work(parts_.ledger, request.finish(ending)), asio::detached);
}

} // namespace cardamompost
