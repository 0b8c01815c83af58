#include "cp_forwarded_request.hpp"

namespace cardamompost
{

namespace
{

constexpr std::uint32_t defaultRetentionMs = 60'000;

} // namespace

TurnFinish ForwardedRequest::finish(TurnEnding ending)
{
    TurnFinish finish;
    finish.turn = turnId();
    finish.program = programId();
    finish.previous = previousTurnId();
    finish.ending = ending;
    finish.tokens = tokensHandedOut();
    finish.backend = lastBackend;
    finish.retentionMs
        = route->retention.count() > 0 ? static_cast<std::uint32_t>(route->retention.count()) : defaultRetentionMs;
    finish.isKept = route->keepsHistory && ending == TurnEnding::Complete;
    if (finish.isKept) {
        finish.input = message.body();
        finish.output = tally.output();
    }
    return finish;
}

const std::string &ForwardedRequest::stickyUnit() const
{
    if (!service->isEngine) {
        return facts.affinity;
    }
    return facts.program.empty() ? facts.session : facts.program;
}

} // namespace cardamompost
