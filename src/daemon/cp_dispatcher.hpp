#ifndef CARDAMOMPOST_CP_DISPATCHER_HPP_INCLUDED
#define CARDAMOMPOST_CP_DISPATCHER_HPP_INCLUDED

#include "cp_control_replica.hpp"

#include <cardamompost/config/cp_settings.hpp>
#include <cardamompost/net/cp_http_client.hpp>
#include <cardamompost/observe/cp_event_log.hpp>
#include <cardamompost/observe/cp_metrics.hpp>
#include <cardamompost/policy/cp_call_scheduler.hpp>
#include <cardamompost/policy/cp_replica_health.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>

namespace cardamompost
{

//! A replica slot assigned to a call; returned with Dispatcher::release().
struct AcquiredReplica {
    Replica replica;
    std::string model;
    PlacementDecision decision;
};

//! Queues calls per deployment and assigns them to replicas, based on polled load and replica health. Thread-safe.
//! Lock order: partition slot first, then the dispatcher.
class Dispatcher
{
public:
    struct Parts {
        const Settings &settings;
        ControlReplica &replica;
        HttpClient &http;
        EventLog &log;
        MetricRegistry &metrics;
    };

    Dispatcher(boost::asio::any_io_executor executor, Parts parts);

    void start();
    void stop();

    //! Waits for a replica. Errors, all with outcome NotRun: Overloaded, DeadlineExceeded, Cancelled, and NotFound if
    //! the deployment is not in the configuration.
    boost::asio::awaitable<Result<AcquiredReplica>> acquire(std::string deployment, WaitingCall call);
    //! Completes a waiting call with Cancelled.
    void cancel(const std::string &deployment, std::uint64_t call);
    //! Frees the replica slot and updates the replica's health.
    void release(const AcquiredReplica &acquiredReplica, bool isReplicaAtFault);
    //! The error with which a new call would be rejected; empty if it would be queued.
    [[nodiscard]] std::optional<Error> refusalFor(const std::string &deployment, int rank, std::int64_t attainedTokens);

    //! Looks a replica up by name in the current configuration.
    [[nodiscard]] std::optional<Replica> findReplica(const std::string &name) const;

    struct QueueStatus {
        std::string deployment;
        std::size_t waiting = 0;
        std::vector<ReplicaView> replicas;
    };
    [[nodiscard]] std::vector<QueueStatus> status();

    [[nodiscard]] static std::uint64_t nextCallId();

private:
    struct LoadReport {
        int othersInFlight = 0;
        bool isDraining = false;
        TimePoint receivedAt {};
    };
    struct Waiter {
        std::string deployment;
        std::function<void(Result<AcquiredReplica>)> done;
    };
    struct Queue {
        std::unique_ptr<CallScheduler> scheduler;
        std::string queuePolicy;
        std::string placementPolicy;
        EngineSpeed speed;
        std::string model;
        std::map<std::string, Replica> replicas;
        TimePoint lastUse {};
    };
    using Completions = std::vector<std::pair<std::function<void(Result<AcquiredReplica>)>, Result<AcquiredReplica>>>;

    void scheduleTick();
    void tick();
    //! refreshQueue() and dispatchQueue() require the lock.
    Queue *refreshQueue(const Deployment &deployment, TimePoint now);
    void dispatchQueue(const std::string &name, Queue &queue, TimePoint now, Completions &completions);
    void complete(Completions &completions);
    boost::asio::awaitable<void> pollLoads();
    boost::asio::awaitable<void> pollLoad(Replica replica);
    [[nodiscard]] std::vector<Replica> subsetOf(const Deployment &deployment) const;
    [[nodiscard]] bool isInUse(const std::string &deployment);
    void countPlacement(const PlacementDecision &decision);

    boost::asio::any_io_executor executor_;
    Parts parts_;
    boost::asio::steady_timer timer_;
    std::mutex mutex_;
    std::map<std::string, Queue> queues_;
    std::map<std::uint64_t, Waiter> waiters_;
    std::map<std::string, LoadReport> reports_;
    ReplicaHealth health_;
    std::atomic<bool> isStopped_ {false};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_DISPATCHER_HPP_INCLUDED
