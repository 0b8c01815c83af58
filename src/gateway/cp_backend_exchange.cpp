#include "cp_backend_exchange.hpp"

#include "cp_prompt_source.hpp"

#include <cardamompost/policy/cp_turn_priority.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

namespace cardamompost
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t maxResponseHeadBytes = 64U << 10U;
constexpr std::size_t readBufferBytes = 16U << 10U;
// Responses up to this size are buffered until they are complete, so that the request can still be retried.
constexpr std::size_t maxBufferedResponseBytes = 256U << 10U;
// Lets the server's own timeout response arrive, which is more specific than one from the gateway.
constexpr Milliseconds deadlineSlack {80};
// Larger requests are written while the response is being read.
constexpr std::size_t inlineSendBytes = 12U << 10U;
constexpr int maxUnmatchedResponses = 4;
// Used if the server states no keep-alive timeout.
constexpr Milliseconds defaultIdleTimeout {4000};
// Tenths of the stated keep-alive timeout for which a connection is reused; the rest covers a request in transit.
constexpr std::int64_t keepAliveTenths = 7;
// For a stream that ends at its deadline; its caller may wait a little longer for the answer.
constexpr Milliseconds minCommitTimeout {250};
constexpr unsigned statusMisdirected = 421;
constexpr unsigned statusOk = 200;
constexpr unsigned statusNoContent = 204;
constexpr unsigned statusNotModified = 304;

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

TimePoint timeNow()
{
    return std::chrono::steady_clock::now();
}

//! A response of a streaming route without a type is an event stream.
bool isEventStream(const http::response_header<> &header)
{
    constexpr std::string_view type = "text/event-stream";
    const auto found = header.find(http::field::content_type);
    return found == header.end() || beast::iequals(found->value().substr(0, type.size()), type);
}

} // namespace

//! A request as written to the server; lives until the write has ended.
struct BackendExchange::OutgoingRequest {
    std::string head;
    std::string_view history;
    std::string_view body;
    //! Owns the bytes that the history view refers to.
    std::shared_ptr<PendingBegin> begin;
    //! Holds the body while a large request is written.
    std::string bodyCopy;
    bool isWritten = false;
    //! True if writing failed with a reset, which the operating system reports only once.
    bool wasReset = false;

    [[nodiscard]] std::array<asio::const_buffer, 3> buffers() const
    {
        return {asio::buffer(head), asio::buffer(history.data(), history.size()),
                asio::buffer(body.data(), body.size())};
    }
    [[nodiscard]] std::size_t size() const
    {
        return head.size() + history.size() + body.size();
    }
};

BackendExchange::BackendExchange(Parts parts, ForwardedRequest &request, std::shared_ptr<BackendState> backend,
                                 std::shared_ptr<BackendConnection> connection)
    : parts_(parts)
    , request_(request)
    , backend_(std::move(backend))
    , version_(backend_->server().version())
    , connection_(std::move(connection))
    , guard_(backend_)
{
}

Milliseconds BackendExchange::timeLeft() const
{
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(request_.deadline - timeNow()));
}

ExchangeEnd BackendExchange::endForError(const boost::system::error_code &error) const
{
    request_.detail = error.message();
    if (request_.caller->isDisconnected()) {
        return ExchangeEnd::CallerDisconnected;
    }
    if (error == beast::error::timeout) {
        return ExchangeEnd::TimedOut;
    }
    return request_.hasResponseStarted ? ExchangeEnd::Interrupted : ExchangeEnd::NoResponse;
}

