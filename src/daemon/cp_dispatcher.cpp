#include "cp_dispatcher.hpp"

#include <cardamompost/config/cp_settings.hpp>
#include <cardamompost/net/cp_await.hpp>
#include <cardamompost/policy/cp_policy_registry.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds tickInterval {20};
constexpr Milliseconds pollInterval {250};
constexpr Milliseconds pollTimeout {1000};
// Replicas of a deployment are polled only for this long after its last call on this VM.
constexpr Milliseconds pollIdleTimeout {30'000};
// Older reports are ignored; only this VM's own calls then count as load.
constexpr Milliseconds maxReportAge {5000};
// Maximum number of replicas per deployment that a VM uses, which bounds its polling. They are chosen by rendezvous
// hashing with the VM's name, so that VMs use different subsets.
constexpr std::size_t subsetSize = 16;

TimePoint timeNow()
{
    return std::chrono::steady_clock::now();
}

Error notRun(ErrorKind kind, std::string text)
{
    Error error = makeError(kind, std::move(text));
    error.outcome = Outcome::NotRun;
    return error;
}

} // namespace

Dispatcher::Dispatcher(asio::any_io_executor executor, Parts parts)
    : executor_(executor)
    , parts_(parts)
    , timer_(asio::make_strand(executor))
{
}

std::uint64_t Dispatcher::nextCallId()
{
    static std::atomic<std::uint64_t> next {1};
    return next.fetch_add(1);
}

void Dispatcher::start()
{
    scheduleTick();
    asio::co_spawn(asio::make_strand(executor_), pollLoads(), asio::detached);
}

void Dispatcher::stop()
{
    isStopped_ = true;
}

void Dispatcher::scheduleTick()
{
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error && !isStopped_) {
            tick();
            scheduleTick();
        }
    });
}

void Dispatcher::tick()
{
    Completions completions;
    const auto view = parts_.replica.view();
    const TimePoint now = timeNow();
    {
        const std::lock_guard lock(mutex_);
        for (auto &[name, queue] : queues_) {
            const Deployment *deployment = view->configuration.findDeployment(name);
            if (deployment != nullptr) {
                refreshQueue(*deployment, now);
            }
            dispatchQueue(name, queue, now, completions);
        }
    }
    complete(completions);
}

std::vector<Replica> Dispatcher::subsetOf(const Deployment &deployment) const
{
    std::vector<Replica> subset = deployment.replicas;
    if (subset.size() > subsetSize) {
        const auto weight
            = [&](const Replica &replica) { return stableHash(replica.name, stableHash(parts_.settings.vm)); };
        std::sort(subset.begin(), subset.end(),
                  [&](const Replica &a, const Replica &b) { return weight(a) > weight(b); });
        subset.resize(subsetSize);
    }
    return subset;
}

Dispatcher::Queue *Dispatcher::refreshQueue(const Deployment &deployment, TimePoint now)
{
    Queue &queue = queues_[deployment.name];
    if (!queue.scheduler || queue.queuePolicy != deployment.queuePolicy
        || queue.placementPolicy != deployment.placementPolicy) {
        // A changed policy takes effect when the queue is empty, so that no waiting calls are lost.
        if (queue.scheduler && queue.scheduler->waiting() > 0) {
            return &queue;
        }
        auto queuePolicy = PolicyRegistry::instance().makeQueuePolicy(deployment.queuePolicy);
        auto placementPolicy = PolicyRegistry::instance().makePlacementPolicy(deployment.placementPolicy);
        CallSchedulerOptions options;
        options.seed = stableHash(parts_.settings.vm);
        auto scheduler = std::make_unique<CallScheduler>(options, std::move(queuePolicy), std::move(placementPolicy));
        if (queue.scheduler) {
            scheduler->setReplicas(queue.scheduler->replicas());
        }
        queue.scheduler = std::move(scheduler);
        queue.queuePolicy = deployment.queuePolicy;
        queue.placementPolicy = deployment.placementPolicy;
    }
    queue.model = deployment.model;
    queue.replicas.clear();
    std::vector<ReplicaView> views;
    for (const Replica &replica : subsetOf(deployment)) {
        ReplicaView view {replica.name, replica.failureDomain, replica.slots};
        const auto report = reports_.find(replica.name);
        if (report != reports_.end() && now - report->second.receivedAt < maxReportAge) {
            view.othersInFlight = report->second.othersInFlight;
            view.isClosed = report->second.isDraining;
        }
        view.isClosed = view.isClosed || health_.isEjected(replica.name, deployment.replicas.size(), now);
        view.usableSlotShare = health_.usableSlotShare(replica.name, now);
        views.push_back(std::move(view));
        queue.replicas.emplace(replica.name, replica);
    }
    queue.scheduler->setReplicas(std::move(views));
    queue.scheduler->setQueueLimit(static_cast<std::size_t>(deployment.queueLimit));
    queue.scheduler->setSpeed(queue.speed);
    return &queue;
}

