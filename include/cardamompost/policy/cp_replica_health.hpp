#ifndef CARDAMOMPOST_CP_REPLICA_HEALTH_HPP_INCLUDED
#define CARDAMOMPOST_CP_REPLICA_HEALTH_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <map>
#include <string>

namespace cardamompost
{

//! Outlier ejection: removes failing replicas for a growing time and brings them back by slow start.
//!
//! Source: outlier ejection and slow start as documented for Envoy.
//! Thread-safety: none; the caller holds a lock.
class ReplicaHealth
{
public:
    void onSuccess(const std::string &replica, TimePoint now);
    void onFailure(const std::string &replica, TimePoint now);

    //! \param replicaCount  replicas of the deployment; at most half of them are ejected at once, since widespread
    //! failures point to a local cause
    [[nodiscard]] bool isEjected(const std::string &replica, std::size_t replicaCount, TimePoint now) const;
    //! Share of the replica's slots that may be used, 0 to 1; below 1 during slow start.
    [[nodiscard]] double usableSlotShare(const std::string &replica, TimePoint now) const;

private:
    struct State {
        //! Consecutive failures since the last success or ejection.
        int failures = 0;
        int ejections = 0;
        TimePoint ejectedUntil {};
        bool wasEjected = false;
    };

    std::map<std::string, State> states_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_REPLICA_HEALTH_HPP_INCLUDED
