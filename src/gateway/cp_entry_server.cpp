#include "cp_entry_server.hpp"

#include "../cardamompost/net/cp_open_acceptor.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <ctime>

namespace cardamompost
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
// The heartbeat interval grows with the number of ledger VMs, which bounds an entry's heartbeat traffic.
constexpr Milliseconds heartbeatIntervalPerVm {45};
constexpr Milliseconds minHeartbeatInterval {100};
constexpr Milliseconds maxHeartbeatInterval {300};
constexpr Milliseconds acceptRetryDelay {20};
constexpr Milliseconds retryElsewhereAfter {20};
// For a request that does not fit beside others.
constexpr Milliseconds retryWhenLessIsHeldAfter {250};
// Each idle connection holds a buffer of this size.
constexpr std::size_t firstReadBytes = 2U << 10U;
// The platform and the collector of metrics are the only clients of this listener.
constexpr int maxReadinessConnections = 32;
constexpr std::uint64_t maxReadinessBodyBytes = 64U << 10U;
constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusRequestTimeout = 408;
constexpr unsigned statusTooLarge = 413;
constexpr unsigned statusHeadersTooLarge = 431;
constexpr unsigned statusUnavailable = 503;

// Half of the process's descriptors are for connections to backend servers, which a request needs as well.
std::size_t maxCallerConnections(std::size_t descriptors)
{
    return descriptors / 2;
}

HttpLimits readinessLimits(std::shared_ptr<MemoryAccount> account)
{
    HttpLimits limits;
    limits.bodyBytes = maxReadinessBodyBytes;
    limits.connections = maxReadinessConnections;
    limits.account = std::move(account);
    return limits;
}

//! Processor time of all threads of the process.
std::chrono::nanoseconds usedProcessorTime()
{
    timespec time {};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

//! The response to a request that could not be read; nothing if the caller disconnected.
std::optional<LocalResponse> responseForReadError(const boost::system::error_code &error)
{
    if (RequestReader::isOutOfMemory(error)) {
        return LocalResponse {statusUnavailable, "requests and responses of other callers take the memory",
                              retryWhenLessIsHeldAfter};
    }
    if (error == http::error::body_limit) {
        return LocalResponse {statusTooLarge, "the body exceeds the size limit", {}};
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return LocalResponse {statusHeadersTooLarge, "the headers exceed the size limit", {}};
    }
    if (error == beast::error::timeout) {
        return LocalResponse {statusRequestTimeout, "timed out waiting for the request", {}};
    }
    const bool isMalformed = error.category() == make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
    if (isMalformed) {
        return LocalResponse {statusBadRequest, "the request is not valid HTTP/1.1", {}};
    }
    return std::nullopt;
}

} // namespace

EntryServer::EntryServer(Parts parts)
    : parts_(parts)
    , account_(*parts.account)
    , maxConnections_(maxCallerConnections(parts.settings.descriptors))
    , ledger_({parts.io, parts.settings, parts.peers, parts.log, parts.metrics})
    , pool_(parts.settings.vm, parts.settings.failureDomain, parts.metrics)
    , forwarder_({parts.io, parts.adapter, parts.settings, pool_, ledger_, parts.log, parts.metrics})
    , replica_({forwarder_, pool_, ledger_, parts.log})
    , readinessServer_(
          parts.io.get_executor(), readinessLimits(parts.account),
          [this](HttpRequest &request, IHttpResponder &responder) { return onReadinessRequest(request, responder); },
          [](const Error &error) {
              HttpResponse response;
              response.status = answerFor(error.kind).status;
              return response;
          })
    , acceptor_(parts.io)
    , timer_(parts.io)
    , load_(parts.settings.processorShare)
{
    parts_.metrics.gauge("cardamompost_entry_load", {}, [this] { return load_.load(); });
    parts_.metrics.gauge("cardamompost_caller_connections", {},
                         [this] { return static_cast<double>(connections_.size()); });
    account_.setMeasure([this] {
        for (const auto &caller : connections_) {
            caller->measureQueues();
        }
    });
}

