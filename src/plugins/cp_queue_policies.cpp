#include <cardamompost/policy/cp_policy_registry.hpp>

namespace cardamompost
{

namespace
{

double secondsSince(TimePoint since, TimePoint now)
{
    return std::chrono::duration<double>(now - since).count();
}

//! Baseline: arrival order, regardless of rank.
struct FirstComeFirstServed {
    static constexpr std::string_view policyName = "first-come-first-served";
    static constexpr bool usesRanks = false;

    [[nodiscard]] double score(const WaitingCall &call, TimePoint now) const
    {
        return -secondsSince(call.arrived, now);
    }
};

//! Within a rank, programs with the least attained service go first; waiting time offsets service.
//!
//! Needs no estimate of a program's remaining calls: short programs do not wait for long ones, and ageing bounds the
//! wait of long ones.
//! Source: least-attained-service scheduling (Nuyens and Wierman, 2008), applied to whole programs.
struct LeastAttainedService {
    static constexpr std::string_view policyName = "least-attained-service";
    static constexpr bool usesRanks = true;
    static constexpr double tokensPerSecondWaited = 2000.0;

    [[nodiscard]] double score(const WaitingCall &call, TimePoint now) const
    {
        return static_cast<double>(call.attainedTokens) - tokensPerSecondWaited * secondsSince(call.arrived, now);
    }
};

//! Within a rank, arrival order.
struct RankedArrival {
    static constexpr std::string_view policyName = "ranked-arrival";
    static constexpr bool usesRanks = true;

    [[nodiscard]] double score(const WaitingCall &call, TimePoint now) const
    {
        return -secondsSince(call.arrived, now);
    }
};

CARDAMOMPOST_REGISTER_QUEUE_POLICY(FirstComeFirstServed);
CARDAMOMPOST_REGISTER_QUEUE_POLICY(LeastAttainedService);
CARDAMOMPOST_REGISTER_QUEUE_POLICY(RankedArrival);

} // namespace

} // namespace cardamompost
