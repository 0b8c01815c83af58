#include "cp_backend_exchange.hpp"

#include "cp_prompt_source.hpp"

#include <cardamompost/policy/cp_turn_priority.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace cardamompost
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
// Responses up to this size are buffered until they are complete, so that the request can still be retried.
constexpr std::size_t maxBufferedResponseBytes = 256U << 10U;
// Lets the server's own timeout response arrive, which is more specific than one from the gateway.
constexpr Milliseconds deadlineSlack {80};
// Larger requests are written while the response is being read.
constexpr std::size_t inlineSendBytes = 12U << 10U;

//! Longest parts of a response that are held in memory.
struct HoldLimits {
    //! An event is relayed whole.
    std::size_t eventBytes;
    //! The events of a turn that keeps history are stored when it ends.
    std::size_t turnOutputBytes;
};
constexpr HoldLimits usualLimits {256U << 10U, 1U << 20U};
// While all responses together hold too much.
constexpr HoldLimits reducedLimits {16U << 10U, 64U << 10U};

// For a stream that ends at its deadline; its caller may wait a little longer for the answer.
constexpr Milliseconds minCommitTimeout {250};
constexpr unsigned statusPaymentRequired = 402;
constexpr unsigned statusRequestTimeout = 408;
constexpr unsigned statusMisdirected = 421;
constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusUnavailable = 503;
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

//! Returns a connection to the pool. \returns false if it can't be reused
bool tryRelease(BackendPool &pool, BackendState &backend, const ResponseReader &reader,
                const std::shared_ptr<BackendConnection> &connection)
{
    if (!reader.isReusable()) {
        return false;
    }
    const TimePoint now = timeNow();
    connection->reusableUntil = now + reader.idleTimeout();
    pool.release(backend, connection, now);
    return true;
}

} // namespace

//! A request as written to the server; lives until the write has ended.
struct BackendExchange::OutgoingRequest : SendState {
    std::string head;
    std::string_view history;
    std::string_view body;
    //! Owns the bytes that the history view refers to.
    std::shared_ptr<PendingBegin> begin;
    //! Owns the bytes that the body refers to.
    std::shared_ptr<const std::string> ownedBody;

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
    , outgoing_(std::make_shared<OutgoingRequest>())
    , reader_(std::make_shared<ResponseReader>(connection_, outgoing_, request.message.method() == http::verb::head))
    , guard_(backend_)
    , held_(parts_.heldBytes)
{
}

BackendExchange::~BackendExchange()
{
    // A request that is still being written would keep the connection open.
    if (!isConnectionReleased_) {
        connection_->stream.close();
    }
}

Milliseconds BackendExchange::timeLeft() const
{
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(request_.deadline - timeNow()));
}

ExchangeEnd BackendExchange::endForError(const boost::system::error_code &error) const
{
    request_.detail = error.message();
    if (error == beast::error::timeout) {
        return endUnlessAbandoned(ExchangeEnd::TimedOut);
    }
    return endUnlessAbandoned(request_.hasResponseStarted ? ExchangeEnd::Interrupted : ExchangeEnd::NoResponse);
}

