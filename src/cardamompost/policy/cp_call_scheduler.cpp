#include <cardamompost/core/cp_invariant.hpp>
#include <cardamompost/policy/cp_call_scheduler.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace cardamompost
{

namespace
{

constexpr Milliseconds minRetryAfter {100};
constexpr Milliseconds maxRetryAfter {30'000};

} // namespace

CallScheduler::CallScheduler(CallSchedulerOptions options, std::unique_ptr<IQueuePolicy> queuePolicy,
                             std::unique_ptr<IPlacementPolicy> placementPolicy)
    : options_(options)
    , queuePolicy_(std::move(queuePolicy))
    , placementPolicy_(std::move(placementPolicy))
    , random_(options.seed)
{
    checkInvariant(queuePolicy_ && placementPolicy_, "a scheduler needs a queue policy and a placement policy");
}

Error CallScheduler::overloadError(const std::string &text) const
{
    Error error = makeError(ErrorKind::Overloaded, text);
    error.outcome = Outcome::NotRun;
    error.retryAfter = std::clamp(expectedWait(), minRetryAfter, maxRetryAfter);
    return error;
}

std::vector<WaitingCall>::iterator CallScheduler::findShedCandidate(const WaitingCall &call)
{
    // Sheds the lowest rank first; within it the program with the least completed work, then the latest arrival.
    const auto isShedAfter = [](const WaitingCall &first, const WaitingCall &second) {
        return std::tuple(first.rank, -first.attainedTokens, first.arrived)
            < std::tuple(second.rank, -second.attainedTokens, second.arrived);
    };
    const auto candidate = std::max_element(waiting_.begin(), waiting_.end(), isShedAfter);
    return candidate == waiting_.end() || !isShedAfter(call, *candidate) ? waiting_.end() : candidate;
}

std::optional<Error> CallScheduler::refusalFor(const WaitingCall &call)
{
    if (waiting_.size() < options_.queueLimit || findShedCandidate(call) != waiting_.end()) {
        return std::nullopt;
    }
    return overloadError(fmt::format("the queue is full: {} calls are waiting", waiting_.size()));
}

Result<void> CallScheduler::add(WaitingCall call)
{
    if (const std::optional<Error> refusal = refusalFor(call)) {
        return *refusal;
    }
    if (waiting_.size() >= options_.queueLimit) {
        const auto shed = findShedCandidate(call);
        dropped_.push_back(
            {shed->id,
             overloadError("the call was shed for one of a higher rank or of a program with more completed work")});
        waiting_.erase(shed);
    }
    waiting_.push_back(std::move(call));
    return boost::outcome_v2::success();
}

bool CallScheduler::remove(std::uint64_t call)
{
    return std::erase_if(waiting_, [&](const WaitingCall &waiting) { return waiting.id == call; }) != 0;
}

void CallScheduler::setReplicas(std::vector<ReplicaView> replicas)
{
    for (ReplicaView &replica : replicas) {
        const auto known = std::find_if(replicas_.begin(), replicas_.end(),
                                        [&](const ReplicaView &old) { return old.name == replica.name; });
        replica.ownInFlight = known == replicas_.end() ? replica.ownInFlight : known->ownInFlight;
    }
    replicas_ = std::move(replicas);
}

void CallScheduler::onFinished(const std::string &replica)
{
    const auto known = std::find_if(replicas_.begin(), replicas_.end(),
                                    [&](const ReplicaView &view) { return view.name == replica; });
    // The replica may have been removed from the configuration.
    if (known != replicas_.end() && known->ownInFlight > 0) {
        --known->ownInFlight;
    }
}

bool CallScheduler::hasAnyFreeSlot() const
{
    return std::any_of(replicas_.begin(), replicas_.end(),
                       [](const ReplicaView &replica) { return replica.hasFreeSlot(); });
}

std::vector<std::size_t> CallScheduler::schedulingOrder(TimePoint now) const
{
    std::vector<std::size_t> order(waiting_.size());
    std::iota(order.begin(), order.end(), 0);
    std::vector<std::pair<int, double>> keys;
    keys.reserve(waiting_.size());
    for (const WaitingCall &call : waiting_) {
        keys.emplace_back(queuePolicy_->usesRanks() ? call.rank : 0, queuePolicy_->score(call, now));
    }
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return keys[a] < keys[b]; });
    return order;
}

bool CallScheduler::placeOne(std::size_t position, TimePoint now, bool isOldest,
                             std::vector<PlacementDecision> &decisions)
{
    const WaitingCall &call = waiting_[position];
    const auto choice = placementPolicy_->choose({call, replicas_, speed_, now, random_});
    if (!choice) {
        return false;
    }
    ReplicaView &replica = replicas_[*choice];
    checkInvariant(!replica.isClosed, "a closed replica must not receive new calls");
    ++replica.ownInFlight;
    const auto waited = std::chrono::duration_cast<Milliseconds>(now - call.arrived);
    decisions.push_back({call.id, replica.name, call.workClass, waited, replica.name == call.warmReplica, isOldest});
    ++placementsSinceOldest_;
    return true;
}

bool CallScheduler::placeOldest(TimePoint now, std::vector<PlacementDecision> &decisions)
{
    if (waiting_.empty() || placementsSinceOldest_ < options_.placementsPerOldest || !queuePolicy_->usesRanks()) {
        return false;
    }
    const auto oldest = std::min_element(waiting_.begin(), waiting_.end(),
                                         [](const auto &a, const auto &b) { return a.arrived < b.arrived; });
    if (now - oldest->arrived < options_.oldestMinWait
        || !placeOne(static_cast<std::size_t>(oldest - waiting_.begin()), now, true, decisions)) {
        return false;
    }
    placementsSinceOldest_ = 0;
    waiting_.erase(oldest);
    return true;
}

std::vector<PlacementDecision> CallScheduler::place(TimePoint now)
{
    std::vector<PlacementDecision> decisions;
    if (waiting_.empty() || !hasAnyFreeSlot()) {
        return decisions;
    }
    placeOldest(now, decisions);
    std::vector<bool> isPlaced(waiting_.size(), false);
    for (const std::size_t position : schedulingOrder(now)) {
        if (!hasAnyFreeSlot()) {
            break;
        }
        isPlaced[position] = placeOne(position, now, false, decisions);
    }
    std::size_t position = 0;
    std::erase_if(waiting_, [&](const WaitingCall & /*call*/) { return isPlaced[position++]; });
    return decisions;
}

std::vector<DroppedCall> CallScheduler::takeDropped(TimePoint now)
{
    std::vector<DroppedCall> dropped = std::exchange(dropped_, {});
    std::erase_if(waiting_, [&](const WaitingCall &call) {
        if (now < call.deadline) {
            return false;
        }
        Error error
            = makeError(ErrorKind::DeadlineExceeded, "deadline exceeded while the call waited for a free replica");
        error.outcome = Outcome::NotRun;
        error.retryAfter = std::clamp(expectedWait(), minRetryAfter, maxRetryAfter);
        dropped.push_back({call.id, std::move(error)});
        return true;
    });
    return dropped;
}

Milliseconds CallScheduler::expectedWait() const
{
    int slots = 0;
    for (const ReplicaView &replica : replicas_) {
        slots += replica.isClosed ? 0 : replica.slots;
    }
    const double rounds = static_cast<double>(waiting_.size() + 1) / std::max(1, slots);
    return Milliseconds(static_cast<std::int64_t>(rounds * assumedServiceMs_));
}

} // namespace cardamompost
