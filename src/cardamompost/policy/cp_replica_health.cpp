#include <cardamompost/policy/cp_replica_health.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

constexpr int failuresToEject = 3;
constexpr int maxEjectionDoublings = 5;
constexpr Milliseconds firstEjection {1000};
constexpr Milliseconds slowStart {10'000};
constexpr double initialSlotShare = 0.25;

} // namespace

void ReplicaHealth::onSuccess(const std::string &replica, TimePoint now)
{
    State &state = states_[replica];
    state.failures = 0;
    if (state.wasEjected && now > state.ejectedUntil + slowStart) {
        state.ejections = 0;
    }
}

void ReplicaHealth::onFailure(const std::string &replica, TimePoint now)
{
    State &state = states_[replica];
    ++state.failures;
    if (state.failures < failuresToEject || now < state.ejectedUntil) {
        return;
    }
    state.ejectedUntil = now + firstEjection * (1 << std::min(state.ejections, maxEjectionDoublings));
    ++state.ejections;
    state.failures = 0;
    state.wasEjected = true;
}

bool ReplicaHealth::isEjected(const std::string &replica, std::size_t replicaCount, TimePoint now) const
{
    const auto found = states_.find(replica);
    if (found == states_.end() || now >= found->second.ejectedUntil) {
        return false;
    }
    // Ejections that end earlier take precedence when more than the allowed share would be ejected.
    const auto endsEarlier = [&](const auto &item) {
        return now < item.second.ejectedUntil
            && std::pair(item.second.ejectedUntil, item.first) < std::pair(found->second.ejectedUntil, replica);
    };
    const auto endingEarlier = static_cast<std::size_t>(std::count_if(states_.begin(), states_.end(), endsEarlier));
    return endingEarlier < replicaCount / 2;
}

double ReplicaHealth::usableSlotShare(const std::string &replica, TimePoint now) const
{
    const auto found = states_.find(replica);
    if (found == states_.end() || !found->second.wasEjected || now < found->second.ejectedUntil) {
        return 1.0;
    }
    const double rampUpProgress
        = std::chrono::duration<double>(now - found->second.ejectedUntil) / std::chrono::duration<double>(slowStart);
    return std::min(1.0, initialSlotShare + (1.0 - initialSlotShare) * rampUpProgress);
}

} // namespace cardamompost