asio::awaitable<ExchangeEnd> BackendExchange::run(std::optional<Milliseconds> responseTimeout)
{
    startedAt_ = timeNow();
    request_.streamTimer.start(startedAt_, request_.eventScanner.eventCount());
    if (!request_.begin) {
        proposeVersion();
    }
    const TimePoint deadline = request_.deadline + deadlineSlack;
    // Without a response timeout, a lost response would go unnoticed until the deadline.
    connection_->stream.expires_at(responseTimeout ? std::min(deadline, startedAt_ + *responseTimeout) : deadline);
    const bool isSent = co_await send();
    if (!isSent) {
        request_.detail = "sending the request failed";
        co_return request_.caller->isDisconnected() ? ExchangeEnd::CallerDisconnected : ExchangeEnd::NoResponse;
    }
    const boost::system::error_code error = co_await readHead();
    if (error == beast::error::timeout && timeNow() < request_.deadline && !request_.caller->isDisconnected()) {
        request_.detail = fmt::format("no response within {} ms",
                                      std::chrono::duration_cast<Milliseconds>(timeNow() - startedAt_).count());
        co_return ExchangeEnd::ResponseOverdue;
    }
    if (error) {
        co_return endForError(error);
    }
    const TimePoint headAt = timeNow();
    responseTime_ = std::chrono::duration_cast<Milliseconds>(headAt - startedAt_);
    request_.streamTimer.onHead(headAt);
    connection_->stream.expires_at(deadline);
    recordStatusAndLoad();
    if (isNotExecuted()) {
        std::string remainder;
        boost::system::error_code drainError;
        while (!drainError && !parser_->is_done()) {
            drainError = co_await readSome(remainder);
        }
        if (!drainError) {
            releaseConnection();
        }
        co_return ExchangeEnd::NotExecuted;
    }
    const bool isStream
        = request_.route->kind == RouteKind::Streaming && parser_->get().result_int() == statusOk && hasBody();
    const bool hasEvents = isStream && isEventStream(parser_->get());
    if (request_.hasResponseStarted && !hasEvents) {
        request_.detail = fmt::format("status {} to a continued stream, without events", parser_->get().result_int());
        co_return ExchangeEnd::Interrupted;
    }
    if (isStream) {
        request_.isEventStream = hasEvents;
        co_return co_await relayStream();
    }
    co_return co_await relayBuffered();
}

std::optional<Milliseconds> BackendExchange::timeWithoutResponse() const
{
    if (responseTime_) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Milliseconds>(timeNow() - startedAt_);
}

asio::awaitable<bool> BackendExchange::send()
{
    BackendHeadOptions options;
    options.expectedInstance = backend_->server().id;
    options.timeLeft = timeLeft();
    options.stripsCredentials = request_.table->hasAccounts();
    options.account = request_.account;
    if (request_.service->isEngine) {
        options.priority = turnPriority({request_.route->rank, request_.metadata.programTimeLeft});
    }
    const std::optional<PromptSource> source = findPromptSource(request_, backend_->server(), parts_.pool, timeNow());
    if (source) {
        options.promptSource = source->address;
        request_.promptSource = source->engine;
        parts_.promptFetches.add();
    }
    const std::string lastId = request_.eventScanner.lastId();
    if (request_.hasResponseStarted) {
        options.lastEventId = lastId;
    }
    outgoing_ = std::make_shared<OutgoingRequest>();
    outgoing_->begin = request_.begin;
    if (request_.begin) {
        outgoing_->history = request_.begin->history();
    }
    outgoing_->body = request_.message.body();
    options.bodyBytes = outgoing_->history.size() + outgoing_->body.size();
    outgoing_->head = makeBackendHead(request_.message, parts_.names, options);
    if (outgoing_->size() <= inlineSendBytes) {
        const auto [error, written] = co_await asio::async_write(connection_->stream, outgoing_->buffers(), asTuple);
        outgoing_->isWritten = !error;
        co_return !error;
    }
    // Avoids a deadlock with a server that responds before it has read a long body. The body is copied because the
    // write may outlive the request.
    outgoing_->bodyCopy = outgoing_->body;
    outgoing_->body = outgoing_->bodyCopy;
    auto write = [](std::shared_ptr<OutgoingRequest> outgoing,
                    std::shared_ptr<BackendConnection> connection) -> asio::awaitable<void> {
        const auto [error, written] = co_await asio::async_write(connection->stream, outgoing->buffers(), asTuple);
        outgoing->isWritten = !error;
        outgoing->wasReset = error == asio::error::connection_reset;
    };
    asio::co_spawn(parts_.io, write(outgoing_, connection_), asio::detached);
    co_return true;
}

