#include <cardamompost/policy/cp_cross_domain_cost.hpp>
#include <cardamompost/policy/cp_expected_completion.hpp>
#include <cardamompost/policy/cp_turn_placement.hpp>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace cardamompost
{

namespace
{

// Load that a program with affinity adds to an engine, in turns.
constexpr double affinityWeight = 0.25;
// Expected lifetime of a program's prompt in the engine's cache.
constexpr Milliseconds affinityLifetime {8000};
constexpr Milliseconds affinityExpiryInterval {500};
// Added to a turn's time limit before the slot of a failed entry is reclaimed.
constexpr Milliseconds reservationMargin {500};

} // namespace

TurnPlacement::TurnPlacement(std::uint64_t seed, PlacementOptions options)
    : seed_(seed)
    , options_(options)
    , queue_(options.sharesByAccount)
    , admission_(seed)
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
    std::erase_if(leaving_, [&](const auto &item) { return !listed.contains(item.first); });
    updateServers(servers, removed, now);
}

void TurnPlacement::updateServers(const std::vector<BackendServer> &changed, const std::vector<std::string> &removed,
                                  TimePoint now)
{
    hasList_ = true;
    std::set<std::string> opened;
    for (const BackendServer &server : changed) {
        const auto known = engines_.find(server.id);
        if (known != engines_.end() && server.incarnation > known->second.incarnation
            && known->second.incarnation != 0) {
            resetEngine(server.id);
        }
        if (server.isLeaving) {
            addLeaving(server);
            closeEngine(server.id);
            continue;
        }
        leaving_.erase(server.id);
        Engine &engine = engines_[server.id];
        if (!engine.isOpen) {
            opened.insert(server.id);
        }
        openEngine(engine, server, now);
    }
    for (const std::string &id : removed) {
        closeEngine(id);
        leaving_.erase(id);
    }
    countPrograms(opened);
    answerUnplaceableTurns();
    placeWaitingTurns(now);
}

void TurnPlacement::openEngine(Engine &engine, const BackendServer &server, TimePoint now)
{
    const bool isCounted = engine.isOpen && engine.service == server.service && engine.slots == server.slots;
    if (!isCounted) {
        countSlots(engine, -1);
    }
    if (engine.isOpen && engine.version() != server.version()) {
        engine.isOpen = false;
        reindex(server.id, engine);
    }
    if (engine.service != server.service && engine.turns != 0) {
        engine.turns -= dropReservations(server.id, server.service);
    }
    engine.incarnation = server.incarnation;
    engine.service = server.service;
    engine.softwareVersion = server.softwareVersion;
    engine.failureDomain = server.failureDomain;
    engine.slots = server.slots;
    engine.isOpen = true;
    if (options_.usesServiceRates) {
        engine.slowness = rates_.slowness(engine.service, server.id, engine.incarnation, now);
    }
    if (!isCounted) {
        countSlots(engine, 1);
    }
    reindex(server.id, engine);
}

void TurnPlacement::countSlots(const Engine &engine, int sign)
{
    if (!engine.isOpen) {
        return;
    }
    Service &counted = service(engine.service);
    counted.slots += sign * static_cast<int>(engine.slots);
    counted.room += sign * static_cast<int>(roomOf(engine));
    queue_.setSlots(engine.service, static_cast<unsigned>(counted.slots), static_cast<unsigned>(counted.room));
}

void TurnPlacement::closeEngine(const std::string &id)
{
    const auto found = engines_.find(id);
    if (found == engines_.end()) {
        return;
    }
    countSlots(found->second, -1);
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
    const EngineLoad load {
        engine.failureDomain, equivalentLoad(engine.turns, engine.slots, engine.slowness),
        equivalentLoad(engine.turns + engine.programs * affinityWeight, engine.slots, engine.slowness),
        hasRoom(engine)};
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
    dropReservations(id, {});
    std::erase_if(affinities_, [&](const auto &item) { return item.second.engine == id; });
    Engine &engine = engines_[id];
    countSlots(engine, -1);
    engine.isOpen = false;
    reindex(id, engine);
    engine = {};
}

