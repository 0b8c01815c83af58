#include "cp_call_runner.hpp"

#include <cardamompost/net/cp_await.hpp>

#include <fmt/format.h>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr unsigned firstServerError = 500;
constexpr unsigned statusUnavailable = 503;
constexpr Milliseconds retryDelay {100};

} // namespace

asio::awaitable<CallRunner::RunResult> CallRunner::runService(Task &task)
{
    const CallRequest request = decodeCallRequest(CallKind::Service, task.accepted.request);
    if (!task.attempts.empty() && !task.accepted.isIdempotent) {
        // Prevents duplicate execution: the previous owner may have sent the request, so it is not repeated.
        co_return failure(task, ErrorKind::BackendFailed, "the owner was lost while the request was in progress",
                          Outcome::Unknown);
    }
    const auto view = parts_.replica.view();
    const Service *service = view->configuration.findService(request.service);
    if (service == nullptr) {
        co_return failure(task, ErrorKind::NotFound, "service '" + request.service + "' is no longer declared",
                          Outcome::NotRun);
    }
    recordFirstAttempt("service " + request.service);
    co_return co_await callService(task, request, *service);
}

asio::awaitable<CallRunner::RunResult> CallRunner::callService(Task &task, const CallRequest &request,
                                                               const Service &service)
{
    const std::vector<Address> addresses = service.addresses;
    const Milliseconds timeout = service.timeout;
    std::string lastError = "the service has no addresses";
    bool mayHaveRun = !task.attempts.empty();
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        const std::int64_t left = task.deadlineMs - wallClockMs();
        if (left <= 0 || task.live->isCancelled()) {
            const ErrorKind kind = left <= 0 ? ErrorKind::DeadlineExceeded : ErrorKind::Cancelled;
            co_return failure(task, kind, "the call was cancelled or its deadline passed before it completed",
                              mayHaveRun ? Outcome::Unknown : Outcome::NotRun);
        }
        const auto attemptNumber = static_cast<std::uint32_t>(task.attempts.size() + 1);
        const CallIntent intent {
            task.sequence, attemptNumber, addresses[i].toString(), task.deadlineMs, attemptNumber, 0, {}};
        const bool isWritten = co_await writeIntent(task, intent);
        if (!isWritten) {
            co_return std::nullopt;
        }
        HttpCall call;
        call.address = addresses[i];
        call.method = request.method;
        call.target = request.path;
        call.headers["Content-Type"] = "application/json";
        call.headers["Idempotency-Key"] = fmt::format("{}-{}", task.program, task.sequence);
        call.body = request.body;
        call.timeout = std::min(timeout, Milliseconds(left));
        call.reuseConnection = task.accepted.isIdempotent;
        const Result<HttpResponse> answer = co_await parts_.http.request(std::move(call));
        const bool isServerError = answer && answer.value().status >= firstServerError;
        if (answer && (!isServerError || !task.accepted.isIdempotent)) {
            CallResult ran;
            ran.sequence = task.sequence;
            ran.attempt = attemptNumber;
            ran.rootAttempt = attemptNumber;
            ran.status = static_cast<std::uint16_t>(answer.value().status);
            ran.answer = answer.value().body;
            co_return ran;
        }
        lastError = answer ? fmt::format("{}: status {}", addresses[i].toString(), answer.value().status)
                           : answer.error().message;
        const bool isNotSent = !answer && answer.error().outcome == Outcome::NotRun;
        mayHaveRun = mayHaveRun || !isNotSent;
        // A request that is not idempotent is sent to the next address only if it was certainly not sent to this one.
        const bool canTryNextAddress
            = isNotSent || (task.accepted.isIdempotent && tryRetry("service " + request.service));
        if (!canTryNextAddress) {
            break;
        }
        co_await sleepFor(retryDelay);
    }
    co_return failure(task, ErrorKind::BackendFailed, lastError, mayHaveRun ? Outcome::Unknown : Outcome::NotRun);
}

} // namespace cardamompost
