#include <cardamompost/policy/cp_expected_completion.hpp>
#include <cardamompost/policy/cp_turn_placement.hpp>

#include <algorithm>
#include <cmath>

namespace cardamompost
{

namespace
{

// A program leaves the engine that caches its prompt only for one with fewer turns, by at least this multiple of the
// slots: moving means computing the whole prompt again.
constexpr double maxAffinityImbalance = 2.5;
// New programs wait while all engines hold at least this multiple of their slots.
constexpr double newProgramLoadLimit = 1.1;
// An engine up to this slowness takes as many new programs as a usual one, because a batch of all slots completes most
// turns in a time; slower ones take fewer in proportion.
constexpr double fullSlotsSlowness = 3;
// Programs leave a slow engine while another one has fewer turns than this multiple of its slots. Above it, their
// prompts would displace those of other programs.
constexpr double maxTargetLoad = 0.6;
constexpr Milliseconds rateUpdateInterval {500};
// Smaller relative changes of an engine's slowness are left until they add up.
constexpr double minSlownessChange = 0.02;
// Reported as unusual from this factor on, and as usual once the slowness is 1 again.
constexpr double reportedSlowness = 1.3;

} // namespace

bool TurnPlacement::hasRoom(const Engine &engine)
{
    return engine.turns < engine.slots * newProgramLoadLimit / std::max(engine.slowness / fullSlotsSlowness, 1.0);
}

unsigned TurnPlacement::roomOf(const Engine &engine)
{
    return static_cast<unsigned>(std::ceil(engine.slots * newProgramLoadLimit));
}

bool TurnPlacement::isWorthLeaving(const Engine &engine, const SlotRequest &request, double fewestTurns)
{
    const double turns = equivalentLoad(engine.turns, engine.slots, engine.slowness);
    if (std::min<double>(turns, engine.turns) - fewestTurns >= maxAffinityImbalance * engine.slots) {
        return true;
    }
    return engine.slowness > 1 && fewestTurns < maxTargetLoad * engine.slots
        && turns - fewestTurns >= recomputationLoad(request.promptTokens, request.outputTokens);
}

void TurnPlacement::recordSample(const ServiceSample &sample, TimePoint now)
{
    rates_.record(sample, now);
    if (const auto engine = engines_.find(sample.engine); engine != engines_.end()) {
        updateSlowness(engine->first, engine->second, now);
    }
}

bool TurnPlacement::updateSlowness(const std::string &id, Engine &engine, TimePoint now)
{
    if (!options_.usesServiceRates || !engine.isOpen) {
        return false;
    }
    const double slowness = rates_.slowness(engine.service, id, engine.incarnation, now);
    const bool isLarge = std::abs(slowness - engine.slowness) > minSlownessChange * engine.slowness;
    if (!isLarge && (slowness == 1) == (engine.slowness == 1)) {
        return false;
    }
    engine.slowness = slowness;
    reindex(id, engine);
    return true;
}

std::vector<EngineRateChange> TurnPlacement::updateRates(TimePoint now)
{
    std::vector<EngineRateChange> changes;
    if (!options_.usesServiceRates || now < nextRateUpdate_) {
        return changes;
    }
    nextRateUpdate_ = now + rateUpdateInterval;
    bool isAnyChanged = false;
    for (auto &[id, engine] : engines_) {
        isAnyChanged = updateSlowness(id, engine, now) || isAnyChanged;
        const bool isUnusual = engine.slowness >= reportedSlowness || engine.slowness <= 1 / reportedSlowness;
        const bool isUsual = engine.slowness == 1;
        if (engine.isReportedUnusual ? isUsual : isUnusual) {
            engine.isReportedUnusual = !engine.isReportedUnusual;
            changes.push_back({id, engine.service, engine.slowness, rates_.samples(engine.service, id, now)});
        }
    }
    if (isAnyChanged) {
        placeWaitingTurns(now);
    }
    return changes;
}

unsigned TurnPlacement::turnsRunningAt(const std::string &engine) const
{
    const auto found = engines_.find(engine);
    return found == engines_.end() ? 0 : std::min(found->second.turns, found->second.slots);
}

double TurnPlacement::slownessOf(const std::string &engine) const
{
    const auto found = engines_.find(engine);
    return found == engines_.end() ? 1 : found->second.slowness;
}

std::size_t TurnPlacement::unusualEngines() const
{
    return static_cast<std::size_t>(std::count_if(engines_.begin(), engines_.end(), [](const auto &item) {
        return item.second.isOpen && item.second.slowness != 1;
    }));
}

} // namespace cardamompost
