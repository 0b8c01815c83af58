#include <cardamompost/policy/cp_turn_placement.hpp>

#include <algorithm>
#include <limits>
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
// Cost of an engine in another failure domain, in turns.
constexpr double crossDomainCost = 0.75;
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

TurnPlacement::TurnPlacement(std::uint64_t seed)
    : random_(seed)
{
}

void TurnPlacement::setServers(const std::vector<BackendServer> &servers, TimePoint now)
{
    for (auto &[id, engine] : engines_) {
        engine.isOpen = false;
    }
    for (const BackendServer &server : servers) {
        Engine &engine = engines_[server.id];
        if (server.incarnation > engine.incarnation && engine.incarnation != 0) {
            resetEngine(server.id);
        }
        engine.incarnation = server.incarnation;
        engine.service = server.service;
        engine.failureDomain = server.failureDomain;
        engine.slots = server.slots;
        engine.isOpen = !server.isLeaving;
    }
    std::erase_if(engines_, [](const auto &item) { return !item.second.isOpen && item.second.turns == 0; });
    countPrograms();
    placeWaitingTurns(now);
}

void TurnPlacement::countPrograms()
{
    for (auto &[id, engine] : engines_) {
        engine.programs = 0;
    }
    for (const auto &[program, affinity] : affinities_) {
        if (const auto engine = engines_.find(affinity.engine); engine != engines_.end()) {
            ++engine->second.programs;
        }
    }
}

void TurnPlacement::resetEngine(const std::string &id)
{
    // The restarted engine holds neither the turns nor the cached prompts of its previous incarnation.
    std::erase_if(reservations_, [&](const auto &item) { return item.second.engine == id; });
    std::erase_if(affinities_, [&](const auto &item) { return item.second.engine == id; });
    engines_[id] = {};
}

bool TurnPlacement::hasService(const std::string &service) const
{
    return std::any_of(engines_.begin(), engines_.end(),
                       [&](const auto &item) { return item.second.isOpen && item.second.service == service; });
}

bool TurnPlacement::hasUsableEngine(const std::string &service, TimePoint now) const
{
    return std::any_of(engines_.begin(), engines_.end(), [&](const auto &item) {
        return item.second.isOpen && item.second.service == service && now >= item.second.avoidUntil;
    });
}

double TurnPlacement::cost(const Engine &engine, const SlotRequest &request)
{
    const bool isSameDomain = engine.failureDomain == request.failureDomain;
    return engine.turns + engine.programs * affinityWeight + (isSameDomain ? 0 : crossDomainCost);
}

const std::string *TurnPlacement::affinityEngine(const SlotRequest &request, TimePoint now) const
{
    const auto affinity = affinities_.find(request.program);
    if (affinity == affinities_.end()) {
        return nullptr;
    }
    const auto engine = engines_.find(affinity->second.engine);
    const bool isUsable = engine != engines_.end() && engine->second.isOpen && engine->second.service == request.service
        && now >= engine->second.avoidUntil;
    if (!isUsable) {
        return nullptr;
    }
    const double loadThreshold = engine->second.turns - maxAffinityImbalance * engine->second.slots;
    for (const auto &[id, other] : engines_) {
        if (other.isOpen && other.service == request.service && other.turns <= loadThreshold) {
            return nullptr;
        }
    }
    return &engine->first;
}

std::optional<std::string> TurnPlacement::choose(const SlotRequest &request, TimePoint now, bool mayOverload)
{
    if (const std::string *affinity = affinityEngine(request, now)) {
        return *affinity;
    }
    double lowestCost = std::numeric_limits<double>::max();
    std::vector<const std::string *> best;
    // If every engine is being avoided, any of them may be used.
    const bool includesAvoided = !hasUsableEngine(request.service, now);
    for (const auto &[id, engine] : engines_) {
        const bool isUsable = engine.isOpen && engine.service == request.service
            && (includesAvoided || now >= engine.avoidUntil)
            && (mayOverload || request.isInProgress || engine.turns < engine.slots * newProgramLoadLimit);
        const double engineCost = isUsable ? cost(engine, request) : lowestCost;
        if (!isUsable || engineCost > lowestCost) {
            continue;
        }
        if (engineCost < lowestCost) {
            best.clear();
        }
        lowestCost = engineCost;
        best.push_back(&id);
    }
    if (best.empty()) {
        return std::nullopt;
    }
    return *best[random_() % best.size()];
}

void TurnPlacement::reserveSlot(const SlotRequest &request, const std::string &engine, TimePoint now)
{
    ++engines_[engine].turns;
    reservations_[request.turn] = {engine, now + request.timeLeft + reservationMargin};
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
        }
    }
    affinity = {engine, now};
}

void TurnPlacement::removeAffinity(const Affinity &affinity)
{
    if (const auto engine = engines_.find(affinity.engine); engine != engines_.end()) {
        engine->second.programs -= engine->second.programs > 0 ? 1 : 0;
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
        const std::string engine = affinity == affinities_.end() ? std::string() : affinity->second.engine;
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
            queue.erase(first);
            queueKeys_.erase(next.request.turn);
            reserveSlot(next.request, *engine, now);
            next.callback(*engine);
            madeProgress = true;
            break;
        }
    }
}

void TurnPlacement::release(const std::string &turn, TimePoint now)
{
    if (const auto queued = queueKeys_.find(turn); queued != queueKeys_.end()) {
        queues_[queued->second.first].erase(queued->second.second);
        queueKeys_.erase(queued);
        return;
    }
    const auto reservation = reservations_.find(turn);
    if (reservation == reservations_.end()) {
        return;
    }
    if (const auto engine = engines_.find(reservation->second.engine); engine != engines_.end()) {
        engine->second.turns -= engine->second.turns > 0 ? 1 : 0;
    }
    reservations_.erase(reservation);
    placeWaitingTurns(now);
}

void TurnPlacement::avoid(const std::string &engine, TimePoint until)
{
    if (const auto found = engines_.find(engine); found != engines_.end()) {
        found->second.avoidUntil = std::max(found->second.avoidUntil, until);
    }
}

void TurnPlacement::expireReservations(TimePoint now)
{
    std::vector<std::string> expired;
    for (const auto &[turn, reservation] : reservations_) {
        if (now >= reservation.expiresAt) {
            expired.push_back(turn);
        }
    }
    for (const std::string &turn : expired) {
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
    for (auto &[service, queue] : queues_) {
        for (auto item = queue.begin(); item != queue.end();) {
            if (now - item->second.queuedAt < maxQueueTime) {
                ++item;
                continue;
            }
            queueKeys_.erase(item->second.request.turn);
            expired.push_back(std::move(item->second));
            item = queue.erase(item);
        }
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
    queueKeys_.clear();
    engines_.clear();
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

unsigned TurnPlacement::turnsAt(const std::string &engine) const
{
    const auto found = engines_.find(engine);
    return found == engines_.end() ? 0 : found->second.turns;
}

} // namespace cardamompost
