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
constexpr Milliseconds tryTimeout {400};
constexpr Milliseconds retryPause {10};
constexpr Milliseconds updateWait {500};
constexpr Milliseconds updateTimeout {900};

TimePoint timeNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

void PendingBegin::signal()
{
    changed_.cancel();
}

asio::awaitable<void> PendingBegin::untilTentative()
{
    while (!isTentative_ && !isFinal_) {
        co_await changed_.async_wait(asTuple);
    }
}

asio::awaitable<void> PendingBegin::untilFinal()
{
    while (!isFinal_) {
        co_await changed_.async_wait(asTuple);
    }
}

LedgerClient::LedgerClient(Parts parts)
    : parts_(parts)
    , seeds_(parts.settings.seedPeers())
    , found_(parts.io)
    , beginRetries_(parts.metrics.counter("cardamompost_ledger_begin_retries_total"))
    , slow_(parts.metrics.counter("cardamompost_ledger_slow_total"))
    , lost_(parts.metrics.counter("cardamompost_ledger_lost_total"))
    , toldBySuccessor_(parts.metrics.counter("cardamompost_ledger_told_by_successor_total"))
    , finishRetries_(parts.metrics.counter("cardamompost_ledger_finish_retries_total"))
{
    parts.metrics.gauge("cardamompost_document_behind_seconds", {},
                        [this] { return std::chrono::duration<double>(staleness_.staleFor(timeNow())).count(); });
}

void LedgerClient::start(UpdateHandler onUpdateRequest)
{
    onUpdate_ = std::move(onUpdateRequest);
    asio::co_spawn(parts_.io, readUpdates(), asio::detached);
}

void LedgerClient::stop()
{
    isStopped_ = true;
}

std::shared_ptr<PendingBegin> LedgerClient::begin(TurnBegin begin, TimePoint until)
{
    auto attempt = std::make_shared<BeginTry>();
    attempt->begin = std::move(begin);
    attempt->until = until;
    attempt->pending = std::make_shared<PendingBegin>(parts_.io);
    sendBegin(attempt);
    return attempt->pending;
}

void LedgerClient::sendBegin(const std::shared_ptr<BeginTry> &attempt)
{
    if (leader_.empty()) {
        resendLater(attempt);
        return;
    }
    const VmName peer = leader_;
    const auto client = parts_.peers.client(peer);
    client->request(attempt->begin, tryTimeout, [this, attempt, peer](Result<FrameBody> reply, bool isLast) {
        onBeginReply(attempt, peer, std::move(reply), isLast);
    });
}

void LedgerClient::onBeginReply(const std::shared_ptr<BeginTry> &attempt, const VmName &peer, Result<FrameBody> reply,
                                bool isLast)
{
    PendingBegin &pending = *attempt->pending;
    TurnBeginReply *answer = reply ? std::get_if<TurnBeginReply>(&reply.value()) : nullptr;
    if (answer == nullptr && attempt->isQueued && !pending.isTentative_) {
        // It was heard from, and the wait for a place is longer than the time-out: ask again; its place is kept.
        attempt->isQueued = false;
        sendBegin(attempt);
        return;
    }
    if (answer == nullptr) {
        suspectLeader(peer, reply, "an unexpected reply");
        resendLater(attempt);
        return;
    }
    if (answer->status == TurnBeginStatus::Tentative && pending.isTentative_) {
        // Asked again; what was told before is in use already.
        return;
    }
    if (answer->status == TurnBeginStatus::Tentative) {
        pending.isTentative_ = true;
        pending.history_ = std::move(answer->history);
        pending.backend_ = std::move(answer->backend);
        pending.signal();
        return;
    }
    if (!isLast) {
        attempt->isQueued = answer->status == TurnBeginStatus::Queued;
        return;
    }
    if (answer->status == TurnBeginStatus::NotLeader) {
        loseLeader(peer, "it does not lead");
        resendLater(attempt);
        return;
    }
    pending.status_ = answer->status;
    pending.retryAfter_ = Milliseconds(answer->retryAfterMs);
    pending.isFinal_ = true;
    pending.signal();
}

