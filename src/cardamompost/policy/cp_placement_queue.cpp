#include <cardamompost/policy/cp_turn_placement.hpp>

#include <utility>
#include <vector>

// The part of TurnPlacement that deals with waiting turns.
namespace cardamompost
{

namespace
{

TurnGroup groupOf(const SlotRequest &request)
{
    if (request.isLate) {
        return TurnGroup::Late;
    }
    return request.isInProgress ? TurnGroup::InProgress : TurnGroup::New;
}

} // namespace

void TurnPlacement::request(SlotRequest request, TimePoint now, PlacementCallback callback)
{
    if (request.service.empty()) {
        callback({});
        return;
    }
    if (const auto reservation = reservations_.find(request.turn); reservation != reservations_.end()) {
        // The slot stays reserved in any case, since the turn may be running there.
        const std::string engine = reservation->second.engine;
        callback(mayRunAt(engine, request.service) ? engine : std::string());
        return;
    }
    if (const auto queued = waiting_.find(request.turn); queued != waiting_.end()) {
        // A retried request keeps its position in the queue.
        queued->second.callback = std::move(callback);
        return;
    }
    if (!hasService(request.service)) {
        const std::string engine = hasList_ ? std::string() : lastEngineOf(request);
        if (!engine.empty()) {
            reserveSlot(request, engine, now);
        }
        callback(engine);
        return;
    }
    // Every turn is queued first, so that it cannot overtake waiting turns that rank before it.
    queue_.push({request.turn, request.service, request.account, groupOf(request), request.rank, now});
    queueTimes_.emplace(now, request.turn);
    const std::string turn = request.turn;
    waiting_.emplace(turn, WaitingTurn {std::move(request), now, std::move(callback)});
    placeWaitingTurns(now);
}

std::string TurnPlacement::lastEngineOf(const SlotRequest &request) const
{
    // A new leader may not have the list yet, but knows the affinities from the log. They name no service: the entry
    // falls back to its own choice if the engine is gone or runs another one.
    const auto affinity = affinities_.find(request.program);
    const bool isUsable = affinity != affinities_.end() && request.softwareVersion.empty();
    return isUsable ? affinity->second.engine : std::string();
}

void TurnPlacement::answerUnplaceableTurns()
{
    std::vector<std::string> turns;
    for (const auto &[turn, waiting] : waiting_) {
        const SlotRequest &request = waiting.request;
        if (!hasService(request.service)
            || (!request.softwareVersion.empty() && !mayHaveVersion(request.service, request.softwareVersion))) {
            turns.push_back(turn);
        }
    }
    for (const std::string &turn : turns) {
        // An earlier callback may have released this turn.
        if (waiting_.contains(turn)) {
            removeFromQueue(turn).callback({});
        }
    }
}

void TurnPlacement::placeWaitingTurns(TimePoint now)
{
    // Callbacks may request or release slots, so nothing is kept across a call.
    bool madeProgress = true;
    while (madeProgress) {
        madeProgress = false;
        for (const std::string &service : queue_.services()) {
            const std::string turn = queue_.first(service)->turn;
            const std::optional<std::string> engine = chooseForFirst(waiting_.at(turn).request, now);
            if (!engine) {
                continue;
            }
            const WaitingTurn next = removeFromQueue(turn);
            place(next, *engine, now);
            madeProgress = true;
            break;
        }
    }
}

void TurnPlacement::place(const WaitingTurn &waiting, const std::string &engine, TimePoint now)
{
    const SlotRequest &request = waiting.request;
    const bool isOverShare = queue_.isOverShare(request.service, request.account);
    admission_.onPlaced(request.service, {isOverShare, groupOf(request), request.rank}, now);
    reserveSlot(request, engine, now);
    waiting.callback(engine);
}

std::optional<AdmissionRefusal> TurnPlacement::refuse(const SlotRequest &request, TimePoint now)
{
    const bool isKnown = reservations_.contains(request.turn) || queue_.contains(request.turn);
    if (!options_.refusesHopelessPrograms || request.isInProgress || isKnown || !hasService(request.service)) {
        return std::nullopt;
    }
    const TurnQueue::Outlook outlook
        = queue_.outlook({request.turn, request.service, request.account, groupOf(request), request.rank, now});
    const bool mustWait = outlook.turnClass.isOverShare && queue_.isFull(request.service);
    std::optional<AdmissionRefusal> refusal
        = admission_.refuse({request.service, outlook.turnClass, outlook.turnsAhead,
                             !mustWait && serviceHasRoom(request.service, now), request.programTimeLeft},
                            now);
    if (refusal) {
        refusal->heldSlots = queue_.held(request.service, request.account);
        refusal->fairShare = queue_.fairShare(request.service);
    }
    return refusal;
}

std::optional<std::string> TurnPlacement::chooseForFirst(const SlotRequest &request, TimePoint now)
{
    // Loads of engines differ, so that some have room while all together hold too many turns.
    const bool mustWait = queue_.isOverShare(request.service, request.account) && queue_.isFull(request.service);
    return mustWait ? std::nullopt : choose(request, now, false);
}

TurnPlacement::WaitingTurn TurnPlacement::removeFromQueue(const std::string &turn)
{
    queue_.remove(turn);
    WaitingTurn removed = std::move(waiting_.extract(turn).mapped());
    queueTimes_.erase({removed.queuedAt, removed.request.turn});
    return removed;
}

void TurnPlacement::tick(TimePoint now)
{
    expireReservations(now);
    expireAffinities(now);
    std::vector<WaitingTurn> expired;
    while (!queueTimes_.empty() && now - queueTimes_.begin()->first >= maxQueueTime) {
        const std::string turn = queueTimes_.begin()->second;
        expired.push_back(removeFromQueue(turn));
    }
    for (const WaitingTurn &waiting : expired) {
        const std::optional<std::string> engine = choose(waiting.request, now, true);
        if (engine) {
            place(waiting, *engine, now);
        } else {
            waiting.callback({});
        }
    }
    placeWaitingTurns(now);
}

void TurnPlacement::clear()
{
    // Affinities survive a change of leader; losing them would make all programs recompute their prompts at once.
    hasList_ = false;
    reservations_.clear();
    reservationExpiries_.clear();
    queueTimes_.clear();
    engines_.clear();
    leaving_.clear();
    services_.clear();
    avoidedUntil_.clear();
    std::vector<PlacementCallback> callbacks;
    for (const std::string &service : queue_.services()) {
        while (const QueuedTurn *next = queue_.first(service)) {
            const std::string turn = next->turn;
            queue_.remove(turn);
            callbacks.push_back(std::move(waiting_.at(turn).callback));
        }
    }
    queue_.clear();
    waiting_.clear();
    admission_.clear();
    for (const PlacementCallback &callback : callbacks) {
        callback({});
    }
}

std::size_t TurnPlacement::waiting() const
{
    return queue_.waiting();
}

} // namespace cardamompost