void Dispatcher::countPlacement(const PlacementDecision &decision)
{
    const MetricLabels labels {{"class", decision.workClass}};
    parts_.metrics.histogram("cardamompost_queue_wait_seconds", labels)
        .observe(std::chrono::duration<double>(decision.waited).count());
    const std::string how = decision.isOldest ? "oldest" : decision.isWarm ? "warm" : "cold";
    parts_.metrics.counter("cardamompost_placements_total", {{"class", decision.workClass}, {"how", how}}).add();
}

void Dispatcher::dispatchQueue(const std::string & /*name*/, Queue &queue, TimePoint now, Completions &completions)
{
    for (PlacementDecision &decision : queue.scheduler->place(now)) {
        auto waiter = waiters_.extract(decision.call);
        countPlacement(decision);
        AcquiredReplica acquiredReplica {queue.replicas.at(decision.replica), queue.model, std::move(decision)};
        if (waiter.empty()) {
            queue.scheduler->onFinished(acquiredReplica.replica.name);
            continue;
        }
        completions.emplace_back(std::move(waiter.mapped().done), std::move(acquiredReplica));
    }
    for (DroppedCall &dropped : queue.scheduler->takeDropped(now)) {
        auto waiter = waiters_.extract(dropped.call);
        if (!waiter.empty()) {
            completions.emplace_back(std::move(waiter.mapped().done), std::move(dropped.error));
        }
    }
}

void Dispatcher::complete(Completions &completions)
{
    for (auto &[done, result] : completions) {
        done(std::move(result));
    }
}

asio::awaitable<Result<AcquiredReplica>> Dispatcher::acquire(std::string deployment, WaitingCall call)
{
    auto begin = [this, deployment = std::move(deployment),
                  call = std::move(call)](std::function<void(Result<AcquiredReplica>)> done) {
        Completions completions;
        const auto view = parts_.replica.view();
        const TimePoint now = timeNow();
        {
            const std::lock_guard lock(mutex_);
            const Deployment *declared = view->configuration.findDeployment(deployment);
            if (declared == nullptr) {
                completions.emplace_back(
                    std::move(done),
                    notRun(ErrorKind::NotFound, "deployment '" + deployment + "' is no longer declared"));
            } else {
                Queue &queue = *refreshQueue(*declared, now);
                queue.lastUse = now;
                const Result<void> added = queue.scheduler->add(call);
                if (added) {
                    waiters_.emplace(call.id, Waiter {deployment, std::move(done)});
                    dispatchQueue(deployment, queue, now, completions);
                } else {
                    completions.emplace_back(std::move(done), added.error());
                }
            }
        }
        complete(completions);
    };
    return awaitCallback<Result<AcquiredReplica>>(std::move(begin));
}

void Dispatcher::cancel(const std::string &deployment, std::uint64_t call)
{
    Completions completions;
    {
        const std::lock_guard lock(mutex_);
        const auto queue = queues_.find(deployment);
        auto waiter = waiters_.extract(call);
        if (queue != queues_.end() && !waiter.empty()) {
            queue->second.scheduler->remove(call);
            completions.emplace_back(std::move(waiter.mapped().done),
                                     notRun(ErrorKind::Cancelled, "the program was ended"));
        }
    }
    complete(completions);
}

