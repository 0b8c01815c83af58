#include "cp_ledger_service.hpp"

namespace cardamompost
{

namespace
{

constexpr Milliseconds leasePollInterval {10};
// Shorter than an entry's request timeout.
constexpr Milliseconds leaseTimeout {300};

} // namespace

void LedgerService::applyAccountLimit(const std::shared_ptr<ActiveBegin> &active)
{
    const TurnBegin &begin = active->begin;
    if (begin.account.empty() || state_.isAdmitted(begin)) {
        readHistory(active);
        return;
    }
    awaitAdmissionLease(begin.account, active->since + leaseTimeout, [this, active](bool hasLease) {
        if (!hasLease) {
            completeBegin(*active, TurnBeginReply {TurnBeginStatus::NotLeader, driver_.leader(), {}, {}});
            return;
        }
        const TurnBegin &turn = active->begin;
        const RequestLimiter::Decision decision = limiter_.admit(
            {turn.account, turn.admission, !isProgramInProgress(turn)}, std::chrono::steady_clock::now());
        if (decision.isAdmitted) {
            reportUsage();
            runAfter(decision.delay, [this, active] { readHistory(active); });
            return;
        }
        recordLimited(turn.account, turn.turn, decision);
        const auto retryAfter = static_cast<std::uint32_t>(decision.retryAfter.count());
        completeBegin(*active, TurnBeginReply {TurnBeginStatus::Limited, self_, {}, {}, retryAfter});
    });
}

void LedgerService::admitRepeatedTurn(TurnBegin begin, const Replier &replier)
{
    const std::string account = begin.account;
    awaitAdmissionLease(
        account, std::chrono::steady_clock::now() + leaseTimeout,
        [this, begin = std::move(begin), replier](bool hasLease) {
            if (!hasLease) {
                replier->reply(TurnBeginReply {TurnBeginStatus::NotLeader, driver_.leader(), {}, {}});
                return;
            }
            const RequestLimiter::Decision decision
                = limiter_.admit({begin.account, begin.admission, false}, std::chrono::steady_clock::now());
            if (!decision.isAdmitted) {
                recordLimited(begin.account, begin.turn, decision);
                replier->reply(TurnBeginReply {
                    TurnBeginStatus::Limited, self_, {}, {}, static_cast<std::uint32_t>(decision.retryAfter.count())});
                return;
            }
            reportUsage();
            if (const auto active = activeBegins_.find(begin.turn); active != activeBegins_.end()) {
                onRepeatedBegin(*active->second, replier);
            } else {
                onBegin(begin, replier);
            }
        });
}

void LedgerService::onAdmit(const AdmitRequest &request, const Replier &replier)
{
    publishDocument();
    awaitAdmissionLease(
        request.account, std::chrono::steady_clock::now() + leaseTimeout, [this, request, replier](bool hasLease) {
            if (!hasLease) {
                replier->reply(AdmitReply {AdmitStatus::NotLeader, 0});
                return;
            }
            const RequestLimiter::Decision decision
                = limiter_.admit({request.account, request.admission, false}, std::chrono::steady_clock::now());
            if (decision.isAdmitted) {
                reportUsage();
                runAfter(decision.delay, [replier] { replier->reply(AdmitReply {AdmitStatus::Admitted, 0}); });
                return;
            }
            recordLimited(request.account, request.request, decision);
            replier->reply(AdmitReply {AdmitStatus::Limited, static_cast<std::uint32_t>(decision.retryAfter.count())});
        });
}

void LedgerService::recordLimited(const std::string &account, const std::string &id,
                                  const RequestLimiter::Decision &decision)
{
    limitedRequests_.add();
    parts_.log.info("request.limited",
                    {{"id", unscopedId(id)},
                     {"account", account},
                     {"reached", nameOf(limitReachedNames, decision.reached)},
                     {"retry_after_ms", decision.retryAfter.count()},
                     {"per_second", limiter_.limitOf(account).perSecond},
                     {"burst", limiter_.limitOf(account).burst},
                     {"document", lastReadVersion_}});
}

void LedgerService::awaitAdmissionLease(const std::string &account, TimePoint deadline, std::function<void(bool)> done)
{
    // The lease keeps a partitioned leader from admitting requests while its successor does too. The usage report keeps
    // admitted requests counted after a failover.
    const bool hasLease = driver_.hasLease() && !limiter_.mustWaitForReport(account);
    if (hasLease || !leads() || std::chrono::steady_clock::now() >= deadline) {
        done(hasLease);
        return;
    }
    runAfter(leasePollInterval, [this, account, deadline, done = std::move(done)]() mutable {
        awaitAdmissionLease(account, deadline, std::move(done));
    });
}

void LedgerService::runAfter(Milliseconds delay, std::function<void()> work)
{
    if (delay.count() <= 0) {
        work();
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(parts_.io, delay);
    timer->async_wait([timer, work = std::move(work)](const boost::system::error_code &) { work(); });
}

void LedgerService::refuseProgram(ActiveBegin &active, const AdmissionRefusal &refusal)
{
    const TurnBegin &begin = active.begin;
    parts_.log.info("program.refused",
                    {{"id", unscopedId(begin.turn)},
                     {"program", unscopedId(begin.program)},
                     {"account", accountOf(begin.turn)},
                     {"reason", nameOf(admissionReasonNames, refusal.reason)},
                     {"service", begin.placement.service},
                     {"turns_ahead", refusal.turnsAhead},
                     {"expected_wait_ms", refusal.expectedWait.count()},
                     {"slack_ms", refusal.slack.count()},
                     {"retry_after_ms", refusal.retryAfter.count()},
                     {"held_slots", refusal.heldSlots},
                     {"fair_share", static_cast<std::int64_t>(refusal.fairShare)}});
    (refusal.reason == AdmissionReason::TooLate ? lateProgramsRefused_ : queuedProgramsRefused_).add();
    const auto retryAfter = static_cast<std::uint32_t>(refusal.retryAfter.count());
    completeBegin(active, TurnBeginReply {TurnBeginStatus::NotAdmitted, self_, {}, {}, retryAfter});
}

void LedgerService::abandonBegin(const std::string &turn)
{
    const auto found = activeBegins_.find(turn);
    if (found == activeBegins_.end() || found->second->isPlaced) {
        return;
    }
    // The entry has given the turn up, and awaits no reply.
    found->second->isAbandoned = true;
    activeBegins_.erase(found);
}

} // namespace cardamompost
