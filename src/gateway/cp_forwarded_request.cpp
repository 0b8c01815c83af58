#include "cp_forwarded_request.hpp"

namespace cardamompost
{

namespace
{

constexpr std::uint32_t defaultRetentionMs = 60'000;

} // namespace

TurnFinish ForwardedRequest::makeFinish(TurnEnding ending)
{
    TurnFinish finish;
    finish.turn = turnId();
    finish.program = programId();
    finish.previous = previousTurnId();
    finish.ending = ending;
    finish.tokens = tokensSent();
    finish.backend = lastBackend;
    finish.retentionMs
        = route->retention.count() > 0 ? static_cast<std::uint32_t>(route->retention.count()) : defaultRetentionMs;
    finish.isRetained = route->keepsHistory && ending == TurnEnding::Complete;
    if (finish.isRetained) {
        finish.input = message.body();
        finish.output = eventScanner.output();
    }
    return finish;
}

const std::string &ForwardedRequest::stickyKey() const
{
    if (!service->isEngine) {
        return metadata.affinity;
    }
    return metadata.program.empty() ? metadata.session : metadata.program;
}

} // namespace cardamompost