void LedgerClient::resendLater(const std::shared_ptr<BeginTry> &attempt)
{
    beginRetries_.add();
    if (timeNow() + retryPause >= attempt->until || isStopped_) {
        attempt->pending->isFinal_ = true;
        attempt->pending->signal();
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(parts_.io, retryPause);
    timer->async_wait([this, attempt, timer](const boost::system::error_code &) { sendBegin(attempt); });
}

template<typename Reply>
asio::awaitable<std::optional<Reply>> LedgerClient::askLeader(FrameBody request, TimePoint until, Asking<Reply> asking)
{
    while (timeNow() < until) {
        const VmName peer = leader_;
        const auto client = peer.empty() ? nullptr : parts_.peers.client(peer);
        if (!client) {
            co_await sleepFor(retryPause);
            continue;
        }
        FrameBody body = request;
        const Result<FrameBody> reply = co_await client->call(std::move(body), tryTimeout);
        const Reply *answer = reply ? std::get_if<Reply>(&reply.value()) : nullptr;
        if (answer != nullptr && asking.isFinal(*answer)) {
            co_return *answer;
        }
        if (asking.retries != nullptr) {
            asking.retries->add();
        }
        suspectLeader(peer, reply, asking.otherwise);
        co_await sleepFor(retryPause);
    }
    co_return std::nullopt;
}

asio::awaitable<bool> LedgerClient::finish(TurnFinish finish, TimePoint until)
{
    FrameBody body = std::move(finish);
    const Asking<TurnFinishReply> asking {[](const TurnFinishReply &reply) { return reply.isDurable; },
                                          "it did not make the end durable", &finishRetries_};
    const std::optional<TurnFinishReply> reply = co_await askLeader(std::move(body), until, asking);
    co_return reply.has_value();
}

asio::awaitable<std::optional<AdmitReply>> LedgerClient::admit(AdmitRequest request, TimePoint until)
{
    FrameBody body = std::move(request);
    const Asking<AdmitReply> asking {[](const AdmitReply &reply) { return reply.status != AdmitStatus::NotLeader; },
                                     "it does not lead", nullptr};
    co_return co_await askLeader(std::move(body), until, asking);
}

asio::awaitable<void> LedgerClient::readUpdates()
{
    loseLeader({}, "the start");
    while (!isStopped_) {
        const VmName peer = leader_;
        const auto client = peer.empty() ? nullptr : parts_.peers.client(peer);
        if (!client) {
            co_await sleepFor(retryPause);
            continue;
        }
        known_.waitMs = static_cast<std::uint32_t>(updateWait.count());
        known_.staleMs = lacksSince_ ? static_cast<std::uint32_t>(toMs(timeNow() - *lacksSince_)) : 0;
        FrameBody body = known_;
        const Result<FrameBody> reply = co_await client->call(std::move(body), updateTimeout);
        const UpdateReply *update = reply ? std::get_if<UpdateReply>(&reply.value()) : nullptr;
        if (update != nullptr && update->isLeader && update->term >= leaderTerm_) {
            applyUpdate(*update);
        } else if (leader_ == peer) {
            loseLeader(peer, reply ? "it does not lead" : reply.error().message);
        }
    }
}

void LedgerClient::applyUpdate(const UpdateReply &update)
{
    members_ = update.members;
    voters_ = update.voters;
    leaderTerm_ = update.term;
    const Milliseconds age = updateAge();
    lastUpdate_ = timeNow();
    if (!hasLeader_) {
        hasLeader_ = true;
        parts_.log.info("ledger.found", {{"leader", leader_}, {"news_age_ms", age.count()}});
    }
    staleness_.recordLatestVersion(update.documentVersion, lastUpdate_);
    onUpdate_(update);
    const bool lacksList = known_.list < update.list;
    if (!staleness_.isStale() && !lacksList) {
        lacksSince_.reset();
    } else if (!lacksSince_) {
        lacksSince_ = lastUpdate_;
    }
}

void LedgerClient::setKnown(Known known)
{
    known_.documentVersion = known.documentVersion;
    known_.list = known.list;
    known_.documentDigests = std::move(known.documentDigests);
    known_.listDigests = std::move(known.listDigests);
    staleness_.recordAppliedVersion(known.documentVersion);
}

void LedgerClient::tellPresence(bool isReady)
{
    watchVoters();
    const Presence presence {parts_.settings.vm, parts_.settings.front.toString(), parts_.settings.failureDomain,
                             isReady};
    for (const VmName &peer : everyone()) {
        if (const auto client = parts_.peers.client(peer)) {
            client->notify(presence);
        }
    }
}

Milliseconds LedgerClient::updateAge() const
{
    return std::chrono::duration_cast<Milliseconds>(timeNow() - lastUpdate_);
}

} // namespace cardamompost
