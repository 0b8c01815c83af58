// Embeds the call scheduler in an application, without a daemon, threads or sockets. The application passes in the
// time.

#include <cardamompost/policy/cp_call_scheduler.hpp>
#include <cardamompost/policy/cp_policy_registry.hpp>

#include <iostream>

namespace
{

using namespace cardamompost;

//! Custom queue policy that prefers short answers. The macro below registers it under `policyName`.
struct ShortestAnswer {
    static constexpr std::string_view policyName = "shortest-answer";
    static constexpr bool usesRanks = true;

    [[nodiscard]] double score(const WaitingCall &call, TimePoint /*now*/) const
    {
        return static_cast<double>(call.maxTokens);
    }
};

CARDAMOMPOST_REGISTER_QUEUE_POLICY(ShortestAnswer);

WaitingCall makeCall(std::uint64_t id, int rank, std::int64_t maxTokens, TimePoint now)
{
    WaitingCall call;
    call.id = id;
    call.workClass = rank == 0 ? "plan-session" : "trim-check";
    call.rank = rank;
    call.arrived = now;
    call.deadline = now + std::chrono::minutes(1);
    call.maxTokens = maxTokens;
    return call;
}

} // namespace

int main()
{
    const PolicyRegistry &registry = PolicyRegistry::instance();
    CallScheduler scheduler({}, registry.makeQueuePolicy("shortest-answer"),
                            registry.makePlacementPolicy("warm-detour"));
    scheduler.setReplicas({{"replica-a", "apapa", 1}, {"replica-b", "tincan", 1}});

    const TimePoint now = SteadyClock {}.now();
    for (const WaitingCall &call : {makeCall(1, 1, 50, now), makeCall(2, 0, 400, now), makeCall(3, 0, 20, now)}) {
        const Result<void> added = scheduler.add(call);
        if (!added) {
            std::cerr << added.error().message << "\n";
            return 1;
        }
    }
    for (const PlacementDecision &decision : scheduler.place(now)) {
        std::cout << "call " << decision.call << " goes to " << decision.replica << "\n";
    }
    std::cout << scheduler.waiting() << " call waits\n";
    return scheduler.waiting() == 1 ? 0 : 1;
}