Result<void> EntryServer::start()
{
    BOOST_OUTCOME_TRYV(openAcceptor(acceptor_, parts_.settings.front,
                                    {CallerConnection::receiveBufferBytes, CallerConnection::sendBufferBytes}));
    BOOST_OUTCOME_TRYV(readinessServer_.listen(parts_.settings.ready));
    asio::co_spawn(parts_.io, accept(), asio::detached);
    ledger_.start([this](const UpdateReply &update) {
        replica_.apply(update);
        announceReadinessChange();
    });
    sendHeartbeats();
    return boost::outcome_v2::success();
}

bool EntryServer::isReady() const
{
    return !isDraining_ && replica_.isComplete();
}

bool EntryServer::isAccepting() const
{
    return isDraining_ && acceptor_.is_open() && replica_.isComplete();
}

void EntryServer::announcePresence()
{
    ledger_.announcePresence(isReady(), isAccepting(), load_.permille());
}

void EntryServer::announceReadinessChange()
{
    if (isReady() != wasReady_) {
        wasReady_ = isReady();
        parts_.log.info("entry.readiness", {{"ready", wasReady_}});
        announcePresence();
    }
}

void EntryServer::measureLoad()
{
    const TimePoint now = std::chrono::steady_clock::now();
    const bool hasTimer = timer_.expiry() != TimePoint {};
    load_.record(now, usedProcessorTime(), hasTimer ? now - timer_.expiry() : TimePoint::duration::zero());
}

void EntryServer::sendHeartbeats()
{
    measureLoad();
    announcePresence();
    pool_.closeIdle(std::chrono::steady_clock::now());
    const Milliseconds interval = heartbeatIntervalPerVm * static_cast<int>(ledger_.heartbeatTargetCount());
    timer_.expires_after(std::clamp(interval, minHeartbeatInterval, maxHeartbeatInterval));
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            sendHeartbeats();
        }
    });
}

void EntryServer::drain(TimePoint now, const DrainSchedule &schedule)
{
    isDraining_ = true;
    forwarder_.drain().begin(now, schedule);
    // The last responses are reported before the process ends.
    ledger_.setLatestDeadline(now + (schedule.responseTime + schedule.exitTime) / 2);
    for (const auto &caller : connections_) {
        caller->closeWhenQuiet();
    }
    announceReadinessChange();
}

void EntryServer::stopAccepting()
{
    boost::system::error_code error;
    if (acceptor_.is_open()) {
        // Connections that callers consider open already.
        acceptor_.non_blocking(true, error);
        while (!error) {
            asio::ip::tcp::socket socket(parts_.io);
            acceptor_.accept(socket, error);
            if (!error) {
                startServing(std::move(socket));
            }
        }
        acceptor_.close(error);
        announcePresence();
    }
    for (const auto &caller : connections_) {
        if (caller->phase() == ConnectionPhase::Idle && !caller->hasInput()) {
            caller->stream().cancel();
        }
    }
}

void EntryServer::giveUp()
{
    hasGivenUp_ = true;
    forwarder_.drain().giveUp();
    for (const auto &caller : connections_) {
        if (caller->phase() == ConnectionPhase::Reading) {
            caller->stream().cancel();
        }
    }
}

std::size_t EntryServer::countPhase(ConnectionPhase phase) const
{
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                  [&](const auto &caller) { return caller->phase() == phase; }));
}

void EntryServer::logStopped() const
{
    forwarder_.logUnfinished();
    parts_.log.info("process.stopped",
                    {{"idle", isIdle()},
                     {"connections", connections_.size()},
                     {"in_flight", forwarder_.inFlight()},
                     {"arriving", countPhase(ConnectionPhase::Reading)},
                     {"reports", ledger_.pendingRequests()}});
}

asio::awaitable<void> EntryServer::onReadinessRequest(HttpRequest &request, IHttpResponder &responder)
{
    HttpResponse response;
    response.status = isReady() ? statusOk : statusUnavailable;
    if (request.path == "/metrics") {
        response.status = statusOk;
        response.headers["Content-Type"] = "text/plain; version=0.0.4";
        response.body = parts_.metrics.text();
    }
    co_await responder.respond(std::move(response));
}

