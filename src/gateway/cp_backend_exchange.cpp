#include "cp_backend_exchange.hpp"

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
constexpr std::uint32_t maxAnswerHeadBytes = 64U << 10U;
constexpr std::size_t readBytes = 16U << 10U;
// An answer up to this length reaches the caller only when it is whole, so that another server can still be tried.
constexpr std::size_t holdBackBytes = 256U << 10U;
// A server answers at the deadline itself; that answer says more than one of ours.
constexpr Milliseconds deadlineSlack {80};
// Longer requests are written while the answer is read already.
constexpr std::size_t inlineSendBytes = 12U << 10U;
constexpr int maxForeignAnswers = 4;
constexpr Milliseconds defaultKeepAlive {4000};
constexpr std::int64_t keepAliveShareOf10 = 7;
constexpr Milliseconds durableTimeout {2500};
constexpr unsigned statusMisdirected = 421;
constexpr unsigned statusOk = 200;

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

TimePoint timeNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

//! What is written to a server; lives as long as the write does.
struct BackendExchange::Outgoing {
    std::string head;
    std::string_view history;
    std::string_view body;
    //! Keeps what the views above point to.
    std::shared_ptr<PendingBegin> begin;
    std::string copy;
    bool isWritten = false;

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
    , connection_(std::move(connection))
    , guard_(backend_)
{
}

Milliseconds BackendExchange::timeLeft() const
{
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(request_.deadline - timeNow()));
}

ExchangeEnd BackendExchange::failed(const boost::system::error_code &error) const
{
    request_.detail = error.message();
    if (request_.caller->isGone()) {
        return ExchangeEnd::CallerGone;
    }
    if (error == beast::error::timeout) {
        return ExchangeEnd::TimedOut;
    }
    return request_.hasStarted ? ExchangeEnd::BrokeOff : ExchangeEnd::Unanswered;
}

asio::awaitable<ExchangeEnd> BackendExchange::run(std::optional<Milliseconds> responseTimeout)
{
    begun_ = timeNow();
    const TimePoint deadline = request_.deadline + deadlineSlack;
    // Guards against a server that ran the request and whose answer is lost: it shows as silence until the caller has
    // given up. What may be repeated goes to another server in time.
    connection_->stream.expires_at(responseTimeout ? std::min(deadline, begun_ + *responseTimeout) : deadline);
    const bool isSent = co_await send();
    if (!isSent) {
        request_.detail = "the request could not be written";
        co_return request_.caller->isGone() ? ExchangeEnd::CallerGone : ExchangeEnd::Unanswered;
    }
    const boost::system::error_code error = co_await readHead();
    if (error == beast::error::timeout && timeNow() < request_.deadline && !request_.caller->isGone()) {
        request_.detail = fmt::format("no answer within {} ms",
                                      std::chrono::duration_cast<Milliseconds>(timeNow() - begun_).count());
        co_return ExchangeEnd::Silent;
    }
    if (error) {
        co_return failed(error);
    }
    answerTime_ = std::chrono::duration_cast<Milliseconds>(timeNow() - begun_);
    connection_->stream.expires_at(deadline);
    takeReport();
    if (isNotExecuted()) {
        std::string rest;
        boost::system::error_code drained;
        while (!drained && !parser_->is_done()) {
            drained = co_await readSome(rest);
        }
        if (!drained) {
            keepConnection();
        }
        co_return ExchangeEnd::NotRun;
    }
    const bool isStream = request_.route->kind == RouteKind::Streaming && parser_->get().result_int() == statusOk;
    if (isStream) {
        co_return co_await relayStream();
    }
    co_return co_await relayComplete();
}

std::optional<Milliseconds> BackendExchange::silence() const
{
    if (answerTime_) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Milliseconds>(timeNow() - begun_);
}

