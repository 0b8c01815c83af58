#include "cp_ledger_client.hpp"

#include <cardamompost/net/cp_await.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr Milliseconds attemptTimeout {400};
constexpr Milliseconds retryInterval {10};
constexpr Milliseconds maxRetryInterval {200};
// How long a relay holds a request if there is nothing new, and the margin for its reply.
constexpr Milliseconds updateWait {300};
constexpr Milliseconds updateMargin {300};
// A relay that has not heard from the leader for longer is left.
constexpr Milliseconds maxRelayAge {800};
constexpr Milliseconds relayRetryInterval {50};

TimePoint timeNow()
{
    return std::chrono::steady_clock::now();
}

//! Pause before a retry: longer the longer there was no answer, since many requests may wait for one leader.
Milliseconds retryPause(TimePoint::duration withoutAnswer)
{
    constexpr int pausesPerWait = 16;
    const auto share = std::chrono::duration_cast<Milliseconds>(withoutAnswer / pausesPerWait);
    return std::clamp(share, retryInterval, maxRetryInterval);
}

} // namespace

void PendingBegin::notifyWaiters()
{
    changed_.cancel();
}

void PendingBegin::fail(BeginFailure failure)
{
    if (!isFinal_) {
        isFinal_ = true;
        failure_ = failure;
        notifyWaiters();
    }
}

asio::awaitable<void> PendingBegin::waitUntilTentative()
{
    while (!isTentative_ && !isFinal_) {
        co_await changed_.async_wait(asTuple);
    }
}

asio::awaitable<void> PendingBegin::waitUntilFinal()
{
    while (!isFinal_) {
        co_await changed_.async_wait(asTuple);
    }
}

LedgerClient::LedgerClient(Parts parts)
    : parts_(parts)
    , seeds_(parts.settings.seedPeers())
    , relays_(parts.settings.vm, parts.settings.failureDomain)
    , searchTimer_(parts.io)
    , beginRetries_(parts.metrics.counter("cardamompost_ledger_begin_retries_total"))
    , slowLeaders_(parts.metrics.counter("cardamompost_ledger_slow_total"))
    , lostLeaders_(parts.metrics.counter("cardamompost_ledger_lost_total"))
    , leaderSwitches_(parts.metrics.counter("cardamompost_ledger_told_by_successor_total"))
    , finishRetries_(parts.metrics.counter("cardamompost_ledger_finish_retries_total"))
    , relayFailures_(parts.metrics.counter("cardamompost_relay_failures_total"))
{
    setPeers({});
    parts.metrics.gauge("cardamompost_document_behind_seconds", {},
                        [this] { return std::chrono::duration<double>(staleness_.staleFor(timeNow())).count(); });
}

void LedgerClient::start(UpdateHandler onUpdate)
{
    onUpdate_ = std::move(onUpdate);
    asio::co_spawn(parts_.io, pollUpdates(), asio::detached);
}

void LedgerClient::stop()
{
    isStopped_ = true;
}

std::shared_ptr<PendingBegin> LedgerClient::begin(TurnBegin begin, TimePoint deadline, Milliseconds leaderTimeout)
{
    auto attempt = std::make_shared<BeginAttempt>();
    attempt->begin = std::move(begin);
    attempt->deadline = deadline;
    attempt->leaderTimeout = leaderTimeout;
    attempt->answeredAt = timeNow();
    attempt->pending = std::make_shared<PendingBegin>(parts_.io);
    sendBegin(attempt);
    return attempt->pending;
}

void LedgerClient::sendBegin(const std::shared_ptr<BeginAttempt> &attempt)
{
    if (leader_.empty()) {
        resendLater(attempt);
        return;
    }
    const VmName peer = leader_;
    const auto client = parts_.peers.client(peer);
    client->request(attempt->begin, attemptTimeout, [this, attempt, peer](Result<FrameBody> reply, bool isLast) {
        onBeginReply(attempt, peer, std::move(reply), isLast);
    });
}

