#include "cp_call_runner.hpp"

#include <cardamompost/net/cp_await.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace cardamompost
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::uint32_t maxAttempts = 4;
constexpr int maxResumes = 3;
constexpr Milliseconds resumeDelay {50};
constexpr Milliseconds cancelRetryDelay {500};

std::string attemptId(const ProgramId &program, const CallIntent &intent)
{
    return fmt::format("{}-{}-{}", program, intent.sequence, intent.attempt);
}

Milliseconds timeUntil(std::int64_t wallMs)
{
    return Milliseconds(std::max<std::int64_t>(0, wallMs - wallClockMs()));
}

} // namespace

WaitingCall CallRunner::waitingCall(const Task &task) const
{
    const CallRequest request = decodeCallRequest(CallKind::Model, task.accepted.request);
    const TimePoint now = std::chrono::steady_clock::now();
    WaitingCall call;
    call.id = Dispatcher::nextCallId();
    call.workClass = task.created.workClass;
    call.rank = task.rank;
    call.arrived = now;
    call.deadline = now + timeUntil(task.deadlineMs);
    call.attainedTokens = task.attainedTokens;
    call.turn = task.sequence;
    call.promptTokens = task.historyTokens + promptTokenBound(request.messages);
    call.maxTokens = request.maxTokens;
    call.warmReplica = task.warmReplica;
    call.warmTokens = task.historyTokens;
    return call;
}

json::object CallRunner::engineRequest(const Task &task, const CallIntent &intent, const std::string &model) const
{
    const CallRequest request = decodeCallRequest(CallKind::Model, task.accepted.request);
    json::object body = request.parameters;
    json::array messages = task.history;
    for (const json::value &message : request.messages) {
        messages.push_back(message);
    }
    if (!intent.priorText.empty()) {
        messages.push_back(json::object {{"role", "assistant"}, {"content", intent.priorText}});
        body["continue_final_message"] = true;
    }
    body["model"] = model;
    body["messages"] = std::move(messages);
    body["max_tokens"] = request.maxTokens - static_cast<std::int64_t>(intent.priorTokens);
    body["stream"] = true;
    body["stream_options"] = json::object {{"include_usage", true}};
    body["priority"] = task.rank;
    body["request_id"] = attemptId(task.program, intent);
    body["program"] = task.program;
    body["deadline_ms"] = timeUntil(task.deadlineMs).count();
    return body;
}

asio::awaitable<CallRunner::RunResult> CallRunner::runModel(Task &task)
{
    recordFirstAttempt(task.created.deployment);
    bool shouldRetry = true;
    RunResult runResult;
    while (shouldRetry) {
        shouldRetry = false;
        runResult = co_await runModelAttempt(task, shouldRetry);
    }
    co_return runResult;
}

// Resumes the previous owner's attempt or starts a new one. Sets shouldRetry if another attempt should follow.
asio::awaitable<CallRunner::RunResult> CallRunner::runModelAttempt(Task &task, bool &shouldRetry)
{
    const bool isInherited = std::exchange(task.hasInheritedAttempt, false);
    CallIntent intent;
    std::optional<AcquiredReplica> acquiredReplica;
    Replica replica;
    if (isInherited) {
        intent = task.attempts.back();
        const std::optional<Replica> known = parts_.dispatcher.findReplica(intent.backend);
        replica = known.value_or(Replica {});
    }
    const bool isNew = !isInherited || replica.name.empty();
    if (isNew) {
        const WaitingCall waiting = waitingCall(task);
        Result<AcquiredReplica> acquired = co_await parts_.dispatcher.acquire(task.created.deployment, waiting);
        if (!acquired) {
            // Earlier attempts may have been executed.
            const Outcome outcome = task.attempts.empty() ? Outcome::NotRun : Outcome::Unknown;
            co_return failure(task, acquired.error().kind, acquired.error().message, outcome);
        }
        acquiredReplica = std::move(acquired.value());
        replica = acquiredReplica->replica;
        const auto attemptNumber = static_cast<std::uint32_t>(task.attempts.size() + 1);
        const std::uint64_t priorTokens = task.live->position();
        const std::uint32_t rootAttempt = priorTokens == 0 ? attemptNumber : task.attempts.back().rootAttempt;
        intent = {task.sequence,
                  attemptNumber,
                  replica.name,
                  task.deadlineMs,
                  rootAttempt,
                  priorTokens,
                  priorTokens == 0 ? std::string() : task.live->text()};
        const bool isWritten = co_await writeIntent(task, intent);
        if (!isWritten) {
            parts_.dispatcher.release(*acquiredReplica, false);
            co_return std::nullopt;
        }
    }
    task.live->begin(intent.rootAttempt);
    if (intent.priorTokens != 0) {
        task.live->addTokens(intent.priorTokens, intent.priorText);
    }
    const EngineResult result = co_await streamAttempt(task, replica, intent, isNew);
    const bool isAtFault = result.end == EngineEnd::NotSent || result.end == EngineEnd::Interrupted;
    if (acquiredReplica) {
        parts_.dispatcher.release(*acquiredReplica, isAtFault);
    }
    RunResult runResult = resultOfAttempt(task, result, intent);
    // A request unknown to the engine may still arrive late; the cancellation makes the engine refuse it.
    const bool mayBeOnEngine = result.end == EngineEnd::Interrupted || result.end == EngineEnd::Stopped
        || result.end == EngineEnd::UnknownAttempt;
    if (mayBeOnEngine) {
        asio::co_spawn(asio::make_strand(executor_),
                       cancelUntilConfirmed(replica, attemptId(task.program, intent), task.deadlineMs), asio::detached);
    }
    const bool mayRetry
        = result.end != EngineEnd::Finished && result.end != EngineEnd::Stopped && task.attempts.size() < maxAttempts;
    shouldRetry = mayRetry && timeUntil(task.deadlineMs).count() > 0 && !task.live->isCancelled()
        && (result.end == EngineEnd::UnknownAttempt || tryRetry(task.created.deployment));
    if (shouldRetry) {
        parts_.log.warn("call.retry",
                        {{"program", task.program},
                         {"call", task.sequence},
                         {"attempt", intent.attempt},
                         {"epoch", task.epoch},
                         {"backend", intent.backend},
                         {"message", result.message}});
    }
    co_return runResult;
}

