#include "cp_router.hpp"

#include <cardamompost/net/cp_async_queue.hpp>
#include <cardamompost/net/cp_await.hpp>

#include <boost/asio/this_coro.hpp>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds retryDelay {40};
// Several times the duration of a partition takeover.
constexpr Milliseconds ownerTimeout {15'000};
constexpr Milliseconds keepAliveInterval {5000};
constexpr Milliseconds answerTimeout {24 * 3600 * 1000};

using Answers = AsyncQueue<Result<ApiChunk>>;

Result<ApiChunk> toChunk(Result<FrameBody> reply)
{
    if (!reply) {
        return reply.error();
    }
    if (auto *chunk = std::get_if<ApiChunk>(&reply.value())) {
        return std::move(*chunk);
    }
    return makeError(ErrorKind::Internal, "unexpected reply to a forwarded request");
}

bool isSubmission(const ApiRequest &request)
{
    return request.operation == ApiOperation::SubmitCall || request.operation == ApiOperation::SingleCall;
}

// The owner recognizes a repeated submission by its sequence number or idempotency key.
void ensureRecognizable(ApiRequest &request)
{
    if (isSubmission(request) && request.sequence == 0 && request.idempotencyKey.empty()) {
        request.idempotencyKey = makeProgramId();
        request.isKeyGenerated = true;
    }
}

bool isRetryable(ErrorKind kind)
{
    return kind == ErrorKind::NotOwner || kind == ErrorKind::PeerLost || kind == ErrorKind::DeadlineExceeded
        || kind == ErrorKind::NotReady;
}

} // namespace

Router::Router(Parts parts)
    : parts_(parts)
    , forwarded_(parts.metrics.counter("cardamompost_forwarded_requests_total"))
    , retries_(parts.metrics.counter("cardamompost_forward_retries_total"))
{
}

asio::awaitable<void> Router::forward(ApiRequest request, Deliver deliver)
{
    ensureRecognizable(request);
    TimePoint deadline = std::chrono::steady_clock::now() + ownerTimeout;
    bool mayHaveReachedOwner = false;
    while (!parts_.shutdown.isGiven() && std::chrono::steady_clock::now() < deadline) {
        const TimePoint startedAt = std::chrono::steady_clock::now();
        const TryResult result = co_await tryForward(request, deliver, mayHaveReachedOwner);
        if (result == TryResult::Done) {
            co_return;
        }
        retries_.add();
        // The time limit for finding an owner starts again after an owner has held the request for this long.
        if (std::chrono::steady_clock::now() - startedAt > keepAliveInterval) {
            deadline = std::chrono::steady_clock::now() + ownerTimeout;
        }
        co_await sleepFor(retryDelay);
    }
    const Outcome outcome = mayHaveReachedOwner ? Outcome::Unknown : Outcome::NotRun;
    Error error = makeError(ErrorKind::NotReady, "the program currently has no reachable owner");
    error.outcome = outcome;
    error.retryAfter = Milliseconds(1000);
    ApiChunk chunk = errorChunk(parts_.shutdown.isGiven() ? shuttingDownError(outcome) : error);
    co_await deliver(std::move(chunk));
}

asio::awaitable<Router::TryResult> Router::tryForward(ApiRequest &request, const Deliver &deliver,
                                                      bool &mayHaveReachedOwner)
{
    const auto view = parts_.replica.view();
    const VmName owner = view->state.partitions()[parts_.table.partitionOf(request.program)].owner;
    auto answers = std::make_shared<Answers>(co_await asio::this_coro::executor);
    const auto subscription
        = parts_.shutdown.subscribe([answers] { answers->push(shuttingDownError(Outcome::Unknown)); });
    std::shared_ptr<PeerClient> client;
    std::uint64_t id = 0;
    if (owner == parts_.settings.vm) {
        parts_.service.handle(request, [answers](Result<ApiChunk> chunk) { answers->push(std::move(chunk)); });
    } else if (!owner.empty() && (client = parts_.hub.client(owner))) {
        forwarded_.add();
        id = client->request(request, answerTimeout,
                             [answers](Result<FrameBody> reply, bool) { answers->push(toChunk(std::move(reply))); });
    } else {
        co_return TryResult::Retry;
    }
    while (true) {
        std::optional<Result<ApiChunk>> next = co_await answers->pop(keepAliveInterval);
        Result<ApiChunk> chunk = next ? std::move(*next) : Result<ApiChunk>(ApiChunk {});
        if (!chunk && isRetryable(chunk.error().kind)) {
            mayHaveReachedOwner = mayHaveReachedOwner
                || (chunk.error().kind != ErrorKind::NotOwner && chunk.error().outcome != Outcome::NotRun);
            co_return TryResult::Retry;
        }
        if (!chunk) {
            chunk = errorChunk(chunk.error());
        }
        request.lastEventId = std::max(request.lastEventId, chunk.value().eventId);
        const bool isLast = chunk.value().isLast;
        const bool isConnected = co_await deliver(std::move(chunk.value()));
        if (isLast || !isConnected) {
            if (client && !isLast) {
                client->cancel(id);
            }
            co_return TryResult::Done;
        }
    }
}

} // namespace cardamompost
