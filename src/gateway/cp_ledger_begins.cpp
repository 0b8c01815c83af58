#include "cp_ledger_service.hpp"

#include <limits>

namespace cardamompost
{

namespace
{

// Matches how long an entry ejects a server that it could not reach.
constexpr Milliseconds unreachableEjectionTime {1000};
// Commit delays from which new turns are rejected, for new programs and for those in progress.
constexpr Milliseconds maxCommitDelayNew {600};
constexpr Milliseconds maxCommitDelayInProgress {1200};
constexpr Milliseconds minRetryAfter {300};
constexpr Milliseconds retryAfterJitter {600};
// A history is joined, put into a reply and encoded, which takes as much again for each step.
constexpr std::size_t historyCopies = 4;

//! Sum of two durations, at most the largest one.
std::uint32_t extended(std::uint32_t retentionMs, std::uint32_t byMs)
{
    return retentionMs + std::min(byMs, std::numeric_limits<std::uint32_t>::max() - retentionMs);
}

} // namespace

void LedgerService::reportUsage()
{
    const TimePoint now = std::chrono::steady_clock::now();
    if (!leads() || !limiter_.isReportDue(now)) {
        return;
    }
    std::vector<AccountUsage> report = limiter_.takeReport(now);
    if (!report.empty()) {
        propose(UsageReport {report}, [this, report](bool isCommitted) { limiter_.endReport(report, isCommitted); });
    }
}

void LedgerService::onBegin(TurnBegin begin, const Replier &replier)
{
    if (!leads()) {
        replier->reply(TurnBeginReply {TurnBeginStatus::NotLeader, driver_.leader(), {}, {}});
        return;
    }
    if (finishRepliers_.contains(begin.turn)) {
        // The reservation is about to be released, and the caller's next attempt needs its own one.
        replier->reply(TurnBeginReply {TurnBeginStatus::Queued, self_, {}, {}}, false);
        const std::string turn = begin.turn;
        beginsAfterFinish_.emplace(turn, std::pair(std::move(begin), replier));
        return;
    }
    if (const auto found = activeBegins_.find(begin.turn); found != activeBegins_.end()) {
        if (begin.account.empty() || found->second->begin.admission == begin.admission) {
            onRepeatedBegin(*found->second, replier);
        } else {
            admitRepeatedTurn(std::move(begin), replier);
        }
        return;
    }
    publishDocument();
    const auto pending = pendingTokens_.find(begin.program);
    const std::int64_t uncommittedTokens = pending == pendingTokens_.end() ? 0 : pending->second.tokens;
    const TurnBeginStatus status = state_.check(begin, uncommittedTokens);
    if (status == TurnBeginStatus::NoSuchTurn || isPreviousExpired(begin)) {
        confirmNoSuchTurn(begin, replier);
        return;
    }
    if (status == TurnBeginStatus::BudgetExhausted) {
        refuse(begin, status, false, replier);
        return;
    }
    const PlacementRequest &placement = begin.placement;
    if (!placement.softwareVersion.empty()
        && !placement_.mayHaveVersion(placement.service, placement.softwareVersion)) {
        refuse(begin, TurnBeginStatus::NoSuchVersion, false, replier);
        return;
    }
    const TimePoint now = std::chrono::steady_clock::now();
    if (isOverloaded(begin, now)) {
        replier->reply(overloadedReply());
        return;
    }
    const auto active
        = std::make_shared<ActiveBegin>(ActiveBegin {std::move(begin), replier, now, {}, {}, false, std::nullopt});
    activeBegins_.emplace(active->begin.turn, active);
    applyAccountLimit(active);
}

TurnBeginReply LedgerService::overloadedReply()
{
    // Jitter keeps rejected requests from being retried all at once.
    const auto jitter = static_cast<std::uint32_t>(randomIdentity() % retryAfterJitter.count());
    const auto retryAfter = static_cast<std::uint32_t>(minRetryAfter.count()) + jitter;
    overloadedTurns_.add();
    return {TurnBeginStatus::Overloaded, self_, {}, {}, retryAfter};
}

void LedgerService::onRepeatedBegin(ActiveBegin &active, const Replier &replier)
{
    active.replier = replier;
    if (active.isPlaced) {
        replyPlacement(active);
    } else {
        replier->reply(TurnBeginReply {TurnBeginStatus::Queued, self_, {}, {}}, false);
    }
}

void LedgerService::completeBegin(ActiveBegin &active, TurnBeginReply reply)
{
    if (const auto found = activeBegins_.find(active.begin.turn);
        found != activeBegins_.end() && found->second.get() == &active) {
        activeBegins_.erase(found);
    }
    active.replier->reply(std::move(reply));
}

Milliseconds LedgerService::commitDelay(TimePoint now)
{
    while (!proposedBegins_.empty() && proposedBegins_.front().second->decided) {
        proposedBegins_.pop_front();
    }
    return proposedBegins_.empty() ? Milliseconds(0)
                                   : std::chrono::duration_cast<Milliseconds>(now - proposedBegins_.front().first);
}

bool LedgerService::isOverloaded(const TurnBegin &begin, TimePoint now)
{
    // The request may have been sent again while its reservation was decided.
    if (state_.isReserved(begin.program, begin.turn)) {
        return false;
    }
    // Sheds load that the ledger can't commit in time. Programs in progress are admitted for longer than new ones.
    const Milliseconds delay = commitDelay(now);
    if (delay >= (isProgramInProgress(begin) ? maxCommitDelayInProgress : maxCommitDelayNew)) {
        return true;
    }
    // With nothing to commit, the last commit says nothing about the disks of now.
    const Milliseconds expected = proposedBegins_.empty() ? Milliseconds(0) : std::max(delay, lastCommitTime_);
    const Milliseconds timeLeft(begin.placement.timeLeftMs);
    const int commits = begin.isRetained ? 2 : 1;
    return timeLeft.count() != 0 && commits * expected >= timeLeft;
}

void LedgerService::readHistory(const std::shared_ptr<ActiveBegin> &active)
{
    if (active->begin.previous.empty() || isPreviousExpired(active->begin)) {
        startBegin(active);
        return;
    }
    const std::optional<std::vector<LogIndex>> turns = state_.history(active->begin.previous);
    if (!turns) {
        refuseIncompleteHistory(*active);
        return;
    }
    active->hold = std::make_unique<MemoryAccount::Holder>(*parts_.account, [] {});
    if (!active->hold->set(HeldPart::Request, historyCopies * state_.historyBytes(active->begin.previous))) {
        completeBegin(*active, overloadedReply());
        return;
    }
    texts_.read(*turns, [this, active](std::optional<std::string> history) {
        // An unavailable history is reported as retryable, and not as an unknown turn.
        if (!history || !leads()) {
            completeBegin(*active, TurnBeginReply {TurnBeginStatus::NotLeader, driver_.leader(), {}, {}});
            return;
        }
        active->history = std::move(*history);
        startBegin(active);
    });
}

void LedgerService::refuseIncompleteHistory(ActiveBegin &active)
{
    const TurnBegin &begin = active.begin;
    incompleteHistories_.add();
    parts_.log.write(LogLevel::Error, "history.incomplete",
                     {{"turn", unscopedId(begin.turn)},
                      {"program", unscopedId(begin.program)},
                      {"previous", unscopedId(begin.previous)},
                      {"account", accountOf(begin.turn)},
                      {"previous_known", state_.hasTurn(begin.previous)},
                      {"turns", state_.turnCount()}});
    const auto retryAfter = static_cast<std::uint32_t>(minRetryAfter.count());
    completeBegin(active, TurnBeginReply {TurnBeginStatus::IncompleteHistory, self_, {}, {}, retryAfter});
}

bool LedgerService::isProgramInProgress(const TurnBegin &begin) const
{
    return !begin.previous.empty() || state_.spent(begin.program) != 0 || state_.reserved(begin.program) != 0;
}

void LedgerService::startBegin(const std::shared_ptr<ActiveBegin> &active)
{
    if (active->isAbandoned) {
        return;
    }
    const TurnBegin &begin = active->begin;
    if (isPreviousExpired(begin)) {
        // It expired while the begin waited. The entry asks again and gets a confirmed answer.
        completeBegin(*active, TurnBeginReply {TurnBeginStatus::NotLeader, driver_.leader(), {}, {}});
        return;
    }
    SlotRequest request = slotRequestFor(begin);
    // Another turn of the program may have been granted whose reservation isn't applied yet.
    const bool mayHaveBegun = !begin.program.empty() && pendingTokens_.contains(begin.program);
    const std::optional<AdmissionRefusal> refusal
        = mayHaveBegun ? std::nullopt : placement_.refuse(request, std::chrono::steady_clock::now());
    if (refusal) {
        refuseProgram(*active, *refusal);
        return;
    }
    requestPlacement(active, std::move(request));
    if (!active->isPlaced) {
        active->replier->reply(TurnBeginReply {TurnBeginStatus::Queued, self_, {}, {}}, false);
    }
    commitBegin(active);
}

SlotRequest LedgerService::slotRequestFor(const TurnBegin &begin) const
{
    const PlacementRequest &placement = begin.placement;
    SlotRequest request {begin.turn,
                         begin.program,
                         placement.service,
                         placement.failureDomain,
                         placement.rank,
                         false,
                         false,
                         Milliseconds(placement.timeLeftMs)};
    // A stream that is resumed has few engines to choose from, and its caller has waited for it before.
    const bool isResumed = !placement.softwareVersion.empty();
    request.isInProgress = isResumed || isProgramInProgress(begin);
    request.isLate = !isResumed && placement.programTimeLeftMs < 0;
    request.softwareVersion = placement.softwareVersion;
    request.account = accountOf(begin.turn);
    request.promptTokens = placement.promptTokens;
    request.outputTokens = placement.outputTokens;
    if (placement.programTimeLeftMs != 0) {
        request.programTimeLeft = Milliseconds(placement.programTimeLeftMs);
    }
    return request;
}

void LedgerService::requestPlacement(const std::shared_ptr<ActiveBegin> &active, SlotRequest request)
{
    const TimePoint now = std::chrono::steady_clock::now();
    for (const std::string &server : active->begin.placement.unreachable) {
        placement_.avoid(server, now + unreachableEjectionTime);
    }
    placement_.request(std::move(request), now,
                       [this, active](const std::string &backend) { onPlaced(*active, backend); });
}

void LedgerService::onPlaced(ActiveBegin &active, const std::string &backend)
{
    active.isPlaced = true;
    active.backend = backend;
    active.promptSource = placement_.promptSourceOf(active.begin.turn);
    placementSeconds_.observe(std::chrono::duration<double>(std::chrono::steady_clock::now() - active.since).count());
    replyPlacement(active);
    if (active.decided) {
        onDecided(active, *active.decided);
    }
}

void LedgerService::replyPlacement(const ActiveBegin &active)
{
    TurnBeginReply reply {TurnBeginStatus::Tentative, self_, active.history, {}};
    // A reply may follow the choice by as long as the entry takes to ask again.
    if (placement_.mayRunAt(active.backend, active.begin.placement.service)) {
        reply.backend = active.backend;
        reply.promptSource = active.promptSource;
    }
    active.replier->reply(std::move(reply), false);
}

void LedgerService::onDecided(ActiveBegin &active, TurnBeginStatus status)
{
    active.decided = status;
    if (active.isAbandoned) {
        return;
    }
    // A granted begin waits for its placement; a rejected one is answered at once.
    if (active.isPlaced || status != TurnBeginStatus::Granted) {
        const ServerVersion *version = state_.streamVersion(active.begin.turn);
        completeBegin(
            active,
            TurnBeginReply {status, driver_.leader(), {}, {}, 0, version == nullptr ? ServerVersion {} : *version});
    }
    if (status != TurnBeginStatus::Granted) {
        placement_.release(active.begin.turn, std::chrono::steady_clock::now());
    }
}

void LedgerService::refuse(const TurnBegin &begin, TurnBeginStatus status, bool isConfirmed, const Replier &replier)
{
    parts_.log.info("turn.refused",
                    {{"turn", unscopedId(begin.turn)},
                     {"program", unscopedId(begin.program)},
                     {"previous", unscopedId(begin.previous)},
                     {"account", accountOf(begin.turn)},
                     {"status", static_cast<int>(status)},
                     {"confirmed", isConfirmed},
                     {"budget", begin.budget},
                     {"spent", state_.spent(begin.program)},
                     {"reserved", state_.reserved(begin.program)},
                     {"asked", begin.maxTokens},
                     {"term", driver_.node().term()}});
    if (status == TurnBeginStatus::BudgetExhausted) {
        exhaustedTurns_.add();
    } else if (status == TurnBeginStatus::NoSuchTurn) {
        unknownTurns_.add();
    } else if (status == TurnBeginStatus::NoSuchVersion) {
        missingVersions_.add();
    }
    replier->reply(TurnBeginReply {status, driver_.leader(), {}, {}});
}

bool LedgerService::isPreviousExpired(const TurnBegin &begin)
{
    return !begin.previous.empty() && state_.retainedUntilMs(begin.previous) < ledgerTimeMs();
}

void LedgerService::confirmNoSuchTurn(const TurnBegin &begin, const Replier &replier)
{
    // A deposed leader may lack a turn that its successor holds, so that NoSuchTurn is final only once a quorum
    // confirms the read. An exhausted budget needs no confirmation: a stale leader can only underestimate what was
    // spent, or miss tokens that were released a moment ago.
    driver_.confirmRead([this, begin, replier](bool isConfirmed) {
        const bool isStillUnknown = isConfirmed && isPreviousExpired(begin);
        refuse(begin, isStillUnknown ? TurnBeginStatus::NoSuchTurn : TurnBeginStatus::NotLeader, isConfirmed, replier);
    });
}

void LedgerService::commitBegin(const std::shared_ptr<ActiveBegin> &active)
{
    if (state_.isReserved(active->begin.program, active->begin.turn)) {
        // A retried begin: an applied reservation is already durable on a quorum.
        onDecided(*active, TurnBeginStatus::Granted);
        return;
    }
    PendingTokens &proposed = pendingTokens_[active->begin.program];
    proposed.tokens += active->begin.maxTokens;
    ++proposed.turns;
    retainHistory(active->begin);
    TurnBegin record = active->begin;
    // The times count from now, and what they retain is needed until the turn has ended.
    record.retentionMs = extended(record.retentionMs, record.placement.timeLeftMs);
    record.placement = {};
    record.account.clear();
    record.isRetained = false;
    if (record.streamRetentionMs != 0) {
        record.version = placement_.versionOf(active->backend);
    }
    const TimePoint proposedAt = std::chrono::steady_clock::now();
    proposedBegins_.emplace_back(proposedAt, active);
    propose(std::move(record), [this, active, proposedAt](bool isCommitted) {
        lastCommitTime_ = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - proposedAt);
        const auto pending = pendingTokens_.find(active->begin.program);
        pending->second.tokens -= active->begin.maxTokens;
        // A turn may have no maximum, so the sum does not tell whether others are pending.
        if (--pending->second.turns == 0) {
            pendingTokens_.erase(pending);
        }
        onDecided(*active, isCommitted ? lastApplyStatus_ : TurnBeginStatus::NotLeader);
    });
}

