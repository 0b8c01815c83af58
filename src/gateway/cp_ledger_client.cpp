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
constexpr Milliseconds tryTimeout {600};
constexpr Milliseconds retryPause {25};
constexpr Milliseconds newsWait {500};
constexpr Milliseconds newsTimeout {1000};
constexpr Milliseconds newsRetryPause {40};

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
    , beginRetries_(parts.metrics.counter("cardamompost_ledger_begin_retries_total"))
    , finishRetries_(parts.metrics.counter("cardamompost_ledger_finish_retries_total"))
{
}

void LedgerClient::start(NewsHandler onNews)
{
    onNews_ = std::move(onNews);
    asio::co_spawn(parts_.io, readNews(), asio::detached);
}

void LedgerClient::stop()
{
    isStopped_ = true;
}

std::set<VmName> LedgerClient::everyone() const
{
    std::set<VmName> all(seeds_.begin(), seeds_.end());
    all.insert(members_.begin(), members_.end());
    return all;
}

VmName LedgerClient::target()
{
    if (!leader_.empty()) {
        return leader_;
    }
    const std::set<VmName> all = everyone();
    return *std::next(all.begin(), static_cast<std::ptrdiff_t>(nextAsked_++ % all.size()));
}

void LedgerClient::onHint(const VmName &asked, const VmName &leader)
{
    // A member that does not lead may name one that is gone; whoever was asked last is not asked again at once.
    leader_ = leader == asked ? VmName {} : leader;
}

void LedgerClient::onLost(const VmName &asked, const Error &error)
{
    if (leader_ == asked) {
        leader_.clear();
    }
    if (hasLeader_) {
        hasLeader_ = false;
        parts_.log.warn("ledger.lost", {{"peer", asked}, {"error", error.message}, {"news_age_ms", newsAge().count()}});
    }
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
    const VmName peer = target();
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
    if (answer == nullptr) {
        onLost(peer, reply ? makeError(ErrorKind::Internal, "an unexpected reply") : reply.error());
        resendLater(attempt);
        return;
    }
    if (answer->status == TurnBeginStatus::Tentative) {
        pending.isTentative_ = true;
        pending.history_ = std::move(answer->history);
        pending.signal();
        return;
    }
    if (!isLast) {
        return;
    }
    if (answer->status == TurnBeginStatus::NotLeader) {
        onHint(peer, answer->leader);
        resendLater(attempt);
        return;
    }
    pending.status_ = answer->status;
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

asio::awaitable<bool> LedgerClient::finish(TurnFinish finish, TimePoint until)
{
    while (timeNow() < until) {
        const VmName peer = target();
        const auto client = parts_.peers.client(peer);
        FrameBody body = finish;
        const Result<FrameBody> reply = co_await client->call(std::move(body), tryTimeout);
        const TurnFinishReply *answer = reply ? std::get_if<TurnFinishReply>(&reply.value()) : nullptr;
        if (answer != nullptr && answer->isDurable) {
            co_return true;
        }
        finishRetries_.add();
        if (answer != nullptr) {
            onHint(peer, answer->leader);
        } else {
            onLost(peer, reply ? makeError(ErrorKind::Internal, "an unexpected reply") : reply.error());
        }
        co_await sleepFor(retryPause);
    }
    co_return false;
}

asio::awaitable<void> LedgerClient::readNews()
{
    while (!isStopped_) {
        const VmName peer = target();
        const auto client = parts_.peers.client(peer);
        known_.waitMs = static_cast<std::uint32_t>(newsWait.count());
        FrameBody body = known_;
        const Result<FrameBody> reply = co_await client->call(std::move(body), newsTimeout);
        const NewsReply *news = reply ? std::get_if<NewsReply>(&reply.value()) : nullptr;
        if (news != nullptr && news->isLeader) {
            leader_ = peer;
            takeNews(*news);
            continue;
        }
        if (news != nullptr) {
            if (!news->members.empty()) {
                members_ = news->members;
            }
            onHint(peer, news->leader);
        } else {
            onLost(peer, reply ? makeError(ErrorKind::Internal, "an unexpected reply") : reply.error());
        }
        co_await sleepFor(newsRetryPause);
    }
}

void LedgerClient::takeNews(const NewsReply &news)
{
    members_ = news.members;
    const Milliseconds age = newsAge();
    lastNews_ = timeNow();
    if (!hasLeader_) {
        hasLeader_ = true;
        parts_.log.info("ledger.regained", {{"leader", leader_}, {"news_age_ms", age.count()}});
    }
    onNews_(news);
}

void LedgerClient::tellPresence(bool isReady)
{
    const Presence presence {parts_.settings.vm, parts_.settings.front.toString(), parts_.settings.failureDomain,
                             isReady};
    for (const VmName &peer : everyone()) {
        if (const auto client = parts_.peers.client(peer)) {
            client->notify(presence);
        }
    }
}

Milliseconds LedgerClient::newsAge() const
{
    return std::chrono::duration_cast<Milliseconds>(timeNow() - lastNews_);
}

} // namespace cardamompost
