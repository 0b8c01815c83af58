#include "cp_ledger_service.hpp"

namespace cardamompost
{

namespace
{

// Entries and relays learn of removals together, since a request that is no longer suspect only costs a question more.
constexpr Milliseconds removalInterval {200};

} // namespace

void LedgerService::onSuspect(const SuspectRequest &request, const Replier &replier)
{
    if (!leads()) {
        replier->reply(SuspectReply {});
        return;
    }
    switch (request.action) {
    case SuspectAction::Start:
        startSuspect(request, replier);
        break;
    case SuspectAction::Release:
        suspectRuns_.end(request.run);
        replier->reply(SuspectReply {SuspectStatus::Recorded, 0});
        break;
    case SuspectAction::End:
        recordBackendEnd(request, replier);
        break;
    case SuspectAction::Success:
        clearSuspect(request, replier);
        break;
    }
}

void LedgerService::startSuspect(const SuspectRequest &request, const Replier &replier)
{
    // A deposed leader may not know of the latest ends.
    driver_.confirmRead([this, request, replier](bool isConfirmed) {
        if (!isConfirmed) {
            replier->reply(SuspectReply {});
            return;
        }
        const TimePoint now = std::chrono::steady_clock::now();
        const Quarantine &quarantine = state_.quarantine();
        const BackendEnd &run = request.end;
        refreshClock();
        const std::size_t ends = quarantine.ends(run.request);
        SuspectStatus status = SuspectStatus::Quarantined;
        if (quarantine.mayRun(run.request, run.softwareVersion, clock_.nowMs(now))) {
            const std::size_t maxAtOnce = ends < Quarantine::maxEnds ? Quarantine::maxEnds - ends : 1;
            const TimePoint until = now + Milliseconds(request.timeLeftMs);
            const bool isStarted
                = suspectRuns_.start({request.run, run.request, run.backend, ends, until}, maxAtOnce, now);
            status = isStarted ? SuspectStatus::Allowed : SuspectStatus::Busy;
        }
        if (status == SuspectStatus::Quarantined) {
            quarantinedRequests_.add();
        }
        replier->reply(SuspectReply {status, static_cast<std::uint32_t>(ends)});
    });
}

void LedgerService::recordBackendEnd(const SuspectRequest &request, const Replier &replier)
{
    propose(request.end, [this, request, replier](bool isCommitted) {
        if (!isCommitted) {
            replier->reply(SuspectReply {});
            return;
        }
        suspectRuns_.end(request.run);
        const std::size_t ends = state_.quarantine().ends(request.end.request);
        backendEnds_.add();
        parts_.log.warn("backend.ended",
                        {{"backend", request.end.backend},
                         {"backend_version", request.end.softwareVersion},
                         {"id", request.requestId},
                         {"fingerprint", fmt::format("{:016x}", request.end.request)},
                         {"ends", ends},
                         {"quarantined", ends >= Quarantine::maxEnds}});
        const auto status = ends >= Quarantine::maxEnds ? SuspectStatus::Quarantined : SuspectStatus::Recorded;
        replier->reply(SuspectReply {status, static_cast<std::uint32_t>(ends)});
    });
}

void LedgerService::clearSuspect(const SuspectRequest &request, const Replier &replier)
{
    suspectRuns_.end(request.run);
    const BackendEnd &run = request.end;
    if (!state_.quarantine().hasEnded(run.request, run.softwareVersion)) {
        replier->reply(SuspectReply {SuspectStatus::Recorded, 0});
        return;
    }
    propose(SuspectClearance {run.request, run.softwareVersion}, [replier](bool isCommitted) {
        replier->reply(SuspectReply {isCommitted ? SuspectStatus::Recorded : SuspectStatus::NotLeader, 0});
    });
}

void LedgerService::publishSuspects()
{
    const SuspectList &suspects = state_.quarantine().suspects();
    const SuspectList &published = updates_.relay().content().suspects();
    const TimePoint now = std::chrono::steady_clock::now();
    const bool hasAddition = suspects.latestAddition() > published.version();
    const bool hasRemoval = suspects.version() > published.version() && now >= nextSuspectRemoval_;
    if (!leads() || (!hasAddition && !hasRemoval)) {
        return;
    }
    nextSuspectRemoval_ = now + removalInterval;
    updates_.relay().publishSuspects(suspects, now);
}

} // namespace cardamompost