void LedgerService::retainHistory(const TurnBegin &begin)
{
    const std::int64_t nowMs = ledgerTimeMs();
    const std::int64_t retainedUntilMs = state_.retainedUntilMs(begin.previous);
    const std::int64_t neededUntilMs = nowMs + begin.placement.timeLeftMs + LedgerState::expiryMarginMs;
    if (begin.previous.empty() || retainedUntilMs < nowMs || retainedUntilMs >= neededUntilMs) {
        return;
    }
    // A repeated finish of a turn that is still retained only extends the retention of its history. Unlike a new
    // command, it has the same effect on members of an earlier version.
    TurnFinish repeated;
    repeated.turn = begin.previous;
    repeated.ending = TurnEnding::Complete;
    repeated.isRetained = true;
    repeated.retentionMs = begin.placement.timeLeftMs;
    proposeAt(nowMs, std::move(repeated), [](bool) {});
}

void LedgerService::onFinish(TurnFinish finish, const Replier &replier)
{
    if (!leads()) {
        replier->reply(TurnFinishReply {false, driver_.leader()});
        return;
    }
    if (placement_.holdsSlot(finish.turn, finish.backend)) {
        finish.timing.turnsAtBackend = placement_.turnsRunningAt(finish.backend);
    } else {
        // The number of turns at the engine is not known, as after a change of leader, or the turn was measured before.
        finish.timing.streamMs = 0;
    }
    placement_.release(finish.turn, std::chrono::steady_clock::now());
    const std::string turn = finish.turn;
    // A retried finish: an applied turn is already durable on a quorum.
    const bool isRecorded = finish.isRetained && state_.hasTurn(turn);
    // A rejected turn holds no reservation, and a leader has applied all entries committed by its predecessors. Nothing
    // is written for it, since it may have been rejected because of overload.
    const bool hasNothingToRelease = finish.ending == TurnEnding::NotRun && !state_.isReserved(finish.program, turn)
        && !activeBegins_.contains(turn);
    abandonBegin(turn);
    if (isRecorded || hasNothingToRelease) {
        replier->reply(TurnFinishReply {true, self_});
        return;
    }
    if (const auto [waiting, isNew] = finishRepliers_.try_emplace(turn, replier); !isNew) {
        // A retry while the command is proposed: only the latest request is answered.
        waiting->second = replier;
        return;
    }
    propose(std::move(finish), [this, turn](bool isCommitted) {
        const Replier waiting = std::move(finishRepliers_.extract(turn).mapped());
        waiting->reply(TurnFinishReply {isCommitted, driver_.leader()});
        while (auto next = beginsAfterFinish_.extract(turn)) {
            onBegin(std::move(next.mapped().first), next.mapped().second);
        }
    });
}