asio::awaitable<bool> BackendExchange::send()
{
    SendFacts facts;
    facts.expectedInstance = backend_->server().id;
    facts.timeLeft = timeLeft();
    facts.hidesKeys = request_.table->hasAccounts();
    facts.account = request_.account;
    if (request_.service->isEngine) {
        facts.priority = turnPriority({request_.route->rank, request_.facts.programTimeLeft});
    }
    const std::string lastId = request_.tally.lastId();
    if (request_.hasStarted) {
        facts.lastEventId = lastId;
    }
    outgoing_ = std::make_shared<Outgoing>();
    outgoing_->begin = request_.begin;
    if (request_.begin) {
        outgoing_->history = request_.begin->history();
    }
    outgoing_->body = request_.message.body();
    facts.bodyBytes = outgoing_->history.size() + outgoing_->body.size();
    outgoing_->head = makeBackendHead(request_.message, parts_.names, facts);
    if (outgoing_->size() <= inlineSendBytes) {
        const auto [error, written] = co_await asio::async_write(connection_->stream, outgoing_->buffers(), asTuple);
        outgoing_->isWritten = !error;
        co_return !error;
    }
    // Guards against a server that answers before it has read a long body: with nobody reading, both would wait. The
    // body is copied, since the answer may be over before the write is.
    outgoing_->copy = outgoing_->body;
    outgoing_->body = outgoing_->copy;
    auto write = [](std::shared_ptr<Outgoing> outgoing,
                    std::shared_ptr<BackendConnection> connection) -> asio::awaitable<void> {
        const auto [error, written] = co_await asio::async_write(connection->stream, outgoing->buffers(), asTuple);
        outgoing->isWritten = !error;
    };
    asio::co_spawn(parts_.io, write(outgoing_, connection_), asio::detached);
    co_return true;
}

asio::awaitable<boost::system::error_code> BackendExchange::readHead()
{
    for (int foreign = 0; foreign <= maxForeignAnswers; ++foreign) {
        parser_.emplace();
        parser_->header_limit(maxAnswerHeadBytes);
        parser_->body_limit(boost::none);
        parser_->eager(true);
        parser_->skip(request_.message.method() == http::verb::head);
        const auto [error, got]
            = co_await http::async_read_header(connection_->stream, connection_->buffer, *parser_, asTuple);
        if (error) {
            co_return error;
        }
        const auto id = parser_->get().find(parts_.names.requestId);
        const bool isOwn = id == parser_->get().end() || view(id->value()) == request_.facts.id;
        if (isOwn) {
            co_return boost::system::error_code {};
        }
        // Guards against mixing answers: a late second answer to an earlier request stands where this one is expected.
        hadForeign_ = true;
        const bool isOver = co_await discardForeign();
        if (!isOver) {
            break;
        }
    }
    co_return http::error::bad_value;
}

asio::awaitable<bool> BackendExchange::discardForeign()
{
    std::string rest;
    boost::system::error_code error;
    while (!error && !parser_->is_done()) {
        error = co_await readSome(rest);
        rest.clear();
    }
    co_return !error;
}

asio::awaitable<boost::system::error_code> BackendExchange::readSome(std::string &bytes)
{
    std::array<char, readBytes> space;
    auto &body = parser_->get().body();
    body.data = space.data();
    body.size = space.size();
    body.more = true;
    auto [error, got] = co_await http::async_read_some(connection_->stream, connection_->buffer, *parser_, asTuple);
    bytes.append(space.data(), space.size() - body.size);
    if (error == http::error::need_buffer) {
        error = {};
    }
    co_return error;
}

bool BackendExchange::isNotExecuted() const
{
    const auto &answer = parser_->get();
    return answer.result_int() == statusMisdirected || answer.find(parts_.names.notExecuted) != answer.end();
}

void BackendExchange::takeReport()
{
    request_.status = parser_->get().result_int();
    const auto found = parser_->get().find(parts_.names.serverLoad);
    if (found == parser_->get().end()) {
        return;
    }
    if (const std::optional<LoadReport> load = readLoad(view(found->value()))) {
        backend_->report(load->running, load->waiting, timeNow());
    }
}

void BackendExchange::keepConnection()
{
    // Guards against bytes that belong to no request: a connection with more than the one answer is not used again.
    const bool isClean = parser_->is_done() && parser_->get().keep_alive() && connection_->buffer.size() == 0
        && !hadForeign_ && outgoing_->isWritten;
    if (!isClean) {
        return;
    }
    Milliseconds keptFor = defaultKeepAlive;
    const auto keepAlive = parser_->get().find(http::field::keep_alive);
    if (keepAlive != parser_->get().end()) {
        if (const std::optional<Milliseconds> stated = readKeepAlive(view(keepAlive->value()))) {
            keptFor = *stated * keepAliveShareOf10 / 10;
        }
    }
    const TimePoint now = timeNow();
    connection_->keptUntil = now + keptFor;
    parts_.pool.keep(*backend_, connection_, now);
}