void LedgerClient::onBeginReply(const std::shared_ptr<BeginAttempt> &attempt, const VmName &peer,
                                Result<FrameBody> reply, bool isLast)
{
    PendingBegin &pending = *attempt->pending;
    if (pending.isFinal()) {
        return;
    }
    TurnBeginReply *answer = reply ? std::get_if<TurnBeginReply>(&reply.value()) : nullptr;
    if (answer == nullptr && attempt->isQueued && !pending.isTentative_) {
        // The leader has queued the turn for longer than the timeout. A retry keeps its position in the queue.
        attempt->isQueued = false;
        sendBegin(attempt);
        return;
    }
    if (answer == nullptr) {
        handleFailure(peer, reply, "unexpected reply type");
        resendLater(attempt);
        return;
    }
    const bool isLeading = answer->status != TurnBeginStatus::NotLeader;
    attempt->answeredAt = isLeading ? timeNow() : attempt->answeredAt;
    if (answer->status == TurnBeginStatus::Tentative && pending.isTentative_) {
        // A reply to a retry; the first tentative reply is already in use.
        return;
    }
    if (answer->status == TurnBeginStatus::Tentative) {
        pending.isTentative_ = true;
        // The turn may run from now on; a successor must not refuse it because such servers have left since.
        attempt->begin.placement.softwareVersion.clear();
        pending.history_ = std::move(answer->history);
        pending.backend_ = std::move(answer->backend);
        pending.promptSource_ = std::move(answer->promptSource);
        pending.notifyWaiters();
        return;
    }
    if (!isLast) {
        attempt->isQueued = answer->status == TurnBeginStatus::Queued;
        return;
    }
    if (!isLeading) {
        dropLeader(peer, "peer is not the leader");
        resendLater(attempt);
        return;
    }
    const bool isDeferred = answer->status == TurnBeginStatus::Overloaded || answer->status == TurnBeginStatus::Limited
        || answer->status == TurnBeginStatus::NotAdmitted;
    if (isDeferred && pending.isTentative_) {
        // A successor of the leader that placed the turn, which may have run since, admits no new ones for now.
        resendLater(attempt, Milliseconds(answer->retryAfterMs));
        return;
    }
    pending.status_ = answer->status;
    pending.retryAfter_ = Milliseconds(answer->retryAfterMs);
    pending.recordedVersion_ = std::move(answer->version);
    pending.isFinal_ = true;
    pending.notifyWaiters();
}

void LedgerClient::resendLater(const std::shared_ptr<BeginAttempt> &attempt, Milliseconds minPause)
{
    beginRetries_.add();
    const TimePoint now = timeNow();
    const bool isTentative = attempt->pending->isTentative();
    const bool hasLeader = isTentative || now - attempt->answeredAt < attempt->leaderTimeout;
    if (now + retryInterval >= std::min(attempt->deadline, latestDeadline_) || !hasLeader || isStopped_) {
        attempt->pending->fail(isTentative ? BeginFailure::NotCommitted : BeginFailure::NoLeader);
        return;
    }
    const Milliseconds pause = std::max(minPause, retryPause(now - attempt->answeredAt));
    auto timer = std::make_shared<asio::steady_timer>(parts_.io, pause);
    timer->async_wait([this, attempt, timer](const boost::system::error_code &) {
        // The caller may have left, and the end of the turn may have been reported.
        if (!attempt->pending->isFinal()) {
            sendBegin(attempt);
        }
    });
}

template<typename Reply>
asio::awaitable<std::optional<Reply>> LedgerClient::requestFromLeader(FrameBody request, TimePoint deadline,
                                                                      RetryPolicy<Reply> policy)
{
    const std::shared_ptr<const bool> pending = pendingRequests_;
    const TimePoint startedAt = timeNow();
    while (timeNow() < std::min(deadline, latestDeadline_)) {
        const VmName peer = leader_;
        const auto client = peer.empty() ? nullptr : parts_.peers.client(peer);
        if (!client) {
            co_await sleepFor(retryPause(timeNow() - startedAt));
            continue;
        }
        FrameBody body = request;
        const auto timeLeft = std::chrono::ceil<Milliseconds>(latestDeadline_ - timeNow());
        const Result<FrameBody> reply = co_await client->call(std::move(body), std::min(attemptTimeout, timeLeft));
        const Reply *answer = reply ? std::get_if<Reply>(&reply.value()) : nullptr;
        if (answer != nullptr && policy.isFinal(*answer)) {
            co_return *answer;
        }
        if (policy.retries != nullptr) {
            policy.retries->add();
        }
        handleFailure(peer, reply, policy.failureReason);
        co_await sleepFor(retryInterval);
    }
    co_return std::nullopt;
}

asio::awaitable<bool> LedgerClient::finish(TurnFinish finish, TimePoint deadline)
{
    FrameBody body = std::move(finish);
    const RetryPolicy<TurnFinishReply> policy {[](const TurnFinishReply &reply) { return reply.isDurable; },
                                               "end of turn was not made durable", &finishRetries_};
    const std::optional<TurnFinishReply> reply = co_await requestFromLeader(std::move(body), deadline, policy);
    co_return reply.has_value();
}

asio::awaitable<std::optional<AdmitReply>> LedgerClient::admit(AdmitRequest request, TimePoint deadline)
{
    FrameBody body = std::move(request);
    const RetryPolicy<AdmitReply> policy {
        [](const AdmitReply &reply) { return reply.status != AdmitStatus::NotLeader; }, "peer is not the leader",
        nullptr};
    co_return co_await requestFromLeader(std::move(body), deadline, policy);
}

asio::awaitable<std::optional<StreamVersionReply>> LedgerClient::requestStreamVersion(StreamVersionRequest request,
                                                                                      TimePoint deadline)
{
    FrameBody body = std::move(request);
    const RetryPolicy<StreamVersionReply> policy {
        [](const StreamVersionReply &reply) { return reply.status != StreamVersionStatus::NotLeader; },
        "peer is not the leader", nullptr};
    co_return co_await requestFromLeader(std::move(body), deadline, policy);
}

