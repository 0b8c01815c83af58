#include "cp_call_service.hpp"

#include <cardamompost/core/cp_invariant.hpp>
#include <cardamompost/net/cp_await.hpp>

#include <fmt/format.h>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr std::int64_t defaultMaxTokens = 1024;
constexpr std::size_t maxOpenCalls = 32;

std::size_t countOpen(const Program &program)
{
    std::size_t open = 0;
    for (auto call = program.calls().rbegin(); call != program.calls().rend() && !call->second.isFinal(); ++call) {
        ++open;
    }
    return open;
}

// Upper bound of the tokens that open calls can add to the history, with prompts and answers.
std::int64_t openReservations(const Program &program)
{
    std::int64_t tokens = 0;
    for (auto call = program.calls().rbegin(); call != program.calls().rend() && !call->second.isFinal(); ++call) {
        tokens += call->second.accepted.reservedTokens;
    }
    return tokens;
}

// These refusals depend on the current state, so they are stored for the idempotency key of the request.
bool isPersistedRefusal(ErrorKind kind)
{
    return kind == ErrorKind::OutOfOrder || kind == ErrorKind::OverLimit || kind == ErrorKind::Overloaded
        || kind == ErrorKind::BudgetExhausted || kind == ErrorKind::ProgramEnded;
}

} // namespace

CallService::FoundCall CallService::foundCall(PartitionSlot &slot, OwnedProgram &owned, const ApiRequest &request,
                                              std::uint32_t sequence) const
{
    const auto view = parts_.replica.view();
    const Call &call = *owned.program.findCall(sequence);
    const Deployment *deployment = view->configuration.findDeployment(owned.program.created().deployment);
    FoundCall found;
    found.context = {owned.program.id(), sequence,
                     call.accepted.kind, deployment == nullptr ? std::string() : deployment->model,
                     call.acceptedMs,    request.format,
                     request.isStream};
    found.epoch = slot.writer->epoch();
    // A LiveCall takes precedence over the stored result, since it finishes only after the result is committed.
    auto live = owned.live.find(sequence);
    if (live == owned.live.end() && !call.result) {
        live = owned.live.emplace(sequence, std::make_shared<LiveCall>()).first;
    }
    if (live != owned.live.end()) {
        found.live = live->second;
    } else {
        found.result = call.result;
    }
    return found;
}

Result<std::optional<CallService::FoundCall>> CallService::findExisting(PartitionSlot &slot, OwnedProgram &owned,
                                                                        const ApiRequest &request,
                                                                        const CallRequest &call) const
{
    const std::uint64_t hash = stableHash(request.body);
    const std::string &key = request.idempotencyKey;
    std::uint32_t sequence = call.sequence;
    if (!key.empty()) {
        if (const CallRefused *refusal = owned.program.refusalOf(key)) {
            // Prevents a delayed duplicate of a request from running after the first copy was refused.
            Error error
                = makeError(errorKindFromName(refusal->errorKind).value_or(ErrorKind::Internal), refusal->errorMessage);
            error.outcome = Outcome::NotRun;
            return error;
        }
        const auto known = owned.program.sequenceOfKey(key);
        if (known && call.sequence != 0 && *known != call.sequence) {
            return makeError(ErrorKind::IdempotencyConflict,
                             fmt::format("the idempotency key belongs to call {}", *known));
        }
        sequence = known.value_or(sequence);
    }
    const Call *existing = sequence == 0 ? nullptr : owned.program.findCall(sequence);
    if (existing == nullptr || existing->machine.state() == CallState::NotRun) {
        return std::optional<FoundCall>();
    }
    const bool isOtherKey
        = !key.empty() && !existing->accepted.idempotencyKey.empty() && existing->accepted.idempotencyKey != key;
    if (isOtherKey || existing->accepted.bodyHash != hash) {
        return makeError(ErrorKind::IdempotencyConflict,
                         fmt::format("call {} was made with another body or idempotency key", sequence));
    }
    return std::optional<FoundCall>(foundCall(slot, owned, request, sequence));
}

