#include "cp_call_service.hpp"

#include <cardamompost/net/cp_await.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json/serialize.hpp>

namespace cardamompost
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr unsigned statusOk = 200;
constexpr unsigned statusCreated = 201;
constexpr Milliseconds endTimeout {5000};
constexpr Milliseconds endPollInterval {20};

Error notOwner()
{
    return makeError(ErrorKind::NotOwner, "the partition moved to another VM");
}

// NotOwner makes the entry forward the request to the owner; other errors are returned to the caller.
Result<ApiChunk> answerError(const Error &error)
{
    if (error.kind == ErrorKind::NotOwner) {
        return error;
    }
    return errorChunk(error);
}

void addExplanation(const Program &program, json::object &body)
{
    body["attained_tokens"] = program.attainedTokens();
    body["last_backend"] = program.lastBackend();
    body["held_backends"] = json::array(program.unreleasedBackends().begin(), program.unreleasedBackends().end());
    json::array calls;
    for (const auto &[sequence, call] : program.calls()) {
        json::array attempts;
        for (const CallIntent &attempt : call.attempts) {
            attempts.push_back(json::object {
                {"attempt", attempt.attempt}, {"backend", attempt.backend}, {"kept_tokens", attempt.priorTokens}});
        }
        json::object entry {{"sequence", sequence},
                            {"state", nameOf(callStateNames, call.machine.state())},
                            {"attempts", std::move(attempts)}};
        if (call.result) {
            entry["prompt_tokens"] = call.result->promptTokens;
            entry["cached_tokens"] = call.result->cachedTokens;
        }
        calls.push_back(std::move(entry));
    }
    body["explained_calls"] = std::move(calls);
}

} // namespace

CallService::CallService(asio::any_io_executor executor, Parts parts)
    : executor_(std::move(executor))
    , parts_(parts)
{
}

void CallService::start()
{
    asio::co_spawn(asio::make_strand(executor_), sweep(), asio::detached);
}

void CallService::stop()
{
    isStopped_ = true;
}

void CallService::handle(ApiRequest request, Sink sink)
{
    asio::co_spawn(asio::make_strand(executor_), run(std::move(request), std::move(sink)), asio::detached);
}

asio::awaitable<void> CallService::run(ApiRequest request, Sink sink)
{
    switch (request.operation) {
    case ApiOperation::CreateProgram:
        co_await createProgram(std::move(request), std::move(sink));
        break;
    case ApiOperation::EndProgram:
        co_await endProgram(std::move(request), std::move(sink));
        break;
    case ApiOperation::SubmitCall:
    case ApiOperation::SingleCall:
        co_await submitCall(std::move(request), std::move(sink));
        break;
    case ApiOperation::FetchCall:
        fetchCall(request, sink);
        break;
    case ApiOperation::CheckHold:
        checkHold(request, sink);
        break;
    case ApiOperation::GetProgram:
    case ApiOperation::GetHistory:
    case ApiOperation::Explain:
        co_await readProgram(std::move(request), std::move(sink));
        break;
    }
}

Result<OwnedProgram *> CallService::findOwnedProgram(PartitionSlot &slot, const ApiRequest &request) const
{
    OwnedProgram *owned = slot.find(request.program);
    // Another caller's program is reported as missing, so that ids can't be probed.
    if (owned == nullptr || owned->program.created().caller != request.caller) {
        return makeError(ErrorKind::NotFound, "there is no program '" + request.program + "'");
    }
    return owned;
}

void CallService::checkHold(const ApiRequest &request, const Sink &sink)
{
    const PartitionId partition = parts_.table.partitionOf(request.program);
    const Result<bool> isGone = parts_.table.withSlot(partition, [&](PartitionSlot &slot) -> Result<bool> {
        const OwnedProgram *owned = slot.find(request.program);
        return owned == nullptr || owned->program.hasEnded();
    });
    if (isGone) {
        sink(jsonChunk(statusOk, json::object {{"gone", isGone.value()}}));
    } else {
        sink(answerError(isGone.error()));
    }
}

