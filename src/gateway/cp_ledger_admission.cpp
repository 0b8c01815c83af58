#include "cp_ledger_service.hpp"

namespace cardamompost
{

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