asio::awaitable<boost::system::error_code> BackendExchange::readHead()
{
    for (int unmatched = 0; unmatched <= maxUnmatchedResponses; ++unmatched) {
        parser_.emplace();
        parser_->header_limit(maxResponseHeadBytes);
        parser_->body_limit(boost::none);
        parser_->eager(true);
        parser_->skip(request_.message.method() == http::verb::head);
        const auto [error, bytesRead]
            = co_await http::async_read_header(connection_->stream, connection_->buffer, *parser_, asTuple);
        if (error) {
            co_return error;
        }
        const auto id = parser_->get().find(parts_.names.requestId);
        const bool isMatching = id == parser_->get().end() || view(id->value()) == request_.metadata.id;
        if (isMatching) {
            recordFraming();
            co_return boost::system::error_code {};
        }
        // A late duplicate response to an earlier request on this connection must not reach this caller.
        hadUnmatchedResponse_ = true;
        const bool isDiscarded = co_await discardUnmatchedResponse();
        if (!isDiscarded) {
            break;
        }
    }
    co_return http::error::bad_value;
}

asio::awaitable<bool> BackendExchange::discardUnmatchedResponse()
{
    std::string remainder;
    boost::system::error_code error;
    while (!error && !parser_->is_done()) {
        error = co_await readSome(remainder);
        remainder.clear();
    }
    co_return !error;
}

asio::awaitable<boost::system::error_code> BackendExchange::readSome(std::string &bytes)
{
    std::array<char, readBufferBytes> space;
    auto &body = parser_->get().body();
    body.data = space.data();
    body.size = space.size();
    body.more = true;
    auto [error, bytesRead]
        = co_await http::async_read_some(connection_->stream, connection_->buffer, *parser_, asTuple);
    bytes.append(space.data(), space.size() - body.size);
    if (error == http::error::need_buffer) {
        error = {};
    }
    if (!error && parser_->is_done() && parser_->need_eof() && outgoing_->wasReset) {
        error = asio::error::connection_reset;
    }
    co_return error;
}

bool BackendExchange::hasBody() const
{
    const unsigned status = parser_->get().result_int();
    return request_.message.method() != http::verb::head && status != statusNoContent && status != statusNotModified;
}

bool BackendExchange::isNotExecuted() const
{
    const auto &response = parser_->get();
    return response.result_int() == statusMisdirected || response.find(parts_.names.notExecuted) != response.end();
}

void BackendExchange::recordFraming()
{
    if (parser_->chunked()) {
        request_.framing = ResponseFraming::Chunks;
    } else {
        request_.framing = parser_->need_eof() ? ResponseFraming::Connection : ResponseFraming::Length;
    }
}

void BackendExchange::recordStatusAndLoad()
{
    if (!request_.hasResponseStarted) {
        request_.status = parser_->get().result_int();
    }
    const auto found = parser_->get().find(parts_.names.serverLoad);
    if (found == parser_->get().end()) {
        return;
    }
    if (const std::optional<LoadReport> load = readLoad(view(found->value()))) {
        backend_->report(load->running, load->waiting, timeNow());
    }
}

void BackendExchange::releaseConnection()
{
    // A connection with unread or unmatched bytes is not reused.
    const bool isReusable = parser_->is_done() && parser_->get().keep_alive() && connection_->buffer.size() == 0
        && !hadUnmatchedResponse_ && outgoing_->isWritten;
    if (!isReusable) {
        return;
    }
    Milliseconds idleTimeout = defaultIdleTimeout;
    const auto keepAlive = parser_->get().find(http::field::keep_alive);
    if (keepAlive != parser_->get().end()) {
        if (const std::optional<Milliseconds> stated = readKeepAlive(view(keepAlive->value()))) {
            idleTimeout = *stated * keepAliveTenths / 10;
        }
    }
    const TimePoint now = timeNow();
    connection_->reusableUntil = now + idleTimeout;
    parts_.pool.release(*backend_, connection_, now);
}