void LedgerService::onStreamVersion(const StreamVersionRequest &request, const Replier &replier)
{
    if (!leads()) {
        replier->reply(StreamVersionReply {});
        return;
    }
    if (!request.isQuery) {
        const std::string key = fmt::format("{}#{}", request.record.stream, request.record.attempt);
        if (const auto [waiting, isNew] = streamRepliers_.try_emplace(key, replier); !isNew) {
            // A retry while the command is proposed: only the latest request is answered.
            waiting->second = replier;
            return;
        }
        propose(request.record, [this, key, version = request.record.version](bool isCommitted) {
            const Replier waiting = std::move(streamRepliers_.extract(key).mapped());
            const auto status = isCommitted ? StreamVersionStatus::Recorded : StreamVersionStatus::NotLeader;
            waiting->reply(StreamVersionReply {status, version});
        });
        return;
    }
    // A deposed leader may lack the stream's record, or hold one that a later attempt has replaced.
    driver_.confirmRead([this, stream = request.record.stream, replier](bool isConfirmed) {
        const ServerVersion *version = state_.streamVersion(stream);
        if (!isConfirmed) {
            replier->reply(StreamVersionReply {});
        } else if (version == nullptr) {
            replier->reply(StreamVersionReply {StreamVersionStatus::Unknown, {}});
        } else {
            replier->reply(StreamVersionReply {StreamVersionStatus::Recorded, *version});
        }
    });
}

} // namespace cardamompost
