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
// A VM without calls for a deployment does not ask its replicas for their load.
constexpr Milliseconds pollAfterUse {30'000};
// A report older than this says nothing any more; the replica counts as idle but for this VM's own calls.
constexpr Milliseconds reportLife {5000};
// Replicas of one deployment that one VM uses. Subsets of different VMs overlap, so no replica is left out, and
// what a VM polls does not grow with the deployment.
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
    Ready ready;
    const auto view = parts_.replica.view();
    const TimePoint now = timeNow();
    {
        const std::lock_guard lock(mutex_);
        for (auto &[name, queue] : queues_) {
            const Deployment *deployment = view->configuration.findDeployment(name);
            if (deployment != nullptr) {
                refreshQueue(*deployment, now);
            }
            run(name, queue, now, ready);
        }
    }
    finish(ready);
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
        // Calls that wait keep their old scheduler until it is empty; a change of policy is no reason to lose them.
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
        if (report != reports_.end() && now - report->second.at < reportLife) {
            view.othersInFlight = report->second.othersInFlight;
            view.isClosed = report->second.isLeaving;
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

void Dispatcher::run(const std::string & /*name*/, Queue &queue, TimePoint now, Ready &ready)
{
    for (PlacementDecision &decision : queue.scheduler->place(now)) {
        auto waiter = waiters_.extract(decision.call);
        countPlacement(decision);
        Placed placed {queue.replicas.at(decision.replica), queue.model, std::move(decision)};
        if (waiter.empty()) {
            queue.scheduler->onFinished(placed.replica.name);
            continue;
        }
        ready.emplace_back(std::move(waiter.mapped().done), std::move(placed));
    }
    for (DroppedCall &dropped : queue.scheduler->takeDropped(now)) {
        auto waiter = waiters_.extract(dropped.call);
        if (!waiter.empty()) {
            ready.emplace_back(std::move(waiter.mapped().done), std::move(dropped.error));
        }
    }
}

void Dispatcher::finish(Ready &ready)
{
    for (auto &[done, result] : ready) {
        done(std::move(result));
    }
}

asio::awaitable<Result<Placed>> Dispatcher::acquire(std::string deployment, WaitingCall call)
{
    auto begin
        = [this, deployment = std::move(deployment), call = std::move(call)](std::function<void(Result<Placed>)> done) {
              Ready ready;
              const auto view = parts_.replica.view();
              const TimePoint now = timeNow();
              {
                  const std::lock_guard lock(mutex_);
                  const Deployment *declared = view->configuration.findDeployment(deployment);
                  if (declared == nullptr) {
                      ready.emplace_back(
                          std::move(done),
                          notRun(ErrorKind::NotFound, "deployment '" + deployment + "' is not declared any more"));
                  } else {
                      Queue &queue = *refreshQueue(*declared, now);
                      queue.lastUse = now;
                      const Result<void> added = queue.scheduler->add(call);
                      if (added) {
                          waiters_.emplace(call.id, Waiter {deployment, std::move(done)});
                          run(deployment, queue, now, ready);
                      } else {
                          ready.emplace_back(std::move(done), added.error());
                      }
                  }
              }
              finish(ready);
          };
    return awaitCallback<Result<Placed>>(std::move(begin));
}

void Dispatcher::cancel(const std::string &deployment, std::uint64_t call)
{
    Ready ready;
    {
        const std::lock_guard lock(mutex_);
        const auto queue = queues_.find(deployment);
        auto waiter = waiters_.extract(call);
        if (queue != queues_.end() && !waiter.empty()) {
            queue->second.scheduler->remove(call);
            ready.emplace_back(std::move(waiter.mapped().done), notRun(ErrorKind::Cancelled, "the program was ended"));
        }
    }
    finish(ready);
}

void Dispatcher::release(const Placed &placed, bool isReplicaAtFault)
{
    Ready ready;
    const TimePoint now = timeNow();
    {
        const std::lock_guard lock(mutex_);
        if (isReplicaAtFault) {
            health_.onFailure(placed.replica.name, now);
        } else {
            health_.onSuccess(placed.replica.name, now);
        }
        const auto queue = queues_.find(placed.replica.deployment);
        if (queue != queues_.end()) {
            queue->second.scheduler->onFinished(placed.replica.name);
            run(queue->first, queue->second, now, ready);
        }
    }
    finish(ready);
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
                asio::co_spawn(co_await asio::this_coro::executor, pollOne(replica), asio::detached);
            }
        }
        co_await sleepFor(pollInterval);
    }
}

bool Dispatcher::isInUse(const std::string &deployment)
{
    const std::lock_guard lock(mutex_);
    const auto queue = queues_.find(deployment);
    return queue != queues_.end() && timeNow() - queue->second.lastUse < pollAfterUse;
}

asio::awaitable<void> Dispatcher::pollOne(Replica replica)
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
    // The report counts this VM's calls too; only what is above them belongs to others.
    const int others = std::max(0, number("running") + number("waiting") - own);
    // A replica that answers this may still fail calls, so it does not count as a success.
    reports_[replica.name] = {others, leaving != nullptr && leaving->is_bool() && leaving->as_bool(), timeNow()};
}

} // namespace cardamompost
