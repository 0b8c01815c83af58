#ifndef CARDAMOMPOST_CP_IPLACEMENT_POLICY_HPP_INCLUDED
#define CARDAMOMPOST_CP_IPLACEMENT_POLICY_HPP_INCLUDED

#include <cardamompost/policy/cp_policy_types.hpp>

#include <concepts>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace cardamompost
{

//! Input of a placement decision.
struct PlacementInput {
    const WaitingCall &call;
    const std::vector<ReplicaView> &replicas;
    const EngineSpeed &speed;
    TimePoint now;
    std::mt19937_64 &random;
};

//! Chooses a replica with a free slot for a call.
template<typename T>
concept PlacementPolicy = requires(T &policy, const PlacementInput &input)
{
    {
        T::policyName
        } -> std::convertible_to<std::string_view>;
    //! Index of the replica; empty if the call should keep waiting.
    {
        policy.choose(input)
        } -> std::same_as<std::optional<std::size_t>>;
};

//! Placement policy that is selected by name at run time.
class IPlacementPolicy
{
public:
    virtual ~IPlacementPolicy() = default;

    [[nodiscard]] virtual std::optional<std::size_t> choose(const PlacementInput &input) = 0;
};

//! Adapts a model of PlacementPolicy to the run-time interface.
template<PlacementPolicy Policy>
class PlacementPolicyAdaptor : public IPlacementPolicy
{
public:
    [[nodiscard]] std::optional<std::size_t> choose(const PlacementInput &input) override
    {
        return policy_.choose(input);
    }

private:
    Policy policy_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_IPLACEMENT_POLICY_HPP_INCLUDED
