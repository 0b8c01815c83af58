#ifndef CARDAMOMPOST_CP_IQUEUE_POLICY_HPP_INCLUDED
#define CARDAMOMPOST_CP_IQUEUE_POLICY_HPP_INCLUDED

#include <cardamompost/policy/cp_policy_types.hpp>

#include <concepts>
#include <string_view>

namespace cardamompost
{

//! Orders the waiting calls of one deployment.
template<typename T>
concept QueuePolicy = requires(const T &policy, const WaitingCall &call, TimePoint now)
{
    {
        T::policyName
        } -> std::convertible_to<std::string_view>;
    //! Whether lower rank numbers always go first.
    {
        T::usesRanks
        } -> std::convertible_to<bool>;
    //! Calls with a lower value go first.
    {
        policy.score(call, now)
        } -> std::same_as<double>;
};

//! Queue policy that is selected by name at run time.
class IQueuePolicy
{
public:
    virtual ~IQueuePolicy() = default;

    [[nodiscard]] virtual bool usesRanks() const = 0;
    [[nodiscard]] virtual double score(const WaitingCall &call, TimePoint now) const = 0;
};

//! Adapts a model of QueuePolicy to the run-time interface.
template<QueuePolicy Policy>
class QueuePolicyAdaptor : public IQueuePolicy
{
public:
    [[nodiscard]] bool usesRanks() const override
    {
        return Policy::usesRanks;
    }
    [[nodiscard]] double score(const WaitingCall &call, TimePoint now) const override
    {
        return policy_.score(call, now);
    }

private:
    Policy policy_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_IQUEUE_POLICY_HPP_INCLUDED
