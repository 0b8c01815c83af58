#include "cp_control_client.hpp"

#include "cp_control_times.hpp"

#include <cardamompost/net/cp_await.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds requestTimeout {800};
constexpr Milliseconds proposeTimeout {2500};
constexpr Milliseconds retryPause {60};
constexpr Milliseconds pullWait {2000};
constexpr Milliseconds pullTimeoutMargin {1000};
// The holder uses only this fraction of the granted lease, to tolerate clock drift.
constexpr double leaseSafetyFactor = 0.9;

TimePoint timeNow()
{
    return std::chrono::steady_clock::now();
}

Error notReady(std::string text)
{
    Error error = makeError(ErrorKind::NotReady, std::move(text));
    error.retryAfter = Milliseconds(500);
    return error;
}

} // namespace

ControlClient::ControlClient(asio::any_io_executor executor, Parts parts, std::function<std::uint32_t()> countPrograms)
    : executor_(std::move(executor))
    , parts_(parts)
    , countPrograms_(std::move(countPrograms))
    , bootId_(randomIdentity())
{
}

void ControlClient::start()
{
    asio::co_spawn(executor_, renewLease(), asio::detached);
    if (parts_.runner == nullptr) {
        asio::co_spawn(executor_, pullEntries(), asio::detached);
    }
}

void ControlClient::stop()
{
    isStopped_ = true;
}

VmRecord ControlClient::ownRecord() const
{
    const Settings &settings = parts_.settings;
    return {settings.vm,       bootId_,      settings.http, settings.peer, settings.failureDomain,
            settings.isKeeper, VmState::Live};
}

bool ControlClient::hasLease() const
{
    const std::uint64_t version = parts_.replica.view()->state.configurationVersion();
    const std::lock_guard lock(mutex_);
    return timeNow() < leaseUntil_ && version >= requiredConfigurationVersion_;
}

bool ControlClient::isConfigurationCurrent() const
{
    const std::uint64_t version = parts_.replica.view()->state.configurationVersion();
    const std::lock_guard lock(mutex_);
    return timeNow() < configurationCurrentUntil_ && version >= requiredConfigurationVersion_;
}

bool ControlClient::isLeaving() const
{
    const auto view = parts_.replica.view();
    const VmRecord *own = view->state.findVm(parts_.settings.vm);
    return own != nullptr && own->bootId == bootId_ && own->state == VmState::Leaving;
}

VmName ControlClient::leaderCandidate() const
{
    const std::lock_guard lock(mutex_);
    return leaderHint_.empty() ? parts_.settings.keepers[nextKeeper_ % parts_.settings.keepers.size()].name
                               : leaderHint_;
}

void ControlClient::updateLeaderHint(const VmName &asked, const VmName &leader)
{
    const std::lock_guard lock(mutex_);
    // A keeper that refuses while naming itself as leader is not retried at once; the next keeper is asked.
    leaderHint_ = leader == asked ? VmName {} : leader;
    ++nextKeeper_;
}

asio::awaitable<Result<LeaseReply>> ControlClient::requestLease(const VmName &keeper, LeaseRequest request)
{
    if (parts_.runner != nullptr && keeper == parts_.settings.vm) {
        auto start = [this, request = std::move(request)](std::function<void(LeaseReply)> done) {
            parts_.runner->onLease(request, std::move(done));
        };
        co_return co_await awaitCallback<LeaseReply>(std::move(start));
    }
    const auto client = parts_.hub.client(keeper);
    FrameBody body = std::move(request);
    Result<FrameBody> reply = co_await client->call(std::move(body), requestTimeout);
    if (!reply) {
        co_return reply.error();
    }
    if (auto *lease = std::get_if<LeaseReply>(&reply.value())) {
        co_return std::move(*lease);
    }
    co_return makeError(ErrorKind::Internal, "unexpected reply to a lease request");
}

void ControlClient::onLeaseReply(TimePoint sentAt, const LeaseReply &reply)
{
    const std::lock_guard lock(mutex_);
    const auto usableDuration
        = std::chrono::duration_cast<Milliseconds>(Milliseconds(reply.durationMs) * leaseSafetyFactor);
    leaseUntil_ = std::max(leaseUntil_, sentAt + usableDuration);
    configurationCurrentUntil_ = std::max(configurationCurrentUntil_, sentAt + maxConfigurationStaleness);
    requiredConfigurationVersion_ = std::max(requiredConfigurationVersion_, reply.configurationVersion);
    leaderIndex_ = std::max(leaderIndex_, reply.minIndex);
    leaderHint_ = reply.leader;
}

asio::awaitable<void> ControlClient::renewLease()
{
    while (!isStopped_) {
        const VmName keeper = leaderCandidate();
        const auto view = parts_.replica.view();
        LeaseRequest request {ownRecord(), view->index, view->state.configurationVersion(), countPrograms_()};
        const TimePoint sentAt = timeNow();
        const Result<LeaseReply> reply = co_await requestLease(keeper, std::move(request));
        const bool isGranted = reply && reply.value().granted;
        if (isGranted) {
            onLeaseReply(sentAt, reply.value());
        } else {
            updateLeaderHint(keeper, reply ? reply.value().leader : VmName {});
        }
        co_await sleepFor(isGranted ? leaseRenewalInterval : retryPause);
    }
}

