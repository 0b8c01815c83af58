#include "cp_forwarded_request.hpp"

#include <algorithm>
#include <limits>

namespace cardamompost
{

namespace
{

constexpr std::uint32_t defaultRetentionMs = 60'000;
// A turn that is kept is copied and encoded for the ledger, which takes as much again for each step.
constexpr std::size_t keptCopies = 4;
// A history is received in an encoded message.
constexpr std::size_t historyCopies = 2;

} // namespace

std::size_t ForwardedRequest::memoryBytes() const
{
    const std::size_t history = begin && begin->isTentative() ? begin->history().size() : 0;
    return body->size() * (route->keepsHistory ? keptCopies : 1) + history * historyCopies;
}

void ForwardedRequest::stopWaiting(BeginFailure reason)
{
    if (begin) {
        begin->fail(reason);
    }
    versionRecord.stopWaiting();
    if (connection) {
        connection->stream.cancel();
    }
    if (recordWait) {
        recordWait->cancel();
    }
}

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
    if (ending == TurnEnding::Complete && isEventStream && !isResumption()) {
        finish.timing = makeTiming();
    }
    finish.isRetained = route->keepsHistory && ending == TurnEnding::Complete;
    if (finish.isRetained) {
        finish.input = *body;
        finish.output = eventScanner.output();
    }
    return finish;
}

TurnTiming ForwardedRequest::makeTiming() const
{
    const auto toCount = [](std::int64_t number) {
        constexpr std::int64_t limit = std::numeric_limits<std::uint32_t>::max();
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(number, 0, limit));
    };
    TurnTiming timing;
    timing.promptTokens = toCount(metadata.tokensIn);
    timing.firstEventMs = streamTimer.firstEventMs();
    timing.streamMs = streamTimer.streamMs();
    if (timing.streamMs != 0) {
        const auto laterEvents = static_cast<std::int64_t>(eventScanner.eventCount()) - 1;
        timing.streamTokens = toCount(laterEvents * service->engine.tokensPerEvent);
        timing.service = service->name;
        timing.incarnation = lastBackendIncarnation;
    }
    return timing;
}

RequestFingerprint ForwardedRequest::fingerprint() const
{
    const auto view = [](boost::beast::string_view text) { return std::string_view(text.data(), text.size()); };
    return fingerprintOf(view(message.method_string()), view(message[boost::beast::http::field::host]),
                         view(message.target()), *body);
}

const std::string &ForwardedRequest::stickyKey() const
{
    if (!service->isEngine) {
        return metadata.affinity;
    }
    return metadata.program.empty() ? metadata.session : metadata.program;
}

} // namespace cardamompost
