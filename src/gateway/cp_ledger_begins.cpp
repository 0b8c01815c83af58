#include "cp_ledger_service.hpp"

namespace cardamompost
{

namespace
{

// As long as an entry leaves out a server that it could not reach.
constexpr Milliseconds avoidFor {1000};
// Begins that wait for so long that no quorum has decided mean overload. Entries give a turn up after 1.75 s.
constexpr Milliseconds longestDelayForNew {600};
constexpr Milliseconds longestDelayUnderWay {1200};
constexpr Milliseconds soonestReturn {300};
constexpr Milliseconds returnSpread {600};
constexpr Milliseconds leasePoll {10};
// Shorter than an entry waits for a reply.
constexpr Milliseconds leaseTimeout {300};

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
    if (const auto under = begins_.find(begin.turn); under != begins_.end()) {
        askAgain(*under->second, replier);
        return;
    }
    offerDocument();
    const auto pending = pendingTokens_.find(begin.program);
    const std::int64_t taken = pending == pendingTokens_.end() ? 0 : pending->second;
    const TurnBeginStatus status = state_.check(begin, taken);
    if (status == TurnBeginStatus::NoSuchTurn) {
        confirmNoSuchTurn(begin, replier);
        return;
    }
    if (status == TurnBeginStatus::BudgetExhausted) {
        refuse(begin, status, false, replier);
        return;
    }
    const TimePoint now = std::chrono::steady_clock::now();
    if (isOverloaded(begin, now)) {
        // Spread, so that those that are refused together do not come back together.
        const auto spread = static_cast<std::uint32_t>(randomIdentity() % returnSpread.count());
        const auto retryAfter = static_cast<std::uint32_t>(soonestReturn.count()) + spread;
        overloaded_.add();
        replier->reply(TurnBeginReply {TurnBeginStatus::Overloaded, self_, {}, {}, retryAfter});
        return;
    }
    const auto begun = std::make_shared<Begin>(Begin {std::move(begin), replier, now, {}, {}, false, std::nullopt});
    begins_.emplace(begun->begin.turn, begun);
    limitBegin(begun);
}

void LedgerService::askAgain(Begin &begun, const Replier &replier)
{
    begun.replier = replier;
    if (begun.isPlaced) {
        replier->reply(TurnBeginReply {TurnBeginStatus::Tentative, self_, begun.history, begun.backend}, false);
    } else {
        replier->reply(TurnBeginReply {TurnBeginStatus::Queued, self_, {}, {}}, false);
    }
}

void LedgerService::endBegin(Begin &begun, TurnBeginReply reply)
{
    begins_.erase(begun.begin.turn);
    begun.replier->reply(std::move(reply));
}

Milliseconds LedgerService::commitDelay(TimePoint now)
{
    while (!proposed_.empty() && proposed_.front().second->decided) {
        proposed_.pop_front();
    }
    return proposed_.empty() ? Milliseconds(0)
                             : std::chrono::duration_cast<Milliseconds>(now - proposed_.front().first);
}

bool LedgerService::isOverloaded(const TurnBegin &begin, TimePoint now)
{
    // Guards the ledger against more turns than it can write: begun all the same, they would all be granted too late,
    // after they have run. Programs under way are taken for longer than new ones.
    return commitDelay(now) >= (isInProgress(begin) ? longestDelayUnderWay : longestDelayForNew);
}

void LedgerService::limitBegin(const std::shared_ptr<Begin> &begun)
{
    const TurnBegin &begin = begun->begin;
    if (begin.account.empty() || state_.isReserved(begin.program, begin.turn)) {
        readHistory(begun);
        return;
    }
    mayAdmit(begin.account, begun->since + leaseTimeout, [this, begun](bool hasLease) {
        if (!hasLease) {
            endBegin(*begun, TurnBeginReply {TurnBeginStatus::NotLeader, driver_.leader(), {}, {}});
            return;
        }
        const TurnBegin &turn = begun->begin;
        const RequestLimiter::Decision decision
            = limiter_.admit({turn.account, turn.turn, !isInProgress(turn)}, std::chrono::steady_clock::now());
        if (decision.isAdmitted) {
            reportUsage();
            after(decision.delay, [this, begun] { readHistory(begun); });
            return;
        }
        noteLimited(turn.account, turn.turn, decision);
        const auto retryAfter = static_cast<std::uint32_t>(decision.retryAfter.count());
        endBegin(*begun, TurnBeginReply {TurnBeginStatus::Limited, self_, {}, {}, retryAfter});
    });
}

void LedgerService::onAdmit(const AdmitRequest &request, const Replier &replier)
{
    offerDocument();
    mayAdmit(request.account, std::chrono::steady_clock::now() + leaseTimeout, [this, request, replier](bool hasLease) {
        if (!hasLease) {
            replier->reply(AdmitReply {AdmitStatus::NotLeader, 0});
            return;
        }
        const RequestLimiter::Decision decision
            = limiter_.admit({request.account, request.request, false}, std::chrono::steady_clock::now());
        if (decision.isAdmitted) {
            reportUsage();
            after(decision.delay, [replier] { replier->reply(AdmitReply {AdmitStatus::Admitted, 0}); });
            return;
        }
        noteLimited(request.account, request.request, decision);
        replier->reply(AdmitReply {AdmitStatus::Limited, static_cast<std::uint32_t>(decision.retryAfter.count())});
    });
}

void LedgerService::noteLimited(const std::string &account, const std::string &id,
                                const RequestLimiter::Decision &decision)
{
    limited_.add();
    parts_.log.info("request.limited",
                    {{"id", unscopedId(id)},
                     {"account", account},
                     {"reached", nameOf(limitReachedNames, decision.reached)},
                     {"retry_after_ms", decision.retryAfter.count()},
                     {"per_second", limiter_.limitOf(account).perSecond},
                     {"burst", limiter_.limitOf(account).burst},
                     {"document", triedVersion_}});
}

void LedgerService::mayAdmit(const std::string &account, TimePoint until, std::function<void(bool)> work)
{
    // Guards limits against a leader that is cut off and admits requests while its successor does so too, or that is
    // lost with all that it has just admitted.
    const bool hasLease = driver_.hasLease() && !limiter_.waitsForReport(account);
    if (hasLease || !leads() || std::chrono::steady_clock::now() >= until) {
        work(hasLease);
        return;
    }
    after(leasePoll,
          [this, account, until, work = std::move(work)]() mutable { mayAdmit(account, until, std::move(work)); });
}

void LedgerService::after(Milliseconds delay, std::function<void()> work)
{
    if (delay.count() <= 0) {
        work();
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(parts_.io, delay);
    timer->async_wait([timer, work = std::move(work)](const boost::system::error_code &) { work(); });
}

void LedgerService::readHistory(const std::shared_ptr<Begin> &begun)
{
    if (begun->begin.previous.empty()) {
        startBegin(begun);
        return;
    }
    texts_.read(state_.history(begun->begin.previous), [this, begun](std::optional<std::string> history) {
        // Guards against a turn without a part of its history, and against one that is refused as unknown although
        // it is only out of reach for now: the entry asks again until the caller has waited long enough.
        if (!history || !leads()) {
            endBegin(*begun, TurnBeginReply {TurnBeginStatus::NotLeader, driver_.leader(), {}, {}});
            return;
        }
        begun->history = std::move(*history);
        startBegin(begun);
    });
}

bool LedgerService::isInProgress(const TurnBegin &begin) const
{
    return !begin.previous.empty() || state_.spent(begin.program) != 0 || state_.reserved(begin.program) != 0;
}

void LedgerService::startBegin(const std::shared_ptr<Begin> &begun)
{
    placeBegin(begun);
    if (!begun->isPlaced) {
        begun->replier->reply(TurnBeginReply {TurnBeginStatus::Queued, self_, {}, {}}, false);
    }
    commitBegin(begun);
}

void LedgerService::placeBegin(const std::shared_ptr<Begin> &begun)
{
    const TurnBegin &begin = begun->begin;
    const PlacementRequest &placement = begin.placement;
    const TimePoint now = std::chrono::steady_clock::now();
    for (const std::string &server : placement.unreachable) {
        placement_.avoid(server, now + avoidFor);
    }
    TurnToPlace turn {begin.turn,
                      begin.program,
                      placement.service,
                      placement.failureDomain,
                      placement.rank,
                      false,
                      false,
                      Milliseconds(placement.timeLeftMs)};
    turn.isInProgress = isInProgress(begin);
    turn.isLate = placement.programTimeLeftMs < 0;
    placement_.request(std::move(turn), now, [this, begun](const std::string &backend) { onPlaced(*begun, backend); });
}

void LedgerService::onPlaced(Begin &begun, const std::string &backend)
{
    begun.isPlaced = true;
    begun.backend = backend;
    placeSeconds_.observe(std::chrono::duration<double>(std::chrono::steady_clock::now() - begun.since).count());
    begun.replier->reply(TurnBeginReply {TurnBeginStatus::Tentative, self_, begun.history, backend}, false);
    if (begun.decided) {
        onDecided(begun, *begun.decided);
    }
}

void LedgerService::onDecided(Begin &begun, TurnBeginStatus status)
{
    begun.decided = status;
    // What is granted waits for its place; what is refused is told at once.
    if (begun.isPlaced || status != TurnBeginStatus::Granted) {
        endBegin(begun, TurnBeginReply {status, driver_.leader(), {}, {}});
    }
    if (status != TurnBeginStatus::Granted) {
        placement_.release(begun.begin.turn, std::chrono::steady_clock::now());
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
                     {"asked", begin.tokensAtMost},
                     {"term", driver_.node().term()}});
    if (status != TurnBeginStatus::NotLeader) {
        (status == TurnBeginStatus::BudgetExhausted ? exhaustedTurns_ : unknownTurns_).add();
    }
    replier->reply(TurnBeginReply {status, driver_.leader(), {}, {}});
}

void LedgerService::confirmNoSuchTurn(const TurnBegin &begin, const Replier &replier)
{
    // Guards against a deposed leader that tells a caller there is no such turn: the one that leads now may hold it.
    // Only what a quorum confirms is told as final. A spent budget needs no such round: nobody runs the turn that is
    // refused, and what a deposed leader does not know can only have been spent besides, or given back a moment ago.
    driver_.confirmRead([this, begin, replier](bool isConfirmed) {
        const bool isStill = isConfirmed && state_.check(begin, 0) == TurnBeginStatus::NoSuchTurn;
        refuse(begin, isStill ? TurnBeginStatus::NoSuchTurn : TurnBeginStatus::NotLeader, isConfirmed, replier);
    });
}

void LedgerService::commitBegin(const std::shared_ptr<Begin> &begun)
{
    if (state_.isReserved(begun->begin.program, begun->begin.turn)) {
        // Asked again, as while it waits for a place: what is applied here is on a quorum's disks already.
        onDecided(*begun, TurnBeginStatus::Granted);
        return;
    }
    pendingTokens_[begun->begin.program] += begun->begin.tokensAtMost;
    TurnBegin kept = begun->begin;
    kept.placement = {};
    kept.account.clear();
    proposed_.emplace_back(std::chrono::steady_clock::now(), begun);
    propose(std::move(kept), [this, begun](bool isCommitted) {
        const auto pending = pendingTokens_.find(begun->begin.program);
        pending->second -= begun->begin.tokensAtMost;
        if (pending->second == 0) {
            pendingTokens_.erase(pending);
        }
        onDecided(*begun, isCommitted ? lastApplied_ : TurnBeginStatus::NotLeader);
    });
}

void LedgerService::onFinish(TurnFinish finish, const Replier &replier)
{
    if (!leads()) {
        replier->reply(TurnFinishReply {false, driver_.leader()});
        return;
    }
    placement_.release(finish.turn, std::chrono::steady_clock::now());
    const std::string turn = finish.turn;
    // Asked again after the reply was lost: what is applied here is on a quorum's disks.
    const bool isDone = finish.isKept && state_.hasTurn(turn);
    // A turn that was refused holds no reservation, and none is under way: a leader has applied what those before it
    // committed. Nothing is written for it, as it may have been refused for want of room.
    const bool holdsNothing
        = finish.ending == TurnEnding::NotRun && !state_.isReserved(finish.program, turn) && !begins_.contains(turn);
    if (isDone || holdsNothing) {
        replier->reply(TurnFinishReply {true, self_});
        return;
    }
    if (const auto [waiting, isNew] = finishes_.try_emplace(turn, replier); !isNew) {
        // Asked again while it is proposed.
        waiting->second = replier;
        return;
    }
    propose(std::move(finish), [this, turn](bool isCommitted) {
        const Replier waiting = std::move(finishes_.extract(turn).mapped());
        waiting->reply(TurnFinishReply {isCommitted, driver_.leader()});
    });
}

} // namespace cardamompost