void Dispatcher::release(const AcquiredReplica &acquiredReplica, bool isReplicaAtFault)
{
    Completions completions;
    const TimePoint now = timeNow();
    {
        const std::lock_guard lock(mutex_);
        if (isReplicaAtFault) {
            health_.onFailure(acquiredReplica.replica.name, now);
        } else {
            health_.onSuccess(acquiredReplica.replica.name, now);
        }
        const auto queue = queues_.find(acquiredReplica.replica.deployment);
        if (queue != queues_.end()) {
            queue->second.scheduler->onFinished(acquiredReplica.replica.name);
            dispatchQueue(queue->first, queue->second, now, completions);
        }
    }
    complete(completions);
}

std::optional<Error> Dispatcher::refusalFor(const std::string &deployment, int rank, std::int64_t attainedTokens)
{
    const std::lock_guard lock(mutex_);
    const auto queue = queues_.find(deployment);
    if (queue == queues_.end()) {
        return std::nullopt;
    }
    WaitingCall call;
    call.rank = rank;
    call.attainedTokens = attainedTokens;
    call.arrived = timeNow();
    return queue->second.scheduler->refusalFor(call);
}

std::optional<Replica> Dispatcher::findReplica(const std::string &name) const
{
    const auto view = parts_.replica.view();
    for (const auto &[deploymentName, deployment] : view->configuration.deployments()) {
        for (const Replica &replica : deployment.replicas) {
            if (replica.name == name) {
                return replica;
            }
        }
    }
    return std::nullopt;
}

std::vector<Dispatcher::QueueStatus> Dispatcher::status()
{
    const std::lock_guard lock(mutex_);
    std::vector<QueueStatus> all;
    for (const auto &[name, queue] : queues_) {
        all.push_back({name, queue.scheduler->waiting(), queue.scheduler->replicas()});
    }
    return all;
}

asio::awaitable<void> Dispatcher::pollLoads()
{
    while (!isStopped_) {
        const auto view = parts_.replica.view();
        for (const auto &[name, deployment] : view->configuration.deployments()) {
            if (!isInUse(name)) {
                continue;
            }
            for (const Replica &replica : subsetOf(deployment)) {
                asio::co_spawn(co_await asio::this_coro::executor, pollLoad(replica), asio::detached);
            }
        }
        co_await sleepFor(pollInterval);
    }
}

bool Dispatcher::isInUse(const std::string &deployment)
{
    const std::lock_guard lock(mutex_);
    const auto queue = queues_.find(deployment);
    return queue != queues_.end() && timeNow() - queue->second.lastUse < pollIdleTimeout;
}

asio::awaitable<void> Dispatcher::pollLoad(Replica replica)
{
    HttpCall call;
    call.address = replica.address;
    call.target = "/v1/load";
    call.timeout = pollTimeout;
    const Result<HttpResponse> answer = co_await parts_.http.request(std::move(call));
    const std::lock_guard lock(mutex_);
    if (!answer || answer.value().status != 200) {
        health_.onFailure(replica.name, timeNow());
        co_return;
    }
    boost::system::error_code error;
    const boost::json::value report = boost::json::parse(answer.value().body, error);
    const boost::json::object *fields = report.if_object();
    if (error || fields == nullptr) {
        co_return;
    }
    const auto number = [&](std::string_view key) {
        const boost::json::value *value = fields->if_contains(key);
        return value != nullptr && value->is_int64() ? static_cast<int>(value->as_int64()) : 0;
    };
    const boost::json::value *leaving = fields->if_contains("leaving");
    int own = 0;
    const auto queue = queues_.find(replica.deployment);
    if (queue != queues_.end()) {
        for (const ReplicaView &view : queue->second.scheduler->replicas()) {
            own += view.name == replica.name ? view.ownInFlight : 0;
        }
    }
    // The report includes this VM's own calls.
    const int others = std::max(0, number("running") + number("waiting") - own);
    // A load report does not count as a success in the replica's health, since the replica may still fail calls.
    reports_[replica.name] = {others, leaving != nullptr && leaving->is_bool() && leaving->as_bool(), timeNow()};
}

} // namespace cardamompost