asio::awaitable<void> EntryServer::accept()
{
    while (acceptor_.is_open()) {
        auto [error, socket] = co_await acceptor_.async_accept(asTuple);
        if (error) {
            asio::steady_timer pause(parts_.io, acceptRetryDelay);
            co_await pause.async_wait(asTuple);
            continue;
        }
        // The caller of a connection that is closed unread may try another entry.
        if (connections_.size() < maxConnections_ || makeRoomForConnection()) {
            startServing(std::move(socket));
        }
    }
}

bool EntryServer::makeRoomForConnection()
{
    ++displacedConnections_;
    // Callers send a request at once on a new connection, and may keep a used one idle.
    const auto order = [](const CallerConnection &caller) {
        const bool isUsedAndIdle = caller.phase() == ConnectionPhase::Idle && caller.hasServed();
        return std::pair(isUsedAndIdle, caller.phaseSince());
    };
    std::shared_ptr<CallerConnection> last;
    for (const auto &caller : connections_) {
        const bool waits = caller->phase() != ConnectionPhase::Responding && caller->stream().socket().is_open();
        if (waits && (!last || order(*caller) < order(*last))) {
            last = caller;
        }
    }
    if (!last) {
        return false;
    }
    last->closeIdle();
    return true;
}

void EntryServer::startServing(asio::ip::tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto caller = std::make_shared<CallerConnection>(std::move(socket), account_);
    if (isDraining_) {
        caller->closeWhenQuiet();
    }
    connections_.insert(caller);
    asio::co_spawn(parts_.io, serve(std::move(caller)), asio::detached);
}

asio::awaitable<void> EntryServer::serve(std::shared_ptr<CallerConnection> caller)
{
    co_await serveRequests(caller);
    caller->setPhase(ConnectionPhase::Closing);
    co_await caller->closeAfterWrite();
    connections_.erase(caller);
}

asio::awaitable<void> EntryServer::serveRequests(std::shared_ptr<CallerConnection> caller)
{
    beast::tcp_stream &stream = caller->stream();
    beast::flat_buffer &buffer = caller->buffer();
    while (caller->keepsOpen()) {
        const CallerBounds bounds = forwarder_.table() ? forwarder_.table()->bounds() : CallerBounds {};
        caller->setPhase(ConnectionPhase::Idle);
        if (buffer.size() == 0) {
            stream.expires_after(bounds.idleTimeout);
            const auto [error, bytesRead] = co_await stream.async_read_some(buffer.prepare(firstReadBytes), asTuple);
            // Bytes may have arrived since the wait was cancelled.
            const bool hasInput = error == asio::error::operation_aborted && caller->hasInput();
            if (error && !hasInput) {
                caller->closeIdle();
                break;
            }
            buffer.commit(bytesRead);
        }
        caller->setPhase(ConnectionPhase::Reading);
        RequestReader reader(stream, buffer, account_, caller->hold(),
                             {bounds.headerBytes, bounds.bodyBytes, bounds.headerTimeout, bounds.idleTimeout});
        boost::system::error_code error = co_await reader.readHead();
        if (!error && beast::iequals(reader.head()[http::field::expect], "100-continue")) {
            std::string interimResponse = "HTTP/1.1 100 Continue\r\n\r\n";
            co_await caller->write(std::move(interimResponse));
        }
        if (!error && !reader.isDone()) {
            error = co_await reader.readRest();
        }
        stream.expires_never();
        caller->setPhase(ConnectionPhase::Responding);
        if (error) {
            std::optional<LocalResponse> refusal = responseForReadError(error);
            if (hasGivenUp_ && error == asio::error::operation_aborted) {
                refusal = LocalResponse {statusUnavailable, "the entry is shutting down", retryElsewhereAfter};
            }
            caller->closeAfterResponse();
            if (refusal) {
                parts_.log.info("request.unreadable", {{"status", refusal->status}, {"error", error.message()}});
                co_await caller->sendResponse(*refusal);
            }
            break;
        }
        caller->setKeepsOpen(reader.head().keep_alive());
        CallerRequest request = reader.release();
        co_await forwarder_.forward(std::move(request), caller);
    }
}

} // namespace cardamompost