asio::awaitable<void> CallService::readProgram(ApiRequest request, Sink sink)
{
    const PartitionId partition = parts_.table.partitionOf(request.program);
    Result<PendingAnswer> read = parts_.table.withSlot(partition, [&](PartitionSlot &slot) -> Result<PendingAnswer> {
        BOOST_OUTCOME_TRY(const OwnedProgram *owned, findOwnedProgram(slot, request));
        PendingAnswer pending {slot.writer->epoch(), slot.writer->lastIndex(), programBody(owned->program)};
        if (request.operation == ApiOperation::GetHistory) {
            pending.body["messages"] = historyMessages(owned->program, owned->program.nextSequence());
            pending.body["history"] = historyCalls(owned->program);
        } else if (request.operation == ApiOperation::Explain) {
            addExplanation(owned->program, pending.body);
        }
        return pending;
    });
    if (!read) {
        sink(answerError(read.error()));
        co_return;
    }
    // Prevents dirty reads: the records read here may not be on a quorum yet.
    const bool isCommitted = co_await parts_.table.waitCommitted(partition, read.value().epoch, read.value().index);
    sink(isCommitted ? Result<ApiChunk>(jsonChunk(statusOk, read.value().body)) : Result<ApiChunk>(notOwner()));
}

Result<ProgramCreated> CallService::checkCreation(PartitionSlot &slot, const ApiRequest &request,
                                                  const ProgramRequest &programRequest) const
{
    const auto view = parts_.replica.view();
    const Caller *caller = view->configuration.findCaller(request.caller);
    if (caller == nullptr) {
        return makeError(ErrorKind::Forbidden, "the caller is no longer declared");
    }
    ProgramCreated created;
    created.caller = request.caller;
    created.deployment = programRequest.deployment;
    created.workClass = programRequest.workClass;
    created.idempotencyKey = request.idempotencyKey;
    created.bodyHash = stableHash(request.body);
    created.budgetTokens = programRequest.budgetTokens == 0 ? caller->programBudgetTokens : programRequest.budgetTokens;
    created.deadlineMs = programRequest.timeLimitMs == 0 ? 0 : wallClockMs() + programRequest.timeLimitMs;
    created.parent = programRequest.parent;
    if (created.budgetTokens > caller->programBudgetTokens) {
        return makeError(ErrorKind::BudgetExhausted, "'budget_tokens' exceeds the caller's limit per program");
    }
    if (!programRequest.parent.empty()) {
        ApiRequest parentRequest = request;
        parentRequest.program = programRequest.parent;
        BOOST_OUTCOME_TRY(const OwnedProgram *parent, findOwnedProgram(slot, parentRequest));
        if (parent->program.hasEnded() || parent->isEnding) {
            return makeError(ErrorKind::ProgramEnded, "the parent program has ended");
        }
        if (programRequest.budgetTokens == 0) {
            created.budgetTokens = std::min(created.budgetTokens, parent->program.budget().remaining());
        }
        if (created.budgetTokens <= 0 || parent->program.budget().remaining() < created.budgetTokens) {
            return makeError(ErrorKind::BudgetExhausted, "the parent program's budget does not cover 'budget_tokens'");
        }
    }
    return created;
}

Result<CallService::PendingAnswer> CallService::createLocked(PartitionSlot &slot, const ApiRequest &request,
                                                             const ProgramRequest &programRequest)
{
    PendingAnswer pending;
    pending.epoch = slot.writer->epoch();
    if (OwnedProgram *known = slot.find(request.program)) {
        const ProgramCreated &created = known->program.created();
        if (created.caller != request.caller || created.bodyHash != stableHash(request.body)) {
            return makeError(ErrorKind::IdempotencyConflict, "the idempotency key belongs to another request");
        }
        // The original request's record may not be committed yet.
        pending.index = slot.writer->lastIndex();
        pending.body = programBody(known->program);
        return pending;
    }
    BOOST_OUTCOME_TRY(ProgramCreated created, checkCreation(slot, request, programRequest));
    pending.index = parts_.table.append(slot, {request.program, wallClockMs(), std::move(created)});
    pending.body = programBody(slot.find(request.program)->program);
    return pending;
}

asio::awaitable<void> CallService::createProgram(ApiRequest request, Sink sink)
{
    const PartitionId partition = parts_.table.partitionOf(request.program);
    const Result<ProgramRequest> programRequest = parseProgramRequest(request.body);
    if (!programRequest) {
        sink(errorChunk(programRequest.error()));
        co_return;
    }
    Result<PendingAnswer> pending = parts_.table.withSlot(
        partition, [&](PartitionSlot &slot) { return createLocked(slot, request, programRequest.value()); });
    if (!pending) {
        sink(answerError(pending.error()));
        co_return;
    }
    const bool isCommitted
        = co_await parts_.table.waitCommitted(partition, pending.value().epoch, pending.value().index);
    if (!isCommitted) {
        sink(notOwner());
        co_return;
    }
    sink(jsonChunk(statusCreated, pending.value().body, Outcome::Ran));
}