asio::awaitable<ExchangeEnd> BackendExchange::relayBuffered()
{
    CallerConnection &caller = *request_.caller;
    std::string body;
    std::optional<std::uint64_t> length;
    if (parser_->content_length()) {
        length = *parser_->content_length();
    }
    BodyFraming framing {length, caller.keepsOpen(), hasBody()};
    while (!parser_->is_done()) {
        const boost::system::error_code error = co_await readSome(body);
        if (error) {
            co_return endForError(error);
        }
        // An empty chunk would end the response.
        const bool isBuffering = body.size() <= maxBufferedResponseBytes && !request_.hasResponseStarted;
        if (isBuffering || body.empty()) {
            continue;
        }
        std::string bytes;
        if (!request_.hasResponseStarted) {
            bytes = makeCallerHead(parser_->get().base(), parts_.names, framing);
            request_.hasResponseStarted = true;
        }
        bytes += framing.length ? body : fmt::format("{:x}\r\n{}\r\n", body.size(), body);
        body.clear();
        const bool isWritten = co_await caller.write(std::move(bytes));
        if (!isWritten) {
            co_return ExchangeEnd::CallerDisconnected;
        }
    }
    releaseConnection();
    std::string bytes;
    if (!request_.hasResponseStarted) {
        framing.length = framing.hasBody ? body.size() : length;
        framing.keepsOpen = caller.keepsOpen();
        bytes = makeCallerHead(parser_->get().base(), parts_.names, framing) + body;
    } else if (!framing.length) {
        bytes = "0\r\n\r\n";
    }
    request_.hasResponseStarted = true;
    if (!bytes.empty()) {
        const bool isWritten = co_await caller.write(std::move(bytes));
        if (!isWritten) {
            co_return ExchangeEnd::CallerDisconnected;
        }
    }
    co_return ExchangeEnd::Completed;
}

asio::awaitable<std::optional<ExchangeEnd>> BackendExchange::waitUntilRelayable()
{
    if (request_.begin) {
        // Nothing is relayed before the turn's reservation is durable; otherwise a new ledger leader would not know of
        // it.
        co_await request_.begin->waitUntilFinal();
        if (!request_.begin->isGranted()) {
            request_.detail = nameOf(beginFailureNames, request_.begin->failure());
            co_return request_.caller->isDisconnected() ? ExchangeEnd::CallerDisconnected : ExchangeEnd::NotGranted;
        }
        request_.versionRecord.setRecorded(request_.begin->recordedVersion());
        proposeVersion();
    }
    const bool mayRelay = co_await request_.versionRecord.wait();
    if (!mayRelay) {
        request_.detail = "the stream's software version was not recorded";
        co_return request_.caller->isDisconnected() ? ExchangeEnd::CallerDisconnected : ExchangeEnd::NotGranted;
    }
    co_return std::nullopt;
}

asio::awaitable<ExchangeEnd> BackendExchange::relayStream()
{
    if (const std::optional<ExchangeEnd> end = co_await waitUntilRelayable()) {
        co_return *end;
    }
    if (!request_.hasResponseStarted) {
        responseHead_
            = makeCallerHead(parser_->get().base(), parts_.names, {std::nullopt, request_.caller->keepsOpen(), true});
    }
    // While the begin was committed, the complete stream may have arrived.
    const bool mayBeComplete = request_.begin && request_.route->keepsHistory && !request_.hasResponseStarted;
    while (!parser_->is_done()) {
        std::string chunk;
        boost::system::error_code error = co_await readEvents(chunk);
        while (mayBeComplete && !request_.hasResponseStarted && !error && !parser_->is_done() && hasMoreToRead()
               && chunk.size() + request_.partialEvent.size() < maxBufferedResponseBytes) {
            error = co_await readEvents(chunk);
        }
        if (error || isCutOff()) {
            co_return co_await breakOff(std::move(chunk), error);
        }
        if (parser_->is_done() && !request_.hasResponseStarted) {
            co_return co_await endStream(std::move(chunk));
        }
        const bool isWritten = chunk.empty() || co_await relayChunk(std::move(chunk));
        if (!isWritten) {
            co_return ExchangeEnd::CallerDisconnected;
        }
    }
    co_return co_await endStream({});
}

asio::awaitable<boost::system::error_code> BackendExchange::readEvents(std::string &chunk)
{
    std::string bytes;
    if (request_.begin) {
        request_.streamTimer.beforeRead(timeNow(), hasEventToRead());
    }
    const boost::system::error_code error = co_await readSome(bytes);
    chunk += makeChunk(std::move(bytes));
    request_.streamTimer.afterRead(timeNow(), request_.eventScanner.eventCount());
    co_return error;
}

