#include <cardamompost/policy/cp_turn_placement.hpp>

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace cardamompost
{

namespace
{

// A program leaves its warm engine for one with so many turns less, in shares of the slots. Its whole prompt is read
// anew there, which takes the engine longer than all its steps do for the turn.
constexpr double shareToLeave = 2.5;
// What a program that ran here lately weighs besides its turn, since its next one comes here.
constexpr double programWeight = 0.25;
// New programs wait while all engines have turns for this share of their places.
constexpr double newShare = 1.1;
// What the way to another failure domain costs, in the same measure.
constexpr double otherDomainCost = 0.75;
// A program's last engine is forgotten after this; it has been evicted there, or the program is over.
constexpr Milliseconds warmFor {8000};
constexpr Milliseconds forgetInterval {500};
// A turn that has waited for so long goes to an engine's own queue; callers give up soon after.
constexpr Milliseconds longestWait {1200};
// Guards against places of entries that died: nobody gives them back.
constexpr Milliseconds holdMargin {500};

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
            forgetIncarnation(server.id);
        }
        engine.incarnation = server.incarnation;
        engine.service = server.service;
        engine.failureDomain = server.failureDomain;
        engine.slots = server.slots;
        engine.isOpen = !server.isLeaving;
    }
    std::erase_if(engines_, [](const auto &item) { return !item.second.isOpen && item.second.turns == 0; });
    countPrograms();
    serveQueues(now);
}

void TurnPlacement::countPrograms()
{
    for (auto &[id, engine] : engines_) {
        engine.programs = 0;
    }
    for (const auto &[program, warm] : warm_) {
        if (const auto engine = engines_.find(warm.engine); engine != engines_.end()) {
            ++engine->second.programs;
        }
    }
}