Result<void> CallService::checkNew(const OwnedProgram &owned, const CallRequest &call) const
{
    const Program &program = owned.program;
    if (program.hasEnded() || owned.isEnding) {
        return makeError(ErrorKind::ProgramEnded, "the program has ended");
    }
    if (call.sequence != 0 && call.sequence != program.nextSequence()) {
        return makeError(ErrorKind::OutOfOrder, fmt::format("'sequence' has to be {}", program.nextSequence()));
    }
    if (countOpen(program) >= maxOpenCalls) {
        return makeError(ErrorKind::OverLimit, fmt::format("the program already has {} open calls", maxOpenCalls));
    }
    const auto view = parts_.replica.view();
    const Caller *caller = view->configuration.findCaller(program.created().caller);
    const WorkClass *workClass = view->configuration.findClass(program.created().workClass);
    if (caller == nullptr || workClass == nullptr) {
        return makeError(ErrorKind::Forbidden, "the program's caller or class is no longer declared");
    }
    if (call.kind == CallKind::Service) {
        const bool isAllowed
            = std::find(caller->services.begin(), caller->services.end(), call.service) != caller->services.end();
        if (!isAllowed) {
            return makeError(ErrorKind::Forbidden, "the caller is not allowed to use service '" + call.service + "'");
        }
    } else if (const auto refusal = parts_.dispatcher.refusalFor(program.created().deployment, workClass->rank,
                                                                 program.attainedTokens())) {
        return *refusal;
    }
    return boost::outcome_v2::success();
}

Result<CallService::FoundCall> CallService::acceptLocked(PartitionSlot &slot, OwnedProgram &owned,
                                                         const ApiRequest &request, CallRequest call)
{
    if (request.refusal) {
        return *request.refusal;
    }
    BOOST_OUTCOME_TRYV(checkNew(owned, call));
    const Program &program = owned.program;
    CallAccepted accepted;
    accepted.sequence = program.nextSequence();
    accepted.idempotencyKey = request.idempotencyKey;
    accepted.bodyHash = stableHash(request.body);
    accepted.kind = call.kind;
    accepted.isIdempotent = call.kind == CallKind::Model || call.isIdempotent;
    if (call.kind == CallKind::Model) {
        if (request.format == ApiFormat::ChatCompletion) {
            call.messages = withoutHistory(call.messages, historyMessages(program, accepted.sequence));
        }
        const std::int64_t prompt
            = program.historyTokens() + openReservations(program) + promptTokenBound(call.messages);
        const std::int64_t wanted = call.maxTokens == 0 ? defaultMaxTokens : call.maxTokens;
        const std::int64_t allowed = program.budget().remaining() - prompt;
        if (allowed < 1) {
            return makeError(ErrorKind::BudgetExhausted,
                             fmt::format("the prompt of the call can take up to {} tokens, but the budget has {} left",
                                         prompt, program.budget().remaining()));
        }
        // The engine stops at this limit, which keeps the answer within the budget.
        call.maxTokens = std::min(wanted, allowed);
        accepted.reservedTokens = prompt + call.maxTokens;
    }
    accepted.request = encodeCallRequest(call);
    const std::uint32_t sequence = accepted.sequence;
    owned.live[sequence] = std::make_shared<LiveCall>();
    const LogIndex index = parts_.table.append(slot, {program.id(), wallClockMs(), std::move(accepted)});
    FoundCall found = foundCall(slot, owned, request, sequence);
    found.index = index;
    found.isNew = true;
    return found;
}

Result<CallService::FoundCall> CallService::submitLocked(PartitionSlot &slot, const ApiRequest &request,
                                                         const CallRequest &call)
{
    BOOST_OUTCOME_TRY(OwnedProgram * owned, findOwnedProgram(slot, request));
    BOOST_OUTCOME_TRY(std::optional<FoundCall> existing, findExisting(slot, *owned, request, call));
    if (existing) {
        return std::move(*existing);
    }
    return acceptLocked(slot, *owned, request, call);
}