bool BackendExchange::isCutOff() const
{
    if (!parser_->is_done() || !request_.isEventStream) {
        return false;
    }
    // The end of the connection does not tell a stream without events from one that its server broke off.
    const bool hasNoSignOfEnd
        = parser_->need_eof() && request_.eventScanner.eventCount() == 0 && !request_.isResumption();
    return request_.eventScanner.isInsideEvent() || hasNoSignOfEnd;
}

asio::awaitable<ExchangeEnd> BackendExchange::breakOff(std::string chunk, boost::system::error_code error)
{
    request_.eventScanner.discardPartialEvent();
    request_.partialEvent.clear();
    if (!request_.hasResponseStarted && !request_.route->isResumable) {
        // The caller gets a status instead of events that it can't continue from.
        request_.eventScanner = {};
        chunk.clear();
    }
    const bool isWritten = chunk.empty() || co_await relayChunk(std::move(chunk));
    if (!isWritten) {
        co_return ExchangeEnd::CallerDisconnected;
    }
    if (error) {
        co_return endForError(error);
    }
    request_.detail = "the stream ended inside an event";
    co_return request_.hasResponseStarted ? ExchangeEnd::Interrupted : ExchangeEnd::NoResponse;
}

bool BackendExchange::hasMoreToRead() const
{
    boost::system::error_code error;
    return connection_->buffer.size() > 0 || (connection_->stream.socket().available(error) > 0 && !error);
}

bool BackendExchange::hasEventToRead() const
{
    // The parser reads the line end of a chunk together with the next chunk.
    constexpr std::size_t lineEndBytes = 2;
    boost::system::error_code error;
    return connection_->buffer.size() > lineEndBytes || (connection_->stream.socket().available(error) > 0 && !error);
}

void BackendExchange::proposeVersion()
{
    const Milliseconds retention = request_.streamRetention();
    const bool isBegin = !request_.isResumption() && !request_.hasResponseStarted;
    if (request_.route->kind == RouteKind::Streaming && isBegin && retention.count() != 0) {
        request_.versionRecord.propose(parts_.io, parts_.ledger,
                                       {request_.turnId(), version_, 0, static_cast<std::uint32_t>(retention.count())},
                                       request_.deadline);
    }
}

std::string BackendExchange::makeChunk(std::string bytes)
{
    if (request_.isEventStream) {
        // Relayed in whole events, so that another server can continue between two of them.
        const std::size_t completeBytes = request_.eventScanner.feed(bytes);
        const std::size_t heldBytes = bytes.size() - completeBytes;
        std::string &held = request_.partialEvent;
        held += bytes;
        const bool isEnd = parser_->is_done() && !isCutOff();
        const std::size_t relayableBytes = completeBytes == 0 ? 0 : held.size() - heldBytes;
        bytes = held.substr(0, isEnd ? held.size() : relayableBytes);
        held.erase(0, bytes.size());
    }
    return bytes.empty() ? std::string() : fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

void BackendExchange::startResponse()
{
    if (!request_.hasResponseStarted) {
        request_.hasResponseStarted = true;
        request_.requiredVersion = version_;
    }
}

asio::awaitable<bool> BackendExchange::relayChunk(std::string chunk)
{
    startResponse();
    co_return co_await request_.caller->write(std::exchange(responseHead_, {}) + chunk);
}

asio::awaitable<ExchangeEnd> BackendExchange::endStream(std::string lastChunk)
{
    releaseConnection();
    if (request_.begin && request_.route->keepsHistory) {
        // The end of the stream confirms the turn to the caller, so it is sent only after a quorum has stored the turn.
        // A response that has not started until then can still become a failure with a status.
        const TimePoint deadline = std::max(request_.deadline, timeNow() + minCommitTimeout);
        const bool isDurable = co_await parts_.ledger.finish(request_.makeFinish(TurnEnding::Complete), deadline);
        if (!isDurable) {
            co_return ExchangeEnd::NotDurable;
        }
    }
    request_.isResponseComplete = true;
    startResponse();
    std::string out = std::exchange(responseHead_, {}) + lastChunk + "0\r\n\r\n";
    const bool isWritten = co_await request_.caller->write(std::move(out));
    co_return isWritten ? ExchangeEnd::Completed : ExchangeEnd::CallerDisconnected;
}

} // namespace cardamompost
