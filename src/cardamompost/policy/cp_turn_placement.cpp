#include <cardamompost/policy/cp_cross_domain_cost.hpp>
#include <cardamompost/policy/cp_turn_placement.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace cardamompost
{

namespace
{

// A program leaves the engine that caches its prompt only for one with fewer turns, by at least this multiple of the
// slots: moving means computing the whole prompt again.
constexpr double maxAffinityImbalance = 2.5;
// Load that a program with affinity adds to an engine, in turns.
constexpr double affinityWeight = 0.25;
// New programs wait while all engines hold at least this multiple of their slots.
constexpr double newProgramLoadLimit = 1.1;
// Expected lifetime of a program's prompt in the engine's cache.
constexpr Milliseconds affinityLifetime {8000};
constexpr Milliseconds affinityExpiryInterval {500};
// A turn that has waited this long is placed regardless of load, to reach an engine's own queue before its client gives
// up.
constexpr Milliseconds maxQueueTime {1200};
// Added to a turn's time limit before the slot of a failed entry is reclaimed.
constexpr Milliseconds reservationMargin {500};

constexpr unsigned groupInProgress = 0;
constexpr unsigned groupNew = 1;
constexpr unsigned groupLate = 2;

} // namespace

TurnPlacement::TurnPlacement(std::uint64_t seed, PlacementOptions options)
    : seed_(seed)
    , options_(options)
{
}

void TurnPlacement::setServers(const std::vector<BackendServer> &servers, TimePoint now)
{
    std::set<std::string> listed;
    for (const BackendServer &server : servers) {
        listed.insert(server.id);
    }
    std::vector<std::string> removed;
    for (const auto &[id, engine] : engines_) {
        if (engine.isOpen && !listed.contains(id)) {
            removed.push_back(id);
        }
    }
    updateServers(servers, removed, now);
}

void TurnPlacement::updateServers(const std::vector<BackendServer> &changed, const std::vector<std::string> &removed,
                                  TimePoint now)
{
    std::set<std::string> opened;
    for (const BackendServer &server : changed) {
        const auto known = engines_.find(server.id);
        if (known != engines_.end() && server.incarnation > known->second.incarnation
            && known->second.incarnation != 0) {
            resetEngine(server.id);
        }
        if (server.isLeaving) {
            closeEngine(server.id);
            continue;
        }
        Engine &engine = engines_[server.id];
        if (!engine.isOpen) {
            opened.insert(server.id);
        }
        openEngine(engine, server);
    }
    for (const std::string &id : removed) {
        closeEngine(id);
    }
    countPrograms(opened);
    placeWaitingTurns(now);
}

void TurnPlacement::openEngine(Engine &engine, const BackendServer &server)
{
    if (engine.isOpen && engine.version() != server.version()) {
        engine.isOpen = false;
        reindex(server.id, engine);
    }
    engine.incarnation = server.incarnation;
    engine.service = server.service;
    engine.softwareVersion = server.softwareVersion;
    engine.failureDomain = server.failureDomain;
    engine.slots = server.slots;
    engine.isOpen = true;
    reindex(server.id, engine);
}

void TurnPlacement::closeEngine(const std::string &id)
{
    const auto found = engines_.find(id);
    if (found == engines_.end()) {
        return;
    }
    found->second.isOpen = false;
    reindex(id, found->second);
    if (found->second.turns == 0) {
        engines_.erase(found);
    }
}

void TurnPlacement::reindex(const std::string &id, const Engine &engine)
{
    if (engine.service.empty()) {
        // Known only from a program's affinity, before the list was read.
        return;
    }
    Service &indexed = service(engine.service);
    const bool isAvoided = engine.isOpen && engine.avoidUntil != TimePoint {};
    if (isAvoided) {
        indexed.avoided.insert(id);
    } else {
        indexed.avoided.erase(id);
    }
    if (!engine.isOpen || isAvoided) {
        removeFromIndex(indexed, id, engine);
        return;
    }
    const EngineLoad load {engine.failureDomain, engine.turns, engine.turns + engine.programs * affinityWeight,
                           engine.turns < engine.slots * newProgramLoadLimit};
    indexed.usable.set(id, load);
    if (!engine.softwareVersion.empty()) {
        indexed.usableByVersion.try_emplace(engine.softwareVersion, seed_).first->second.set(id, load);
    }
}

void TurnPlacement::removeFromIndex(Service &indexed, const std::string &id, const Engine &engine)
{
    indexed.usable.remove(id);
    const auto sameVersion = indexed.usableByVersion.find(engine.softwareVersion);
    if (sameVersion == indexed.usableByVersion.end()) {
        return;
    }
    sameVersion->second.remove(id);
    if (sameVersion->second.isEmpty()) {
        indexed.usableByVersion.erase(sameVersion);
    }
}

void TurnPlacement::countPrograms(const std::set<std::string> &opened)
{
    if (opened.empty()) {
        return;
    }
    for (const std::string &id : opened) {
        engines_[id].programs = 0;
    }
    for (const auto &[program, affinity] : affinities_) {
        if (opened.contains(affinity.engine)) {
            ++engines_[affinity.engine].programs;
        }
    }
    for (const std::string &id : opened) {
        reindex(id, engines_[id]);
    }
}

void TurnPlacement::resetEngine(const std::string &id)
{
    // The restarted engine holds neither the turns nor the cached prompts of its previous incarnation.
    std::erase_if(reservations_, [&](const auto &item) {
        const bool isAtEngine = item.second.engine == id;
        if (isAtEngine) {
            reservationExpiries_.erase({item.second.expiresAt, item.first});
        }
        return isAtEngine;
    });
    std::erase_if(affinities_, [&](const auto &item) { return item.second.engine == id; });
    Engine &engine = engines_[id];
    engine.isOpen = false;
    reindex(id, engine);
    engine = {};
}

bool TurnPlacement::hasService(const std::string &service) const
{
    const auto found = services_.find(service);
    return found != services_.end() && (!found->second.usable.isEmpty() || !found->second.avoided.empty());
}

TurnPlacement::Service &TurnPlacement::service(const std::string &name)
{
    const auto found = services_.find(name);
    return found != services_.end() ? found->second
                                    : services_.emplace(name, Service {EngineLoadIndex(seed_), {}, {}}).first->second;
}

void TurnPlacement::restoreAvoided(TimePoint now)
{
    while (!avoidedUntil_.empty() && avoidedUntil_.begin()->first <= now) {
        const std::string id = std::move(avoidedUntil_.begin()->second);
        avoidedUntil_.erase(avoidedUntil_.begin());
        const auto engine = engines_.find(id);
        if (engine != engines_.end() && engine->second.avoidUntil <= now) {
            engine->second.avoidUntil = {};
            reindex(id, engine->second);
        }
    }
}

const std::string *TurnPlacement::affinityEngine(const SlotRequest &request, TimePoint now) const
{
    const auto affinity = affinities_.find(request.program);
    if (affinity == affinities_.end()) {
        return nullptr;
    }
    const auto engine = engines_.find(affinity->second.engine);
    const bool isUsable = engine != engines_.end() && engine->second.isOpen && engine->second.service == request.service
        && now >= engine->second.avoidUntil
        && (request.softwareVersion.empty() || engine->second.softwareVersion == request.softwareVersion);
    if (!isUsable) {
        return nullptr;
    }
    const double loadThreshold = engine->second.turns - maxAffinityImbalance * engine->second.slots;
    const auto indexed = services_.find(request.service);
    const std::optional<unsigned> fewestTurns
        = indexed == services_.end() ? std::nullopt : indexed->second.usable.fewestTurns();
    return fewestTurns && *fewestTurns <= loadThreshold ? nullptr : &engine->first;
}

std::optional<std::string> TurnPlacement::choose(const SlotRequest &request, TimePoint now, bool mayOverload)
{
    restoreAvoided(now);
    if (const std::string *affinity = affinityEngine(request, now)) {
        return *affinity;
    }
    Service &indexed = service(request.service);
    const bool needsRoom = !mayOverload && !request.isInProgress;
    const auto sameVersion = indexed.usableByVersion.find(request.softwareVersion);
    EngineLoadIndex *candidates = &indexed.usable;
    if (!request.softwareVersion.empty()) {
        candidates = sameVersion == indexed.usableByVersion.end() ? nullptr : &sameVersion->second;
    }
    if (candidates == nullptr || candidates->isEmpty()) {
        // If every engine is being avoided, any of them may be used.
        const auto usable = std::find_if(indexed.avoided.begin(), indexed.avoided.end(), [&](const std::string &id) {
            const Engine &engine = engines_.at(id);
            return (!needsRoom || engine.turns < engine.slots * newProgramLoadLimit)
                && (request.softwareVersion.empty() || engine.softwareVersion == request.softwareVersion);
        });
        return usable == indexed.avoided.end() ? std::nullopt : std::optional(*usable);
    }
    const double domainCost = options_.prefersNearEngines
        ? crossDomainCost(candidates->enginesIn(request.failureDomain))
        : minCrossDomainCost;
    return candidates->leastLoaded(request.failureDomain, domainCost, needsRoom);
}

bool TurnPlacement::mayHaveVersion(const std::string &service, const std::string &softwareVersion) const
{
    const auto indexed = services_.find(service);
    if (!hasService(service) || indexed->second.usableByVersion.contains(softwareVersion)) {
        return true;
    }
    return std::any_of(indexed->second.avoided.begin(), indexed->second.avoided.end(),
                       [&](const std::string &id) { return engines_.at(id).softwareVersion == softwareVersion; });
}

ServerVersion TurnPlacement::versionOf(const std::string &engine) const
{
    const auto found = engines_.find(engine);
    return found == engines_.end() || !found->second.isOpen ? ServerVersion {} : found->second.version();
}

void TurnPlacement::reserveSlot(const SlotRequest &request, const std::string &engine, TimePoint now)
{
    Engine &reserved = engines_[engine];
    ++reserved.turns;
    reindex(engine, reserved);
    const TimePoint expiresAt = now + request.timeLeft + reservationMargin;
    reservations_[request.turn] = {engine, expiresAt};
    reservationExpiries_.emplace(expiresAt, request.turn);
    setAffinity(request.program, engine, now);
}

void TurnPlacement::recordLastEngine(const std::string &program, const std::string &engine, TimePoint now)
{
    if (!program.empty() && !engine.empty()) {
        setAffinity(program, engine, now);
    }
}

void TurnPlacement::setAffinity(const std::string &program, const std::string &engine, TimePoint now)
{
    Affinity &affinity = affinities_[program];
    if (affinity.engine != engine) {
        removeAffinity(affinity);
        if (const auto found = engines_.find(engine); found != engines_.end()) {
            ++found->second.programs;
            reindex(engine, found->second);
        }
    }
    affinity = {engine, now};
}

void TurnPlacement::removeAffinity(const Affinity &affinity)
{
    if (const auto engine = engines_.find(affinity.engine); engine != engines_.end()) {
        engine->second.programs -= engine->second.programs > 0 ? 1 : 0;
        reindex(engine->first, engine->second);
    }
}

void TurnPlacement::request(SlotRequest request, TimePoint now, PlacementCallback callback)
{
    if (const auto reservation = reservations_.find(request.turn); reservation != reservations_.end()) {
        const std::string engine = reservation->second.engine;
        callback(engine);
        return;
    }
    if (const auto queued = queueKeys_.find(request.turn); queued != queueKeys_.end()) {
        // A retried request keeps its position in the queue.
        queues_[queued->second.first].at(queued->second.second).callback = std::move(callback);
        return;
    }
    if (!hasService(request.service)) {
        // A new leader may not have the engine list yet, but knows the affinities from the log. The entry falls back to
        // its own choice if that engine is gone.
        const auto affinity = affinities_.find(request.program);
        const bool isUsable = affinity != affinities_.end() && request.softwareVersion.empty();
        const std::string engine = isUsable ? affinity->second.engine : std::string();
        if (!engine.empty()) {
            reserveSlot(request, engine, now);
        }
        callback(engine);
        return;
    }
    // Every turn is queued first, so that it cannot overtake waiting turns that rank before it.
    const unsigned group = request.isLate ? groupLate : request.isInProgress ? groupInProgress : groupNew;
    const QueueKey key {group, request.rank, nextSequence_++};
    queueKeys_.emplace(request.turn, std::pair(request.service, key));
    Queue &queue = queues_[request.service];
    queueTimes_.emplace(now, request.turn);
    queue.emplace(key, WaitingTurn {std::move(request), now, std::move(callback)});
    placeWaitingTurns(now);
}

void TurnPlacement::placeWaitingTurns(TimePoint now)
{
    // Callbacks may request or release slots, so no iterator is kept across a call.
    bool madeProgress = true;
    while (madeProgress) {
        madeProgress = false;
        for (auto &[service, queue] : queues_) {
            if (queue.empty()) {
                continue;
            }
            const auto first = queue.begin();
            const std::optional<std::string> engine = choose(first->second.request, now, false);
            if (!engine) {
                continue;
            }
            const WaitingTurn next = std::move(first->second);
            queueTimes_.erase({next.queuedAt, next.request.turn});
            queue.erase(first);
            queueKeys_.erase(next.request.turn);
            reserveSlot(next.request, *engine, now);
            next.callback(*engine);
            madeProgress = true;
            break;
        }
    }
}

void TurnPlacement::removeFromQueue(const std::string &turn)
{
    const auto queued = queueKeys_.find(turn);
    Queue &queue = queues_[queued->second.first];
    const auto waiting = queue.find(queued->second.second);
    queueTimes_.erase({waiting->second.queuedAt, turn});
    queue.erase(waiting);
    queueKeys_.erase(queued);
}

void TurnPlacement::release(const std::string &turn, TimePoint now)
{
    if (queueKeys_.contains(turn)) {
        removeFromQueue(turn);
        return;
    }
    const auto reservation = reservations_.find(turn);
    if (reservation == reservations_.end()) {
        return;
    }
    if (const auto engine = engines_.find(reservation->second.engine); engine != engines_.end()) {
        engine->second.turns -= engine->second.turns > 0 ? 1 : 0;
        reindex(engine->first, engine->second);
        if (!engine->second.isOpen && engine->second.turns == 0) {
            engines_.erase(engine);
        }
    }
    reservationExpiries_.erase({reservation->second.expiresAt, turn});
    reservations_.erase(reservation);
    placeWaitingTurns(now);
}

void TurnPlacement::avoid(const std::string &engine, TimePoint until)
{
    const auto found = engines_.find(engine);
    if (found == engines_.end() || until <= found->second.avoidUntil) {
        return;
    }
    found->second.avoidUntil = until;
    avoidedUntil_.emplace(until, engine);
    reindex(engine, found->second);
}

void TurnPlacement::expireReservations(TimePoint now)
{
    while (!reservationExpiries_.empty() && reservationExpiries_.begin()->first <= now) {
        const std::string turn = reservationExpiries_.begin()->second;
        release(turn, now);
    }
}

void TurnPlacement::expireAffinities(TimePoint now)
{
    if (now < nextAffinityExpiry_) {
        return;
    }
    nextAffinityExpiry_ = now + affinityExpiryInterval;
    for (auto item = affinities_.begin(); item != affinities_.end();) {
        if (now - item->second.lastUsed <= affinityLifetime) {
            ++item;
            continue;
        }
        removeAffinity(item->second);
        item = affinities_.erase(item);
    }
}

void TurnPlacement::tick(TimePoint now)
{
    expireReservations(now);
    expireAffinities(now);
    std::vector<WaitingTurn> expired;
    while (!queueTimes_.empty() && now - queueTimes_.begin()->first >= maxQueueTime) {
        const std::string turn = queueTimes_.begin()->second;
        const auto &[service, key] = queueKeys_.at(turn);
        expired.push_back(std::move(queues_[service].at(key)));
        removeFromQueue(turn);
    }
    for (const WaitingTurn &waiting : expired) {
        const std::optional<std::string> engine = choose(waiting.request, now, true);
        if (engine) {
            reserveSlot(waiting.request, *engine, now);
        }
        waiting.callback(engine.value_or(std::string()));
    }
    placeWaitingTurns(now);
}

void TurnPlacement::clear()
{
    // Affinities survive a change of leader; losing them would make all programs recompute their prompts at once.
    reservations_.clear();
    reservationExpiries_.clear();
    queueKeys_.clear();
    queueTimes_.clear();
    engines_.clear();
    services_.clear();
    avoidedUntil_.clear();
    for (auto &[service, queue] : std::exchange(queues_, {})) {
        for (auto &[key, waiting] : queue) {
            waiting.callback({});
        }
    }
}

std::size_t TurnPlacement::waiting() const
{
    return queueKeys_.size();
}

std::uint64_t TurnPlacement::examinedEngines() const
{
    std::uint64_t examined = 0;
    for (const auto &[name, service] : services_) {
        examined += service.usable.examined();
    }
    return examined;
}

unsigned TurnPlacement::turnsAt(const std::string &engine) const
{
    const auto found = engines_.find(engine);
    return found == engines_.end() ? 0 : found->second.turns;
}

} // namespace cardamompost