Result<CallService::FoundCall> CallService::submitSingleLocked(PartitionSlot &slot, const ApiRequest &request,
                                                               const CallRequest &call, const Deployment &deployment)
{
    if (slot.find(request.program) != nullptr) {
        return submitLocked(slot, request, call);
    }
    const auto view = parts_.replica.view();
    const Caller *caller = view->configuration.findCaller(request.caller);
    if (caller == nullptr) {
        return makeError(ErrorKind::Forbidden, "the caller is no longer declared");
    }
    ProgramCreated created;
    created.caller = request.caller;
    created.deployment = deployment.name;
    created.workClass = request.workClass;
    created.budgetTokens = caller->programBudgetTokens;
    created.idempotencyKey = request.idempotencyKey;
    created.bodyHash = stableHash(request.body);
    created.isSingleCall = true;
    parts_.table.append(slot, {request.program, wallClockMs(), std::move(created)});
    Result<FoundCall> found = acceptLocked(slot, *slot.find(request.program), request, call);
    if (!found) {
        parts_.table.append(slot, {request.program, wallClockMs(), ProgramEnded {"its call was refused"}});
    }
    return found;
}

asio::awaitable<void> CallService::commitRefusal(ApiRequest request, Error error, Sink sink)
{
    const PartitionId partition = parts_.table.partitionOf(request.program);
    Epoch epoch = 0;
    LogIndex index = 0;
    // Without ownership nothing is written, and the request is forwarded to the new owner.
    [[maybe_unused]] const Result<void> tried
        = parts_.table.withSlot(partition, [&](PartitionSlot &slot) -> Result<void> {
              if (slot.find(request.program) != nullptr) {
                  epoch = slot.writer->epoch();
                  const CallRefused refused {request.idempotencyKey, std::string(answerFor(error.kind).name),
                                             error.message};
                  index = parts_.table.append(slot, {request.program, wallClockMs(), refused});
              }
              return boost::outcome_v2::success();
          });
    bool isCommitted = false;
    if (index != 0) {
        isCommitted = co_await parts_.table.waitCommitted(partition, epoch, index);
    }
    if (isCommitted) {
        sink(errorChunk(error));
    } else {
        sink(makeError(ErrorKind::NotOwner, "the partition moved to another VM"));
    }
}

asio::awaitable<void> CallService::submitCall(ApiRequest request, Sink sink)
{
    const PartitionId partition = parts_.table.partitionOf(request.program);
    std::string modelName;
    const bool isChat = request.format == ApiFormat::ChatCompletion;
    const Result<CallRequest> call
        = isChat ? parseChatRequest(request.body, modelName) : parseCallRequest(request.body);
    if (!call) {
        sink(errorChunk(call.error()));
        co_return;
    }
    const auto view = parts_.replica.view();
    const Caller *caller = view->configuration.findCaller(request.caller);
    const Deployment *deployment = caller == nullptr ? nullptr : view->configuration.findModel(modelName, *caller);
    if (request.operation == ApiOperation::SingleCall && deployment == nullptr) {
        sink(errorChunk(makeError(ErrorKind::NotFound, "there is no model '" + modelName + "'")));
        co_return;
    }
    const Result<FoundCall> found = parts_.table.withSlot(partition, [&](PartitionSlot &slot) {
        return request.operation == ApiOperation::SingleCall
            ? submitSingleLocked(slot, request, call.value(), *deployment)
            : submitLocked(slot, request, call.value());
    });
    if (!found) {
        const Error error = found.error();
        // A caller cannot resend a request under a generated key.
        const bool hasCallerKey = !request.idempotencyKey.empty() && !request.isKeyGenerated;
        if (hasCallerKey && isPersistedRefusal(error.kind)) {
            co_await commitRefusal(std::move(request), error, std::move(sink));
        } else if (error.kind == ErrorKind::NotOwner) {
            sink(error);
        } else {
            sink(errorChunk(error));
        }
        co_return;
    }
    if (found.value().isNew) {
        const bool isCommitted
            = co_await parts_.table.waitCommitted(partition, found.value().epoch, found.value().index);
        if (!isCommitted) {
            sink(makeError(ErrorKind::NotOwner, "the partition moved to another VM"));
            co_return;
        }
        parts_.runner.startNext(partition, found.value().epoch, request.program);
    }
    watch(request, found.value(), sink);
}

} // namespace cardamompost