unsigned TurnPlacement::dropReservations(const std::string &engine, const std::string &service)
{
    const auto dropped = std::erase_if(reservations_, [&](const auto &item) {
        const SlotReservation &reservation = item.second;
        if (reservation.engine != engine || reservation.service == service) {
            return false;
        }
        reservationExpiries_.erase({reservation.expiresAt, item.first});
        queue_.onReleased(reservation.service, reservation.account);
        return true;
    });
    return static_cast<unsigned>(dropped);
}

bool TurnPlacement::mayRunAt(const std::string &engine, const std::string &service) const
{
    const auto found = engines_.find(engine);
    if (!hasList_) {
        return found == engines_.end() || found->second.service.empty() || found->second.service == service;
    }
    return found != engines_.end() && found->second.isOpen && found->second.service == service;
}

bool TurnPlacement::hasService(const std::string &service) const
{
    const auto found = services_.find(service);
    return found != services_.end() && (!found->second.usable.isEmpty() || !found->second.avoided.empty());
}

TurnPlacement::Service &TurnPlacement::service(const std::string &name)
{
    const auto found = services_.find(name);
    return found != services_.end()
        ? found->second
        : services_.emplace(name, Service {EngineLoadIndex(seed_), {}, {}, 0, 0}).first->second;
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
    const auto indexed = services_.find(request.service);
    const std::optional<double> fewestTurns
        = indexed == services_.end() ? std::nullopt : indexed->second.usable.fewestTurns();
    return fewestTurns && isWorthLeaving(engine->second, request, *fewestTurns) ? nullptr : &engine->first;
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
            return (!needsRoom || hasRoom(engine))
                && (request.softwareVersion.empty() || engine.softwareVersion == request.softwareVersion);
        });
        return usable == indexed.avoided.end() ? std::nullopt : std::optional(*usable);
    }
    const double domainCost = options_.prefersNearEngines
        ? crossDomainCost(candidates->enginesIn(request.failureDomain))
        : minCrossDomainCost;
    return candidates->leastLoaded(request.failureDomain, domainCost, needsRoom);
}

bool TurnPlacement::serviceHasRoom(const std::string &name, TimePoint now)
{
    restoreAvoided(now);
    Service &indexed = service(name);
    if (!indexed.usable.isEmpty()) {
        return indexed.usable.leastLoaded({}, 0, true).has_value();
    }
    return std::any_of(indexed.avoided.begin(), indexed.avoided.end(),
                       [&](const std::string &id) { return hasRoom(engines_.at(id)); });
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
    // The affinity, which is about to be replaced, tells where the prompt is cached.
    std::string promptSource = findPromptSource(request, engine, now);
    Engine &reserved = engines_[engine];
    ++reserved.turns;
    reindex(engine, reserved);
    const TimePoint expiresAt = now + request.timeLeft + reservationMargin;
    reservations_[request.turn] = {engine, expiresAt, std::move(promptSource), request.service, request.account};
    queue_.onReserved(request.service, request.account);
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
    affinity = {engine, now, incarnationOf(engine)};
}

void TurnPlacement::removeAffinity(const Affinity &affinity)
{
    if (const auto engine = engines_.find(affinity.engine); engine != engines_.end()) {
        engine->second.programs -= engine->second.programs > 0 ? 1 : 0;
        reindex(engine->first, engine->second);
    }
}

void TurnPlacement::release(const std::string &turn, TimePoint now)
{
    if (queue_.contains(turn)) {
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
    queue_.onReleased(reservation->second.service, reservation->second.account);
    admission_.onReleased(reservation->second.service, now);
    reservationExpiries_.erase({reservation->second.expiresAt, turn});
    reservations_.erase(reservation);
    placeWaitingTurns(now);
}

void TurnPlacement::avoid(const std::string &engine, TimePoint until)
{
    if (const auto leaving = leaving_.find(engine); leaving != leaving_.end()) {
        leaving->second.avoidUntil = std::max(leaving->second.avoidUntil, until);
    }
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