ExchangeEnd BackendExchange::endUnlessAbandoned(ExchangeEnd end) const
{
    if (request_.caller->isDisconnected()) {
        return ExchangeEnd::CallerDisconnected;
    }
    return request_.isGivenUp ? ExchangeEnd::ShuttingDown : end;
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
    reader_->setDeadline(responseTimeout ? std::min(deadline, startedAt_ + *responseTimeout) : deadline);
    const bool isSent = co_await send();
    if (!isSent) {
        request_.detail = "sending the request failed";
        co_return endUnlessAbandoned(ExchangeEnd::NoResponse);
    }
    const boost::system::error_code error = co_await reader_->readHead(parts_.names.requestId, request_.metadata.id);
    if (error == beast::error::timeout && timeNow() < request_.deadline && !request_.caller->isDisconnected()) {
        request_.detail = fmt::format("no response within {} ms",
                                      std::chrono::duration_cast<Milliseconds>(timeNow() - startedAt_).count());
        co_return ExchangeEnd::ResponseOverdue;
    }
    if (error) {
        const ExchangeEnd end = endForError(error);
        if (reader_->hadUnmatchedResponse()) {
            request_.detail = "no response with the request's id";
        }
        co_return end;
    }
    const TimePoint headAt = timeNow();
    responseTime_ = std::chrono::duration_cast<Milliseconds>(headAt - startedAt_);
    request_.streamTimer.onHead(headAt);
    reader_->setDeadline(deadline);
    recordFraming();
    recordStatusAndLoad();
    if (isNotExecuted()) {
        releaseAfterRest();
        co_return ExchangeEnd::NotExecuted;
    }
    if (!request_.isRepeatable() && promisesNotExecuted(request_.status)) {
        request_.detail
            = fmt::format("status {} of a server that does not state that it has not run the request", request_.status);
        releaseAfterRest();
        co_return ExchangeEnd::FalsePromise;
    }
    const bool isStream
        = request_.route->kind == RouteKind::Streaming && reader_->header().result_int() == statusOk && hasBody();
    const bool hasEvents = isStream && isEventStream(reader_->header());
    if (request_.hasResponseStarted && !hasEvents) {
        request_.detail
            = fmt::format("status {} to a continued stream, without events", reader_->header().result_int());
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
    outgoing_->begin = request_.begin;
    if (request_.begin) {
        outgoing_->history = request_.begin->history();
    }
    outgoing_->ownedBody = request_.body;
    outgoing_->body = *request_.body;
    options.bodyBytes = outgoing_->history.size() + outgoing_->body.size();
    outgoing_->head = makeBackendHead(request_.message, parts_.names, options);
    if (outgoing_->size() <= inlineSendBytes) {
        const auto [error, written] = co_await asio::async_write(connection_->stream, outgoing_->buffers(), asTuple);
        outgoing_->isWritten = !error;
        co_return !error;
    }
    // Avoids a deadlock with a server that responds before it has read a long body.
    auto write = [](std::shared_ptr<OutgoingRequest> outgoing,
                    std::shared_ptr<BackendConnection> connection) -> asio::awaitable<void> {
        const auto [error, written] = co_await asio::async_write(connection->stream, outgoing->buffers(), asTuple);
        outgoing->isWritten = !error;
        outgoing->wasReset = error == asio::error::connection_reset;
    };
    asio::co_spawn(parts_.io, write(outgoing_, connection_), asio::detached);
    co_return true;
}

bool BackendExchange::hasBody() const
{
    const unsigned status = reader_->header().result_int();
    return request_.message.method() != http::verb::head && status != statusNoContent && status != statusNotModified;
}

bool BackendExchange::isNotExecuted() const
{
    const ResponseReader::Header &response = reader_->header();
    return response.result_int() == statusMisdirected || response.find(parts_.names.notExecuted) != response.end();
}

bool BackendExchange::promisesNotExecuted(unsigned status) const
{
    const bool isRefusal
        = status == statusRequestTimeout || status == statusTooManyRequests || status == statusUnavailable;
    return isRefusal || (status == statusPaymentRequired && request_.isTurn());
}

void BackendExchange::recordFraming()
{
    if (reader_->parser().chunked()) {
        request_.framing = ResponseFraming::Chunks;
    } else {
        request_.framing = reader_->parser().need_eof() ? ResponseFraming::Connection : ResponseFraming::Length;
    }
}

void BackendExchange::recordStatusAndLoad()
{
    if (!request_.hasResponseStarted) {
        request_.status = reader_->header().result_int();
    }
    const auto found = reader_->header().find(parts_.names.serverLoad);
    if (found == reader_->header().end()) {
        return;
    }
    if (const std::optional<LoadReport> load = readLoad(view(found->value()))) {
        backend_->report(load->running, load->waiting, timeNow());
    }
}

void BackendExchange::releaseConnection()
{
    isConnectionReleased_ = tryRelease(parts_.pool, *backend_, *reader_, connection_);
    if (isConnectionReleased_) {
        request_.connection.reset();
    }
}

void BackendExchange::releaseAfterRest()
{
    if (reader_->isDone()) {
        releaseConnection();
        return;
    }
    // The outcome is known, so the caller does not wait for the rest of the response.
    auto discard = [](BackendPool &pool, std::shared_ptr<ResponseReader> reader, std::shared_ptr<BackendState> backend,
                      std::shared_ptr<BackendConnection> connection) -> asio::awaitable<void> {
        co_await reader->discardRest();
        if (!tryRelease(pool, *backend, *reader, connection)) {
            connection->stream.close();
        }
    };
    asio::co_spawn(parts_.io, discard(parts_.pool, reader_, backend_, connection_), asio::detached);
    isConnectionReleased_ = true;
    request_.connection.reset();
}

asio::awaitable<ExchangeEnd> BackendExchange::relayBuffered()
{
    CallerConnection &caller = *request_.caller;
    std::string body;
    std::optional<std::uint64_t> length;
    if (reader_->parser().content_length()) {
        length = *reader_->parser().content_length();
    }
    BodyFraming framing {length, false, hasBody()};
    while (!reader_->isDone()) {
        const boost::system::error_code error = co_await reader_->readSome(body);
        if (error) {
            co_return endForError(error);
        }
        held_.set(body.size());
        const bool isBuffering
            = body.size() <= maxBufferedResponseBytes && !request_.hasResponseStarted && !parts_.heldBytes.isFull();
        // An empty chunk would end the response.
        if (isBuffering || body.empty()) {
            continue;
        }
        std::string bytes;
        if (!request_.hasResponseStarted) {
            framing.keepsOpen = caller.settleKeepsOpen();
            bytes = makeCallerHead(reader_->header(), parts_.names, framing);
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
        framing.keepsOpen = caller.settleKeepsOpen();
        bytes = makeCallerHead(reader_->header(), parts_.names, framing) + body;
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
            co_return endUnlessAbandoned(ExchangeEnd::NotGranted);
        }
        request_.versionRecord.setRecorded(request_.begin->recordedVersion());
        proposeVersion();
    }
    const bool mayRelay = co_await request_.versionRecord.wait();
    if (!mayRelay) {
        request_.detail = "the stream's software version was not recorded";
        co_return endUnlessAbandoned(ExchangeEnd::NotGranted);
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
            = makeCallerHead(reader_->header(), parts_.names, {std::nullopt, request_.caller->settleKeepsOpen(), true});
    }
    // While the begin was committed, the complete stream may have arrived.
    const bool mayBeComplete = request_.begin && request_.route->keepsHistory && !request_.hasResponseStarted;
    while (!reader_->isDone()) {
        std::string chunk;
        boost::system::error_code error = co_await readEvents(chunk);
        while (mayBeComplete && !request_.hasResponseStarted && !error && !reader_->isDone()
               && reader_->hasEventToRead() && chunk.size() + request_.partialEvent.size() < maxBufferedResponseBytes) {
            error = co_await readEvents(chunk);
        }
        if (error || isCutOff()) {
            co_return co_await breakOff(std::move(chunk), error);
        }
        if (isOverBudget()) {
            request_.detail = "the server generates more tokens than the program's budget";
            request_.mayContinueElsewhere = false;
            co_return co_await breakOff({}, {});
        }
        if (const std::string_view excess = excessOf(); !excess.empty()) {
            request_.detail = excess;
            co_return co_await breakOff(std::move(chunk), {});
        }
        if (reader_->isDone() && !request_.hasResponseStarted) {
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
        request_.streamTimer.beforeRead(timeNow(), reader_->hasEventToRead());
    }
    const boost::system::error_code error = co_await reader_->readSome(bytes);
    chunk += makeChunk(std::move(bytes));
    request_.streamTimer.afterRead(timeNow(), request_.eventScanner.eventCount());
    co_return error;
}

bool BackendExchange::isCutOff() const
{
    if (!reader_->isDone() || !request_.isEventStream) {
        return false;
    }
    // The end of the connection does not tell a stream without events from one that its server broke off.
    const bool hasNoSignOfEnd
        = reader_->parser().need_eof() && request_.eventScanner.eventCount() == 0 && !request_.isResumption();
    return request_.eventScanner.isInsideEvent() || hasNoSignOfEnd;
}

bool BackendExchange::isOverBudget()
{
    const std::int64_t budget = request_.metadata.budget;
    const bool isBounded = request_.begin && request_.service->isEngine && budget >= 0;
    return isBounded && request_.tokensSent() > budget + request_.metadata.maxOutputTokens;
}

std::string_view BackendExchange::excessOf()
{
    const std::size_t outputBytes = request_.keepsOutput() ? request_.eventScanner.output().size() : 0;
    held_.set(request_.partialEvent.size() + outputBytes);
    const HoldLimits &limits = parts_.heldBytes.isFull() ? reducedLimits : usualLimits;
    if (request_.partialEvent.size() > limits.eventBytes) {
        return "an event is longer than the limit";
    }
    return outputBytes > limits.turnOutputBytes ? "the turn's output is longer than the limit" : std::string_view {};
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
    if (reader_->isDone()) {
        request_.detail = "the stream ended inside an event";
    }
    co_return request_.hasResponseStarted ? ExchangeEnd::Interrupted : ExchangeEnd::NoResponse;
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
        const std::size_t completeBytes = request_.eventScanner.feed(bytes, request_.keepsOutput());
        const std::size_t heldBytes = bytes.size() - completeBytes;
        std::string &held = request_.partialEvent;
        held += bytes;
        const bool isEnd = reader_->isDone() && !isCutOff();
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
    std::string bytes = std::exchange(responseHead_, {});
    bytes += chunk;
    // The write may take long.
    std::string().swap(chunk);
    co_return co_await request_.caller->write(std::move(bytes));
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