asio::awaitable<ExchangeEnd> BackendExchange::relayComplete()
{
    CallerConnection &caller = *request_.caller;
    std::string body;
    std::optional<std::uint64_t> length;
    if (parser_->content_length()) {
        length = *parser_->content_length();
    }
    BodyFraming framing {length, caller.keepsOpen()};
    while (!parser_->is_done()) {
        const boost::system::error_code error = co_await readSome(body);
        if (error) {
            co_return failed(error);
        }
        if (body.size() <= holdBackBytes && !request_.hasStarted) {
            continue;
        }
        std::string bytes;
        if (!request_.hasStarted) {
            bytes = makeCallerHead(parser_->get().base(), parts_.names, framing);
            request_.hasStarted = true;
        }
        bytes += framing.length ? body : fmt::format("{:x}\r\n{}\r\n", body.size(), body);
        body.clear();
        const bool isWritten = co_await caller.write(std::move(bytes));
        if (!isWritten) {
            co_return ExchangeEnd::CallerGone;
        }
    }
    keepConnection();
    std::string bytes;
    if (!request_.hasStarted) {
        const bool isHead = request_.message.method() == http::verb::head;
        framing.length = isHead ? length.value_or(0) : body.size();
        framing.keepsOpen = caller.keepsOpen();
        bytes = makeCallerHead(parser_->get().base(), parts_.names, framing) + body;
    } else if (!framing.length) {
        bytes = "0\r\n\r\n";
    }
    request_.hasStarted = true;
    if (!bytes.empty()) {
        const bool isWritten = co_await caller.write(std::move(bytes));
        if (!isWritten) {
            co_return ExchangeEnd::CallerGone;
        }
    }
    co_return ExchangeEnd::Answered;
}

asio::awaitable<ExchangeEnd> BackendExchange::relayStream()
{
    if (request_.begin) {
        // Nothing is handed out before what it may cost is durable; otherwise a lost ledger leader would forget it.
        co_await request_.begin->waitUntilFinal();
        if (!request_.begin->isGranted()) {
            co_return ExchangeEnd::NotGranted;
        }
    }
    if (!request_.hasStarted) {
        head_ = makeCallerHead(parser_->get().base(), parts_.names, {std::nullopt, request_.caller->keepsOpen()});
    }
    while (!parser_->is_done()) {
        std::string bytes;
        const boost::system::error_code error = co_await readSome(bytes);
        if (!bytes.empty()) {
            const bool isWritten = co_await passOn(std::move(bytes));
            if (!isWritten) {
                co_return ExchangeEnd::CallerGone;
            }
        }
        if (error) {
            request_.tally.dropPartial();
            request_.partialEvent.clear();
            co_return failed(error);
        }
    }
    co_return co_await endStream();
}

asio::awaitable<bool> BackendExchange::passOn(std::string bytes)
{
    const std::size_t whole = request_.tally.feed(bytes);
    if (request_.route->isResumable) {
        // A stream that may go on elsewhere is passed on event by event, so that none comes in two halves.
        const std::size_t rest = bytes.size() - whole;
        request_.partialEvent += bytes;
        const std::size_t ready = whole == 0 ? 0 : request_.partialEvent.size() - rest;
        bytes = request_.partialEvent.substr(0, ready);
        request_.partialEvent.erase(0, ready);
    }
    if (bytes.empty()) {
        co_return true;
    }
    std::string out = std::exchange(head_, {});
    request_.hasStarted = true;
    out += fmt::format("{:x}\r\n", bytes.size());
    out += bytes;
    out += "\r\n";
    co_return co_await request_.caller->write(std::move(out));
}

asio::awaitable<ExchangeEnd> BackendExchange::endStream()
{
    keepConnection();
    if (request_.begin && request_.route->keepsHistory) {
        // A turn counts from the end of its answer on; so its end leaves only once a quorum has the turn.
        const bool isDurable
            = co_await parts_.ledger.finish(request_.finish(TurnEnding::Complete), timeNow() + durableTimeout);
        if (!isDurable) {
            co_return ExchangeEnd::NotDurable;
        }
    }
    request_.isComplete = true;
    std::string out = std::exchange(head_, {});
    request_.hasStarted = true;
    out += "0\r\n\r\n";
    const bool isWritten = co_await request_.caller->write(std::move(out));
    co_return isWritten ? ExchangeEnd::Answered : ExchangeEnd::CallerGone;
}

} // namespace cardamompost
