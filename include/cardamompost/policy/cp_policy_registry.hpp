#ifndef CARDAMOMPOST_CP_POLICY_REGISTRY_HPP_INCLUDED
#define CARDAMOMPOST_CP_POLICY_REGISTRY_HPP_INCLUDED

#include <cardamompost/policy/cp_iplacement_policy.hpp>
#include <cardamompost/policy/cp_iqueue_policy.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamompost
{

//! Registry of the linked-in policies by name.
//! Thread-safety: filled before main() by the registration macros and read-only afterwards.
class PolicyRegistry
{
public:
    static PolicyRegistry &instance();

    template<QueuePolicy Policy>
    bool addQueuePolicy()
    {
        return queue_.emplace(Policy::policyName, [] { return std::make_unique<QueuePolicyAdaptor<Policy>>(); }).second;
    }
    template<PlacementPolicy Policy>
    bool addPlacementPolicy()
    {
        return placement_.emplace(Policy::policyName, [] { return std::make_unique<PlacementPolicyAdaptor<Policy>>(); })
            .second;
    }

    //! Null for an unknown name.
    [[nodiscard]] std::unique_ptr<IQueuePolicy> makeQueuePolicy(std::string_view name) const;
    [[nodiscard]] std::unique_ptr<IPlacementPolicy> makePlacementPolicy(std::string_view name) const;
    [[nodiscard]] std::vector<std::string> queuePolicyNames() const;
    [[nodiscard]] std::vector<std::string> placementPolicyNames() const;

private:
    std::map<std::string, std::function<std::unique_ptr<IQueuePolicy>()>, std::less<>> queue_;
    std::map<std::string, std::function<std::unique_ptr<IPlacementPolicy>()>, std::less<>> placement_;
};

} // namespace cardamompost

//! Registers a model of QueuePolicy.
#define CARDAMOMPOST_REGISTER_QUEUE_POLICY(Type)                                                                       \
    [[maybe_unused]] static const bool registered##Type                                                                \
        = ::cardamompost::PolicyRegistry::instance().addQueuePolicy<Type>()

//! Registers a model of PlacementPolicy.
#define CARDAMOMPOST_REGISTER_PLACEMENT_POLICY(Type)                                                                   \
    [[maybe_unused]] static const bool registered##Type                                                                \
        = ::cardamompost::PolicyRegistry::instance().addPlacementPolicy<Type>()

#endif // CARDAMOMPOST_CP_POLICY_REGISTRY_HPP_INCLUDED