asio::awaitable<void> CallService::endProgram(ApiRequest request, Sink sink)
{
    const PartitionId partition = parts_.table.partitionOf(request.program);
    const TimePoint deadline = std::chrono::steady_clock::now() + endTimeout;
    PendingAnswer pending;
    bool isOpen = true;
    while (isOpen) {
        std::vector<std::shared_ptr<LiveCall>> liveCalls;
        const Result<void> tried = parts_.table.withSlot(partition, [&](PartitionSlot &slot) -> Result<void> {
            BOOST_OUTCOME_TRY(OwnedProgram * owned, findOwnedProgram(slot, request));
            owned->isEnding = true;
            isOpen = owned->program.firstOpenCall().has_value();
            for (auto &[sequence, live] : owned->live) {
                liveCalls.push_back(live);
            }
            pending.epoch = slot.writer->epoch();
            pending.index = slot.writer->lastIndex();
            if (!isOpen && !owned->program.hasEnded()) {
                pending.index
                    = parts_.table.append(slot, {request.program, wallClockMs(), ProgramEnded {"ended by its caller"}});
            }
            pending.body = programBody(owned->program);
            return boost::outcome_v2::success();
        });
        if (!tried) {
            sink(answerError(tried.error()));
            co_return;
        }
        // Stops running calls at their engines; the result of each is reported in its own answer.
        for (const auto &live : liveCalls) {
            live->cancel();
        }
        if (isOpen && std::chrono::steady_clock::now() > deadline) {
            break;
        }
        if (isOpen) {
            co_await sleepFor(endPollInterval);
        }
    }
    const bool isCommitted = co_await parts_.table.waitCommitted(partition, pending.epoch, pending.index);
    if (!isCommitted) {
        sink(notOwner());
        co_return;
    }
    parts_.runner.startRelease(partition, pending.epoch, request.program);
    sink(jsonChunk(isOpen ? 202 : statusOk, pending.body, Outcome::Ran));
}

void CallService::fetchCall(const ApiRequest &request, const Sink &sink)
{
    const PartitionId partition = parts_.table.partitionOf(request.program);
    Epoch epoch = 0;
    const Result<FoundCall> found = parts_.table.withSlot(partition, [&](PartitionSlot &slot) -> Result<FoundCall> {
        BOOST_OUTCOME_TRY(OwnedProgram * owned, findOwnedProgram(slot, request));
        epoch = slot.writer->epoch();
        if (owned->program.findCall(request.sequence) == nullptr) {
            return makeError(ErrorKind::NotFound, "the program has no call " + std::to_string(request.sequence));
        }
        return foundCall(slot, *owned, request, request.sequence);
    });
    if (found) {
        watch(request, found.value(), sink);
    } else {
        sink(answerError(found.error()));
    }
}

void CallService::watch(const ApiRequest &request, const FoundCall &found, const Sink &sink)
{
    const AnswerContext context = found.context;
    const auto hasSent = std::make_shared<bool>(false);
    const auto forward = [context, sink, hasSent](const LiveEvent &event) {
        const bool isFinal = event.kind == LiveEvent::Kind::Final;
        const std::optional<Error> error = isFinal ? errorOf(event.result) : std::nullopt;
        if (event.kind == LiveEvent::Kind::Moved) {
            sink(notOwner());
        } else if (error && !*hasSent) {
            // Nothing was sent yet, so the error can be returned with its own status.
            sink(errorChunk(*error));
        } else if (auto chunk = chunkFor(context, event)) {
            *hasSent = true;
            sink(std::move(*chunk));
        }
    };
    if (found.live) {
        found.live->watch(request.lastEventId, forward);
        return;
    }
    // The chunks are no longer available, so the whole text is sent; a caller that received a part of it restarts.
    const CallResult &result = *found.result;
    const std::uint64_t last = eventId(result.rootAttempt, static_cast<std::uint64_t>(result.completionTokens));
    if (request.lastEventId != 0 && request.lastEventId < last) {
        forward({LiveEvent::Kind::Restart, 0, {}, {}});
    }
    if (request.lastEventId < last && !result.answer.empty()) {
        forward({LiveEvent::Kind::Tokens, last, result.answer, {}});
    }
    forward({LiveEvent::Kind::Final, last, {}, result});
}

} // namespace cardamompost
