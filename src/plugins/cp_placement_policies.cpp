#include <cardamompost/policy/cp_policy_registry.hpp>

namespace cardamompost
{

namespace
{

double relativeLoad(const ReplicaView &replica)
{
    return static_cast<double>(replica.load()) / static_cast<double>(std::max(1, replica.slots));
}

std::vector<std::size_t> findAvailable(const PlacementInput &input)
{
    std::vector<std::size_t> available;
    for (std::size_t i = 0; i < input.replicas.size(); ++i) {
        if (input.replicas[i].hasFreeSlot()) {
            available.push_back(i);
        }
    }
    return available;
}

std::size_t pickRandom(const std::vector<std::size_t> &available, std::mt19937_64 &random)
{
    return available[std::uniform_int_distribution<std::size_t>(0, available.size() - 1)(random)];
}

// Power of two choices: the less loaded of two random replicas. Selecting the global minimum from stale reports would
// send all schedulers to the same replica.
std::size_t pickBetterOfTwo(const std::vector<std::size_t> &available, const PlacementInput &input)
{
    const std::size_t first = pickRandom(available, input.random);
    const std::size_t second = pickRandom(available, input.random);
    return relativeLoad(input.replicas[second]) < relativeLoad(input.replicas[first]) ? second : first;
}

//! Baseline: least-loaded selection.
struct LeastLoad {
    static constexpr std::string_view policyName = "least-load";

    [[nodiscard]] std::optional<std::size_t> choose(const PlacementInput &input)
    {
        const std::vector<std::size_t> available = findAvailable(input);
        if (available.empty()) {
            return std::nullopt;
        }
        const auto isLess = [&](std::size_t a, std::size_t b) {
            return relativeLoad(input.replicas[a]) < relativeLoad(input.replicas[b]);
        };
        return *std::min_element(available.begin(), available.end(), isLess);
    }
};

//! Baseline: round robin over replicas with a free slot.
struct RoundRobin {
    static constexpr std::string_view policyName = "round-robin";

    [[nodiscard]] std::optional<std::size_t> choose(const PlacementInput &input)
    {
        for (std::size_t step = 0; step < input.replicas.size(); ++step) {
            const std::size_t index = next_++ % input.replicas.size();
            if (input.replicas[index].hasFreeSlot()) {
                return index;
            }
        }
        return std::nullopt;
    }

    std::size_t next_ = 0;
};

//! Baseline: a random replica with a free slot.
struct RandomReplica {
    static constexpr std::string_view policyName = "random";

    [[nodiscard]] std::optional<std::size_t> choose(const PlacementInput &input)
    {
        const std::vector<std::size_t> available = findAvailable(input);
        return available.empty() ? std::nullopt : std::optional(pickRandom(available, input.random));
    }
};

//! Cache affinity: prefers the replica that has the program's prompt cached.
//!
//! If that replica is full, the call waits for it at most as long as the cached prompt saves in prefill time, and then
//! goes to the less loaded of two random replicas.
struct CacheAffinity {
    static constexpr std::string_view policyName = "warm-detour";
    //! Maximum wait for the preferred replica, as a multiple of the prefill time saved.
    static constexpr double maxWaitPerSavedTime = 1.0;
    //! Penalty per unit of relative load, because decoding slows down with larger batches.
    static constexpr double loadPenaltyMs = 200.0;

    [[nodiscard]] std::optional<std::size_t> choose(const PlacementInput &input)
    {
        const std::vector<std::size_t> available = findAvailable(input);
        if (available.empty()) {
            return std::nullopt;
        }
        const auto isWarm = [&](const ReplicaView &replica) { return replica.name == input.call.warmReplica; };
        const auto warm = std::find_if(input.replicas.begin(), input.replicas.end(), isWarm);
        const std::size_t other = pickBetterOfTwo(available, input);
        if (warm == input.replicas.end() || warm->isClosed) {
            return other;
        }
        const double savedMs = static_cast<double>(input.call.warmTokens) * input.speed.prefillMsPerToken;
        if (warm->hasFreeSlot()) {
            const double penaltyMs = loadPenaltyMs * (relativeLoad(*warm) - relativeLoad(input.replicas[other]));
            return penaltyMs > savedMs ? other : static_cast<std::size_t>(warm - input.replicas.begin());
        }
        const double waitedMs = std::chrono::duration<double, std::milli>(input.now - input.call.arrived).count();
        return waitedMs < maxWaitPerSavedTime * savedMs ? std::nullopt : std::optional(other);
    }
};

CARDAMOMPOST_REGISTER_PLACEMENT_POLICY(LeastLoad);
CARDAMOMPOST_REGISTER_PLACEMENT_POLICY(RoundRobin);
CARDAMOMPOST_REGISTER_PLACEMENT_POLICY(RandomReplica);
CARDAMOMPOST_REGISTER_PLACEMENT_POLICY(CacheAffinity);

} // namespace

} // namespace cardamompost