asio::awaitable<bool> LedgerClient::recordStreamVersion(StreamVersion record, TimePoint deadline)
{
    StreamVersionRequest request {std::move(record), false};
    const std::optional<StreamVersionReply> reply = co_await requestStreamVersion(std::move(request), deadline);
    co_return reply.has_value();
}

asio::awaitable<std::optional<StreamVersionReply>> LedgerClient::findStreamVersion(std::string stream,
                                                                                   TimePoint deadline)
{
    StreamVersionRequest request;
    request.record.stream = std::move(stream);
    request.isQuery = true;
    co_return co_await requestStreamVersion(std::move(request), deadline);
}

asio::awaitable<std::optional<SuspectReply>> LedgerClient::requestSuspect(SuspectRequest request, TimePoint deadline)
{
    FrameBody body = std::move(request);
    const RetryPolicy<SuspectReply> policy {
        [](const SuspectReply &reply) { return reply.status != SuspectStatus::NotLeader; }, "peer is not the leader",
        nullptr};
    co_return co_await requestFromLeader(std::move(body), deadline, policy);
}

asio::awaitable<void> LedgerClient::pollUpdates()
{
    dropLeader({}, "entry is starting");
    while (!isStopped_) {
        const VmName relay = relays_.current(timeNow());
        const auto client = relay.empty() ? nullptr : parts_.peers.client(relay);
        if (!client) {
            co_await sleepFor(retryInterval);
            continue;
        }
        updateRequest_.waitMs = static_cast<std::uint32_t>(updateWait.count());
        updateRequest_.staleMs = staleSince_ ? static_cast<std::uint32_t>(toMs(timeNow() - *staleSince_)) : 0;
        updateRequest_.knownTerm = leaderTerm_;
        FrameBody body = updateRequest_;
        const Result<FrameBody> reply = co_await client->call(std::move(body), updateWait + updateMargin);
        const UpdateReply *update = reply ? std::get_if<UpdateReply>(&reply.value()) : nullptr;
        if (update != nullptr) {
            applyUpdate(relay, *update);
        } else {
            suspectRelay(relay, reply ? "unexpected reply type" : reply.error().message);
            co_await sleepFor(relayRetryInterval);
        }
    }
}

void LedgerClient::suspectRelay(const VmName &relay, const std::string &reason)
{
    relayFailures_.add();
    if (relays_.suspect(relay, timeNow())) {
        parts_.log.info("relay.left", {{"peer", relay}, {"reason", reason}, {"news_age_ms", updateAge().count()}});
    }
}

void LedgerClient::applyUpdate(const VmName &relay, const UpdateReply &update)
{
    const TimePoint now = timeNow();
    const Milliseconds age(update.ageMs);
    if (age > maxRelayAge) {
        suspectRelay(relay, "the relay does not hear from the leader");
    } else {
        relays_.trust(relay);
        lastUpdateAt_ = std::max(lastUpdateAt_, now - age);
        if (!update.peers.empty() && update.peersDigest != ledgerVms_.digest()) {
            setPeers(update.peers);
        }
    }
    recordLeader(update);
    staleness_.recordLatestVersion(update.documentVersion, now);
    onUpdate_(update);
    const bool isListStale = updateRequest_.list < update.list;
    if (!staleness_.isStale() && !isListStale) {
        staleSince_.reset();
    } else if (!staleSince_) {
        staleSince_ = now;
    }
}

void LedgerClient::setHeldContent(const ContentReplica &content)
{
    content.describe(updateRequest_);
    staleness_.recordAppliedVersion(content.documentVersion());
}

void LedgerClient::setPeers(std::vector<LedgerPeer> peers)
{
    ledgerVms_ = LedgerPeers(std::move(peers));
    updateRequest_.peersDigest = ledgerVms_.digest();
    // Seeds may have been replaced by VMs that the leader doesn't know yet.
    std::vector<LedgerPeer> known = ledgerVms_.list();
    for (const VmName &seed : seeds_) {
        const bool isListed
            = std::any_of(known.begin(), known.end(), [&](const LedgerPeer &peer) { return peer.peer == seed; });
        if (!isListed) {
            known.push_back({seed, {}});
        }
    }
    heartbeatTargets_ = heartbeatTargets(known, parts_.settings.vm, parts_.settings.failureDomain);
    relays_.setPeers(known);
}

void LedgerClient::setSeeds(std::vector<VmName> seeds)
{
    seeds_ = std::move(seeds);
    setPeers(ledgerVms_.list());
}

void LedgerClient::announcePresence(bool isReady, bool isAccepting, std::uint16_t loadPermille)
{
    watchStandby();
    const Presence presence {parts_.settings.vm,
                             parts_.settings.front.toString(),
                             parts_.settings.failureDomain,
                             isReady,
                             false,
                             loadPermille,
                             isAccepting};
    for (const VmName &peer : heartbeatTargets_) {
        if (const auto client = parts_.peers.client(peer)) {
            client->notify(presence);
        }
    }
}

Milliseconds LedgerClient::updateAge() const
{
    return std::chrono::duration_cast<Milliseconds>(timeNow() - lastUpdateAt_);
}

} // namespace cardamompost