asio::awaitable<EngineResult> CallRunner::streamAttempt(Task &task, Replica replica, CallIntent intent, bool isNew)
{
    const std::uint64_t priorTokens = intent.priorTokens;
    const std::string attempt = attemptId(task.program, intent);
    const std::shared_ptr<LiveCall> live = task.live;
    const std::int64_t deadlineMs = task.deadlineMs;
    const auto view = parts_.replica.view();
    const Deployment *deployment = view->configuration.findDeployment(task.created.deployment);
    const std::string model = deployment == nullptr ? std::string() : deployment->model;
    const auto makeHandlers = [live, priorTokens, deadlineMs] {
        EngineClient::StreamHandlers handlers;
        handlers.onToken = [live, priorTokens](std::uint64_t position, std::string text) {
            live->addTokens(priorTokens + position, std::move(text));
        };
        handlers.isWanted = [live, deadlineMs] { return !live->isCancelled() && wallClockMs() < deadlineMs; };
        return handlers;
    };
    EngineResult result;
    if (isNew) {
        EngineClient::StreamHandlers handlers = makeHandlers();
        json::object request = engineRequest(task, intent, model);
        result = co_await parts_.engines.start(replica, std::move(request), timeUntil(deadlineMs), std::move(handlers));
    } else {
        EngineClient::StreamHandlers handlers = makeHandlers();
        result = co_await parts_.engines.resume(replica, attempt, 0, timeUntil(deadlineMs), std::move(handlers));
    }
    // The engine continues to generate when a connection stalls or breaks; the rest of the answer is fetched over a new
    // connection.
    for (int resumes = 0;
         result.end == EngineEnd::Interrupted && resumes < maxResumes && timeUntil(deadlineMs).count() > 0; ++resumes) {
        co_await sleepFor(resumeDelay);
        const std::uint64_t position = live->position();
        const std::uint64_t after = position > priorTokens ? position - priorTokens : 0;
        EngineClient::StreamHandlers handlers = makeHandlers();
        EngineResult resumed
            = co_await parts_.engines.resume(replica, attempt, after, timeUntil(deadlineMs), std::move(handlers));
        const bool isGone = resumed.end == EngineEnd::NotSent || resumed.end == EngineEnd::UnknownAttempt;
        result = std::move(resumed);
        result.end = isGone ? EngineEnd::Interrupted : result.end;
        if (isGone) {
            break;
        }
    }
    co_return result;
}

CallRunner::RunResult CallRunner::resultOfAttempt(Task &task, const EngineResult &result, const CallIntent &intent)
{
    if (result.end == EngineEnd::Finished) {
        CallResult ran;
        ran.sequence = task.sequence;
        ran.attempt = intent.attempt;
        ran.rootAttempt = intent.rootAttempt;
        ran.outcome = Outcome::Ran;
        ran.answer = task.live->text();
        ran.isCutOff = result.finishReason == "length";
        const auto priorTokens = static_cast<std::int64_t>(intent.priorTokens);
        ran.promptTokens = std::max<std::int64_t>(0, result.promptTokens - priorTokens);
        ran.completionTokens = result.completionTokens + priorTokens;
        ran.cachedTokens = std::min(result.cachedTokens, ran.promptTokens);
        return ran;
    }
    if (result.end == EngineEnd::Stopped) {
        const bool isCancelled = task.live->isCancelled();
        const ErrorKind kind = isCancelled ? ErrorKind::Cancelled : ErrorKind::DeadlineExceeded;
        return failure(task, kind, isCancelled ? "the program was ended" : "the call's deadline has passed",
                       Outcome::Unknown);
    }
    const bool wasCertainlyNotRun
        = task.attempts.size() == 1 && (result.end == EngineEnd::NotSent || result.end == EngineEnd::Refused);
    return failure(task, ErrorKind::BackendFailed, fmt::format("{}: {}", intent.backend, result.message),
                   wasCertainlyNotRun ? Outcome::NotRun : Outcome::Unknown);
}

asio::awaitable<void> CallRunner::cancelUntilConfirmed(Replica replica, std::string attempt, std::int64_t deadlineMs)
{
    // Otherwise the attempt could occupy the replica's slot and memory until its deadline.
    bool isConfirmed = false;
    while (!isConfirmed && wallClockMs() < deadlineMs) {
        isConfirmed = co_await parts_.engines.cancel(replica, attempt);
        co_await sleepFor(cancelRetryDelay);
    }
}

} // namespace cardamompost
