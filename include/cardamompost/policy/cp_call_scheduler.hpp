#ifndef CARDAMOMPOST_CP_CALL_SCHEDULER_HPP_INCLUDED
#define CARDAMOMPOST_CP_CALL_SCHEDULER_HPP_INCLUDED

#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/policy/cp_iplacement_policy.hpp>
#include <cardamompost/policy/cp_iqueue_policy.hpp>

#include <map>
#include <memory>
#include <vector>

namespace cardamompost
{

//! Limits of one deployment's call queue.
struct CallSchedulerOptions {
    std::size_t queueLimit = 1024;
    //! After this many placements by rank, the oldest waiting call is placed next, so that low ranks do not starve.
    int placementsPerOldest = 20;
    //! Minimum wait before a call counts as the oldest.
    Milliseconds oldestMinWait {5000};
    std::uint64_t seed = 0;
};

//! The replica chosen for a call.
struct PlacementDecision {
    std::uint64_t call = 0;
    std::string replica;
    std::string workClass;
    Milliseconds waited {0};
    bool isWarm = false;
    //! Placed ahead of its rank as the oldest waiting call.
    bool isOldest = false;
};

//! A call removed from the queue without being placed.
struct DroppedCall {
    std::uint64_t call = 0;
    Error error;
};

//! Priority queue of one deployment's calls, and their placement on replicas.
//! Thread-safety: none; the owner's scheduler lock guards it.
class CallScheduler
{
public:
    CallScheduler(CallSchedulerOptions options, std::unique_ptr<IQueuePolicy> queuePolicy,
                  std::unique_ptr<IPlacementPolicy> placementPolicy);

    //! Queues a call. Errors: Overloaded when the queue is full and no queued call may be shed for this one.
    Result<void> add(WaitingCall call);
    //! The error that add() would return; empty if the call would be queued.
    [[nodiscard]] std::optional<Error> refusalFor(const WaitingCall &call);
    //! Returns false if the call is not queued.
    bool remove(std::uint64_t call);
    //! Replaces the replicas; in-flight counts of this process are kept by replica name.
    void setReplicas(std::vector<ReplicaView> replicas);
    void setQueueLimit(std::size_t limit)
    {
        options_.queueLimit = limit;
    }
    //! Call when a placed call has finished on the replica.
    void onFinished(const std::string &replica);
    void setSpeed(EngineSpeed speed)
    {
        speed_ = speed;
    }

    //! Places as many waiting calls as replicas have free slots for.
    [[nodiscard]] std::vector<PlacementDecision> place(TimePoint now);
    //! Removes and returns the calls past their deadline, and returns those shed since the previous takeDropped().
    [[nodiscard]] std::vector<DroppedCall> takeDropped(TimePoint now);

    [[nodiscard]] std::size_t waiting() const
    {
        return waiting_.size();
    }
    [[nodiscard]] const std::vector<ReplicaView> &replicas() const
    {
        return replicas_;
    }
    //! Estimated queueing time of a new call, used for retry hints.
    [[nodiscard]] Milliseconds expectedWait() const;

private:
    [[nodiscard]] std::vector<std::size_t> schedulingOrder(TimePoint now) const;
    [[nodiscard]] bool placeOne(std::size_t position, TimePoint now, bool isOldest,
                                std::vector<PlacementDecision> &decisions);
    bool placeOldest(TimePoint now, std::vector<PlacementDecision> &decisions);
    [[nodiscard]] bool hasAnyFreeSlot() const;
    //! The waiting call to shed to make room for `call`; end() if `call` itself would be shed before all of them.
    [[nodiscard]] std::vector<WaitingCall>::iterator findShedCandidate(const WaitingCall &call);
    [[nodiscard]] Error overloadError(const std::string &text) const;

    CallSchedulerOptions options_;
    std::unique_ptr<IQueuePolicy> queuePolicy_;
    std::unique_ptr<IPlacementPolicy> placementPolicy_;
    std::vector<WaitingCall> waiting_;
    std::vector<ReplicaView> replicas_;
    std::vector<DroppedCall> dropped_;
    EngineSpeed speed_;
    std::mt19937_64 random_;
    int placementsSinceOldest_ = 0;
    double assumedServiceMs_ = 1000.0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CALL_SCHEDULER_HPP_INCLUDED
