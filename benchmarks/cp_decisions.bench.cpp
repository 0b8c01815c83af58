#include "cp_bench.hpp"

#include <cardamompost/control/cp_partition_planner.hpp>
#include <cardamompost/journal/cp_journal_writer.hpp>
#include <cardamompost/policy/cp_call_scheduler.hpp>
#include <cardamompost/policy/cp_policy_registry.hpp>

#include <random>

// Cost of one placement decision by number of replicas and of waiting calls, and of planning partition owners.

namespace
{

using namespace cardamompost;
using cardamompost::bench::secondsOf;

constexpr int decisions = 20'000;

std::vector<ReplicaView> makeReplicas(int count)
{
    std::vector<ReplicaView> replicas;
    for (int i = 0; i < count; ++i) {
        replicas.push_back({"replica-" + std::to_string(i), "domain", 1'000'000});
    }
    return replicas;
}

WaitingCall makeCall(std::uint64_t id, int replicas, std::mt19937_64 &random)
{
    WaitingCall call;
    call.id = id;
    call.rank = static_cast<int>(random() % 3);
    call.deadline = TimePoint(std::chrono::hours(10));
    call.attainedTokens = static_cast<std::int64_t>(random() % 100'000);
    call.promptTokens = 4000;
    call.warmReplica = "replica-" + std::to_string(random() % static_cast<std::uint64_t>(replicas));
    call.warmTokens = 3000;
    return call;
}

// Mean time of one decision, in microseconds, with `waiting` calls added in each round.
double microsecondsPerDecision(const std::string &placement, int replicas, int waiting, int rounds)
{
    PolicyRegistry &registry = PolicyRegistry::instance();
    CallSchedulerOptions options;
    options.queueLimit = 1'000'000;
    CallScheduler scheduler(options, registry.makeQueuePolicy("least-attained-service"),
                            registry.makePlacementPolicy(placement));
    scheduler.setReplicas(makeReplicas(replicas));
    std::mt19937_64 random(1);
    std::uint64_t placed = 0;
    double seconds = 0;
    for (int round = 0; round < rounds; ++round) {
        for (int i = 0; i < waiting; ++i) {
            static_cast<void>(scheduler.add(makeCall(placed + static_cast<std::uint64_t>(i), replicas, random)));
        }
        seconds += secondsOf([&] { placed += scheduler.place(TimePoint(std::chrono::hours(1))).size(); });
    }
    return seconds * 1e6 / static_cast<double>(placed);
}

double planMilliseconds(std::uint32_t partitions, int vms)
{
    ControlState state(partitions);
    std::set<VmName> usable;
    for (int i = 0; i < vms; ++i) {
        usable.insert("vm-" + std::to_string(i));
    }
    std::vector<KeeperPeer> keepers;
    for (int i = 1; i <= 5; ++i) {
        KeeperPeer &keeper = keepers.emplace_back();
        keeper.name = "k" + std::to_string(i);
        keeper.failureDomain = "domain-" + std::to_string(i % 3);
    }
    return 1e3 * secondsOf([&] { static_cast<void>(planAssignments(state, usable, keepers)); });
}

} // namespace

int main()
{
    cardamompost::bench::Bounds bounds;
    const double warmDetour = microsecondsPerDecision("warm-detour", 16, 1, decisions);
    const double leastLoad = microsecondsPerDecision("least-load", 16, 1, decisions);
    bounds.show("one decision, 16 replicas, warm-detour", warmDetour, "us");
    bounds.show("one decision, 16 replicas, least-load", leastLoad, "us");
    bounds.show("one decision, 500 replicas", microsecondsPerDecision("warm-detour", 500, 1, decisions / 10), "us");
    bounds.show("one decision, 5700 replicas", microsecondsPerDecision("warm-detour", 5700, 1, decisions / 100), "us");
    bounds.show("one decision, 16 replicas, 100 calls waiting",
                microsecondsPerDecision("warm-detour", 16, 100, decisions / 100), "us");
    bounds.show("one decision, 16 replicas, 1000 calls waiting",
                microsecondsPerDecision("warm-detour", 16, 1000, decisions / 1000), "us");
    bounds.atMost("warm-detour against least-load, 16 replicas", warmDetour / leastLoad, 4.0);
    bounds.show("owners for 1024 partitions on 350 VMs", planMilliseconds(1024, 350), "ms");
    bounds.show("owners for 1024 partitions on 9 VMs", planMilliseconds(1024, 9), "ms");
    return bounds.exitCode();
}