asio::awaitable<void> ControlClient::pullEntries()
{
    std::size_t keeperIndex = stableHash(parts_.settings.vm);
    while (!isStopped_) {
        const auto client
            = parts_.hub.client(parts_.settings.keepers[keeperIndex % parts_.settings.keepers.size()].name);
        FrameBody request = PullRequest {parts_.replica.view()->index, static_cast<std::uint32_t>(pullWait.count())};
        const Result<FrameBody> reply = co_await client->call(std::move(request), pullWait + pullTimeoutMargin);
        const PullReply *pulled = reply ? std::get_if<PullReply>(&reply.value()) : nullptr;
        if (pulled == nullptr) {
            ++keeperIndex;
            co_await sleepFor(retryPause);
            continue;
        }
        if (pulled->snapshotIndex != 0) {
            const Result<void> restored = parts_.replica.restore(pulled->snapshotIndex, pulled->snapshot);
            keeperIndex += restored ? 0 : 1;
        } else if (!pulled->entries.empty()) {
            parts_.replica.apply(pulled->entries);
        } else {
            // A keeper that returns no entries may be partitioned from the leader; the next one is asked.
            ++keeperIndex;
        }
    }
}

asio::awaitable<Result<ProposeReply>> ControlClient::proposeAt(const VmName &keeper, std::string command)
{
    if (parts_.runner != nullptr && keeper == parts_.settings.vm) {
        auto start = [this, command = std::move(command)](std::function<void(ProposeReply)> done) {
            parts_.runner->onPropose(command, std::move(done));
        };
        co_return co_await awaitCallback<ProposeReply>(std::move(start));
    }
    const auto client = parts_.hub.client(keeper);
    FrameBody body = ProposeRequest {std::move(command)};
    Result<FrameBody> reply = co_await client->call(std::move(body), proposeTimeout);
    if (!reply) {
        co_return reply.error();
    }
    if (auto *proposed = std::get_if<ProposeReply>(&reply.value())) {
        co_return std::move(*proposed);
    }
    co_return makeError(ErrorKind::Internal, "unexpected reply to a proposal");
}

asio::awaitable<Result<ApplyResult>> ControlClient::propose(ControlCommand command, Milliseconds timeout)
{
    const TimePoint deadline = timeNow() + timeout;
    const std::string bytes = encodeCommand(command);
    while (timeNow() < deadline && !isStopped_) {
        const VmName keeper = leaderCandidate();
        Result<ProposeReply> reply = co_await proposeAt(keeper, bytes);
        if (reply && reply.value().accepted) {
            co_return reply.value().result;
        }
        updateLeaderHint(keeper, reply ? reply.value().leader : VmName {});
        co_await sleepFor(retryPause);
    }
    Error error = notReady("no leader of the control log confirmed the command in time");
    error.outcome = Outcome::Unknown;
    co_return error;
}

asio::awaitable<Result<StatusReply>> ControlClient::statusOf(const VmName &keeper)
{
    if (parts_.runner != nullptr && keeper == parts_.settings.vm) {
        auto start = [this](std::function<void(StatusReply)> done) { parts_.runner->onStatus(std::move(done)); };
        co_return co_await awaitCallback<StatusReply>(std::move(start));
    }
    const auto client = parts_.hub.client(keeper);
    FrameBody body = StatusRequest {};
    Result<FrameBody> reply = co_await client->call(std::move(body), requestTimeout);
    if (!reply) {
        co_return reply.error();
    }
    if (auto *status = std::get_if<StatusReply>(&reply.value())) {
        co_return std::move(*status);
    }
    co_return makeError(ErrorKind::Internal, "unexpected reply to a status request");
}

asio::awaitable<Result<StatusReply>> ControlClient::status()
{
    const std::size_t tries = 2 * parts_.settings.keepers.size();
    for (std::size_t i = 0; i < tries; ++i) {
        const VmName keeper = leaderCandidate();
        Result<StatusReply> reply = co_await statusOf(keeper);
        if (reply && reply.value().isLeader) {
            co_return reply;
        }
        updateLeaderHint(keeper, reply ? reply.value().leader : VmName {});
    }
    co_return notReady("no leader of the control log replied");
}

asio::awaitable<Result<void>> ControlClient::refresh(Milliseconds timeout)
{
    // The reply carries the applied index of a leader that has confirmed its leadership with a quorum.
    const TimePoint deadline = timeNow() + timeout;
    const VmName keeper = leaderCandidate();
    const auto before = parts_.replica.view();
    const TimePoint sentAt = timeNow();
    LeaseRequest request {ownRecord(), before->index, before->state.configurationVersion(), countPrograms_(), true};
    const Result<LeaseReply> reply = co_await requestLease(keeper, std::move(request));
    if (!reply || !reply.value().granted) {
        co_return notReady("the control state of this VM could not be confirmed as current");
    }
    onLeaseReply(sentAt, reply.value());
    while (parts_.replica.view()->index < reply.value().minIndex && timeNow() < deadline) {
        co_await sleepFor(Milliseconds(5));
    }
    if (parts_.replica.view()->index < reply.value().minIndex) {
        co_return notReady("this VM has not caught up with the control log");
    }
    co_return boost::outcome_v2::success();
}

} // namespace cardamompost