void TurnPlacement::forgetIncarnation(const std::string &id)
{
    // Guards against counting turns that ended with the engine, and against sending programs back for a history that it
    // no longer holds.
    std::erase_if(held_, [&](const auto &item) { return item.second.engine == id; });
    std::erase_if(warm_, [&](const auto &item) { return item.second.engine == id; });
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

double TurnPlacement::cost(const Engine &engine, const TurnToPlace &turn)
{
    const bool isNear = engine.failureDomain == turn.failureDomain;
    return engine.turns + engine.programs * programWeight + (isNear ? 0 : otherDomainCost);
}

const std::string *TurnPlacement::warmEngine(const TurnToPlace &turn, TimePoint now) const
{
    const auto warm = warm_.find(turn.program);
    if (warm == warm_.end()) {
        return nullptr;
    }
    const auto engine = engines_.find(warm->second.engine);
    const bool isUsable = engine != engines_.end() && engine->second.isOpen && engine->second.service == turn.service
        && now >= engine->second.avoidUntil;
    if (!isUsable) {
        return nullptr;
    }
    const double fewer = engine->second.turns - shareToLeave * engine->second.slots;
    for (const auto &[id, other] : engines_) {
        if (other.isOpen && other.service == turn.service && other.turns <= fewer) {
            return nullptr;
        }
    }
    return &engine->first;
}

std::optional<std::string> TurnPlacement::choose(const TurnToPlace &turn, TimePoint now, bool mayOverload)
{
    if (const std::string *warm = warmEngine(turn, now)) {
        return *warm;
    }
    double least = std::numeric_limits<double>::max();
    std::vector<const std::string *> best;
    // With all engines in doubt, one of them is still better than none.
    const bool takesAvoided = !hasUsableEngine(turn.service, now);
    for (const auto &[id, engine] : engines_) {
        const bool isUsable = engine.isOpen && engine.service == turn.service
            && (takesAvoided || now >= engine.avoidUntil)
            && (mayOverload || turn.isInProgress || engine.turns < engine.slots * newShare);
        const double own = isUsable ? cost(engine, turn) : least;
        if (!isUsable || own > least) {
            continue;
        }
        if (own < least) {
            best.clear();
        }
        least = own;
        best.push_back(&id);
    }
    if (best.empty()) {
        return std::nullopt;
    }
    return *best[random_() % best.size()];
}

void TurnPlacement::hold(const TurnToPlace &turn, const std::string &engine, TimePoint now)
{
    ++engines_[engine].turns;
    held_[turn.turn] = {engine, now + turn.timeLeft + holdMargin};
    setWarm(turn.program, engine, now);
}

void TurnPlacement::noteRan(const std::string &program, const std::string &engine, TimePoint now)
{
    if (!program.empty() && !engine.empty()) {
        setWarm(program, engine, now);
    }
}

void TurnPlacement::setWarm(const std::string &program, const std::string &engine, TimePoint now)
{
    Warm &warm = warm_[program];
    if (warm.engine != engine) {
        leaveWarm(warm);
        if (const auto found = engines_.find(engine); found != engines_.end()) {
            ++found->second.programs;
        }
    }
    warm = {engine, now};
}

void TurnPlacement::leaveWarm(const Warm &warm)
{
    if (const auto engine = engines_.find(warm.engine); engine != engines_.end()) {
        engine->second.programs -= engine->second.programs > 0 ? 1 : 0;
    }
}

void TurnPlacement::request(TurnToPlace turn, TimePoint now, Placed placed)
{
    if (const auto held = held_.find(turn.turn); held != held_.end()) {
        const std::string engine = held->second.engine;
        placed(engine);
        return;
    }
    if (const auto place = places_.find(turn.turn); place != places_.end()) {
        // Asked again, as after a lost answer: its place in the queue stays.
        queues_[place->second.first].at(place->second.second).placed = std::move(placed);
        return;
    }
    if (!hasService(turn.service)) {
        // A leader that has just taken over has read no list yet. It still knows where programs ran; the entry has the
        // engine's address, and chooses by itself where that is gone.
        const auto warm = warm_.find(turn.program);
        const std::string engine = warm == warm_.end() ? std::string() : warm->second.engine;
        if (!engine.empty()) {
            hold(turn, engine, now);
        }
        placed(engine);
        return;
    }
    // Whoever comes while others wait goes behind those that come before it, even if a place is free this moment.
    const unsigned group = turn.isLate ? groupLate : turn.isInProgress ? groupInProgress : groupNew;
    const Order order {group, turn.rank, nextSequence_++};
    places_.emplace(turn.turn, std::pair(turn.service, order));
    Queue &queue = queues_[turn.service];
    queue.emplace(order, Waiting {std::move(turn), now, std::move(placed)});
    serveQueues(now);
}

void TurnPlacement::serveQueues(TimePoint now)
{
    // Callbacks may ask for places or give them back, so nothing is kept across one.
    bool hasPlaced = true;
    while (hasPlaced) {
        hasPlaced = false;
        for (auto &[service, queue] : queues_) {
            if (queue.empty()) {
                continue;
            }
            const auto first = queue.begin();
            const std::optional<std::string> engine = choose(first->second.turn, now, false);
            if (!engine) {
                continue;
            }
            const Waiting next = std::move(first->second);
            queue.erase(first);
            places_.erase(next.turn.turn);
            hold(next.turn, *engine, now);
            next.placed(*engine);
            hasPlaced = true;
            break;
        }
    }
}

void TurnPlacement::release(const std::string &turn, TimePoint now)
{
    if (const auto place = places_.find(turn); place != places_.end()) {
        queues_[place->second.first].erase(place->second.second);
        places_.erase(place);
        return;
    }
    const auto held = held_.find(turn);
    if (held == held_.end()) {
        return;
    }
    if (const auto engine = engines_.find(held->second.engine); engine != engines_.end()) {
        engine->second.turns -= engine->second.turns > 0 ? 1 : 0;
    }
    held_.erase(held);
    serveQueues(now);
}

void TurnPlacement::avoid(const std::string &engine, TimePoint until)
{
    if (const auto found = engines_.find(engine); found != engines_.end()) {
        found->second.avoidUntil = std::max(found->second.avoidUntil, until);
    }
}

void TurnPlacement::expireHeld(TimePoint now)
{
    std::vector<std::string> over;
    for (const auto &[turn, held] : held_) {
        if (now >= held.until) {
            over.push_back(turn);
        }
    }
    for (const std::string &turn : over) {
        release(turn, now);
    }
}

void TurnPlacement::forgetCold(TimePoint now)
{
    if (now < nextForget_) {
        return;
    }
    nextForget_ = now + forgetInterval;
    for (auto item = warm_.begin(); item != warm_.end();) {
        if (now - item->second.at <= warmFor) {
            ++item;
            continue;
        }
        leaveWarm(item->second);
        item = warm_.erase(item);
    }
}

void TurnPlacement::tick(TimePoint now)
{
    expireHeld(now);
    forgetCold(now);
    std::vector<Waiting> over;
    for (auto &[service, queue] : queues_) {
        for (auto item = queue.begin(); item != queue.end();) {
            if (now - item->second.since < longestWait) {
                ++item;
                continue;
            }
            places_.erase(item->second.turn.turn);
            over.push_back(std::move(item->second));
            item = queue.erase(item);
        }
    }
    for (const Waiting &waiting : over) {
        const std::optional<std::string> engine = choose(waiting.turn, now, true);
        if (engine) {
            hold(waiting.turn, *engine, now);
        }
        waiting.placed(engine.value_or(std::string()));
    }
    serveQueues(now);
}

void TurnPlacement::clear()
{
    // Guards programs under way against a change of leader: were it forgotten where they ran, all of them would read
    // their histories anew elsewhere at once, just when turns have piled up behind the leader that was lost.
    held_.clear();
    places_.clear();
    engines_.clear();
    for (auto &[service, queue] : std::exchange(queues_, {})) {
        for (auto &[order, waiting] : queue) {
            waiting.placed({});
        }
    }
}

std::size_t TurnPlacement::waiting() const
{
    return places_.size();
}

unsigned TurnPlacement::turnsAt(const std::string &engine) const
{
    const auto found = engines_.find(engine);
    return found == engines_.end() ? 0 : found->second.turns;
}

} // namespace cardamompost
