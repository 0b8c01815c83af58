#include <cardamompost/core/cp_invariant.hpp>
#include <cardamompost/program/cp_program.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

// Refusals kept per program; a repeat of an older refused request is not recognized.
constexpr std::size_t maxRefusals = 1024;

CallEvent eventOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Ran:
        return CallEvent::ResultRan;
    case Outcome::NotRun:
        return CallEvent::ResultNotRun;
    case Outcome::Unknown:
        break;
    }
    return CallEvent::ResultUnknown;
}

} // namespace

Program::Program(ProgramId id, ProgramCreated created, std::int64_t wallMs)
    : id_(std::move(id))
    , created_(std::move(created))
    , createdMs_(wallMs)
    , lastUseMs_(wallMs)
{
    budget_.limit = created_.budgetTokens;
}

void Program::apply(const JournalRecord &record, LogIndex index)
{
    checkInvariant(record.program == id_, "a record belongs to its own program");
    indexes_.push_back(index);
    lastUseMs_ = std::max(lastUseMs_, record.wallMs);
    if (const auto *accepted = std::get_if<CallAccepted>(&record.body)) {
        applyAccepted(*accepted, record.wallMs);
    } else if (const auto *intent = std::get_if<CallIntent>(&record.body)) {
        applyIntent(*intent);
    } else if (const auto *result = std::get_if<CallResult>(&record.body)) {
        applyResult(*result);
    } else if (const auto *refused = std::get_if<CallRefused>(&record.body)) {
        refusals_.insert_or_assign(refused->idempotencyKey, *refused);
        refusalOrder_.push_back(refused->idempotencyKey);
        if (refusalOrder_.size() > maxRefusals) {
            refusals_.erase(refusalOrder_.front());
            refusalOrder_.erase(refusalOrder_.begin());
        }
    } else if (const auto *ended = std::get_if<ProgramEnded>(&record.body)) {
        hasEnded_ = true;
        endReason_ = ended->reason;
    } else if (const auto *released = std::get_if<BackendReleased>(&record.body)) {
        unreleasedBackends_.erase(released->backend);
    }
}

void Program::applyAccepted(const CallAccepted &accepted, std::int64_t wallMs)
{
    checkInvariant(accepted.sequence == nextSequence(), "calls of a program are accepted in order");
    Call call;
    call.accepted = accepted;
    call.acceptedMs = wallMs;
    call.machine = CallMachine(accepted.isIdempotent);
    budget_.reserved += accepted.reservedTokens;
    checkInvariant(budget_.remaining() >= 0, "a program never exceeds its budget");
    textBytes_ += accepted.request.size();
    calls_.insert_or_assign(accepted.sequence, std::move(call));
    if (!accepted.idempotencyKey.empty()) {
        sequenceByKey_[accepted.idempotencyKey] = accepted.sequence;
    }
}

void Program::applyIntent(const CallIntent &intent)
{
    Call &call = calls_.at(intent.sequence);
    checkInvariant(firstOpenCall() == intent.sequence,
                   "a call is sent only after all earlier calls have final answers");
    // The journal does not record whether an attempt was sent. The writer ensures that a call that is not idempotent
    // gets another intent only after one that was not sent.
    const bool isRetryAfterNotSent = call.machine.state() == CallState::Dispatched && !call.accepted.isIdempotent;
    const bool isValid
        = call.machine.process(isRetryAfterNotSent ? CallEvent::IntentAfterNotSent : CallEvent::IntentWritten);
    checkInvariant(isValid, "an intent is valid in the state of its call");
    call.attempts.push_back(intent);
    if (call.accepted.kind == CallKind::Model) {
        unreleasedBackends_.insert(intent.backend);
        lastBackend_ = intent.backend;
    }
}

void Program::applyResult(const CallResult &result)
{
    Call &call = calls_.at(result.sequence);
    checkInvariant(call.machine.process(eventOf(result.outcome)),
                   "a call has one final answer that is valid in its state");
    settle(call, result);
    textBytes_ += result.answer.size();
    call.result = result;
    if (result.outcome == Outcome::NotRun && !call.accepted.idempotencyKey.empty()) {
        // Keeps the refusal for this key, as the sequence number may be reused under another key.
        refusals_.insert_or_assign(call.accepted.idempotencyKey,
                                   CallRefused {call.accepted.idempotencyKey, result.errorKind, result.errorMessage});
    }
}

void Program::settle(const Call &call, const CallResult &result)
{
    budget_.reserved -= call.accepted.reservedTokens;
    const std::int64_t used = result.promptTokens + result.completionTokens;
    switch (result.outcome) {
    case Outcome::Ran:
        budget_.spent += std::min(used, call.accepted.reservedTokens);
        attainedTokens_ += result.promptTokens - result.cachedTokens + result.completionTokens;
        if (call.accepted.kind == CallKind::Model) {
            historyTokens_ = used;
        }
        break;
    case Outcome::NotRun:
        break;
    case Outcome::Unknown:
        // The actual use is unknown, so the whole reservation counts as spent.
        budget_.spent += call.accepted.reservedTokens;
        break;
    }
}

const Call *Program::findCall(std::uint32_t sequence) const
{
    const auto found = calls_.find(sequence);
    return found == calls_.end() ? nullptr : &found->second;
}

std::optional<std::uint32_t> Program::sequenceOfKey(const std::string &idempotencyKey) const
{
    const auto found = sequenceByKey_.find(idempotencyKey);
    return found == sequenceByKey_.end() ? std::nullopt : std::optional(found->second);
}

const CallRefused *Program::refusalOf(const std::string &idempotencyKey) const
{
    const auto found = refusals_.find(idempotencyKey);
    return found == refusals_.end() ? nullptr : &found->second;
}

std::uint32_t Program::nextSequence() const
{
    std::uint32_t next = calls_.empty() ? 1 : calls_.rbegin()->first + 1;
    for (auto call = calls_.rbegin(); call != calls_.rend() && call->second.machine.state() == CallState::NotRun;
         ++call) {
        next = call->first;
    }
    return next;
}

std::optional<std::uint32_t> Program::firstOpenCall() const
{
    // Open calls are the last ones, so a backward search is short.
    std::optional<std::uint32_t> open;
    for (auto call = calls_.rbegin(); call != calls_.rend() && !call->second.isFinal(); ++call) {
        open = call->first;
    }
    return open;
}

void Program::reserveForChild(std::int64_t tokens)
{
    budget_.reserved += tokens;
    checkInvariant(budget_.remaining() >= 0, "a program never exceeds its budget");
}

void Program::settleChild(std::int64_t reserved, std::int64_t spent)
{
    budget_.reserved -= reserved;
    budget_.spent += spent;
}

} // namespace cardamompost
