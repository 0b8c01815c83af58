#include <cardamompost/policy/cp_policy_registry.hpp>

namespace cardamompost
{

namespace
{

template<typename Map>
auto makeFrom(const Map &factories, std::string_view name) -> decltype(factories.begin()->second())
{
    const auto found = factories.find(name);
    return found == factories.end() ? nullptr : found->second();
}

template<typename Map>
std::vector<std::string> namesOf(const Map &factories)
{
    std::vector<std::string> names;
    names.reserve(factories.size());
    for (const auto &[name, factory] : factories) {
        names.push_back(name);
    }
    return names;
}

} // namespace

PolicyRegistry &PolicyRegistry::instance()
{
    static PolicyRegistry registry;
    return registry;
}

std::unique_ptr<IQueuePolicy> PolicyRegistry::makeQueuePolicy(std::string_view name) const
{
    return makeFrom(queue_, name);
}

std::unique_ptr<IPlacementPolicy> PolicyRegistry::makePlacementPolicy(std::string_view name) const
{
    return makeFrom(placement_, name);
}

std::vector<std::string> PolicyRegistry::queuePolicyNames() const
{
    return namesOf(queue_);
}

std::vector<std::string> PolicyRegistry::placementPolicyNames() const
{
    return namesOf(placement_);
}

} // namespace cardamompost
