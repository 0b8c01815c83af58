#include "cp_update_service.hpp"

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
constexpr Milliseconds feedTimeout {500};
constexpr Milliseconds feedRetryInterval {20};
constexpr Milliseconds serveInterval {20};
// Content sent to all requesters together; bounds the share of the VM's link and the memory held by pending replies.
constexpr double updateBytesPerSecond = 24.0 * (1U << 20U);
constexpr double updateBurstBytes = 4.0 * (1U << 20U);

TimePoint timeNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

UpdateService::UpdateService(Parts parts)
    : parts_(std::move(parts))
    , relay_(parts_.self, {updateBytesPerSecond, updateBurstBytes},
             [](const Replier &replier, UpdateReply reply) { replier->reply(std::move(reply)); })
    , wake_(parts_.io)
    , serveTimer_(parts_.io)
{
    parts_.metrics.gauge("cardamompost_news_put_off_total", {},
                         [this] { return static_cast<double>(relay_.deferred()); });
}

void UpdateService::start()
{
    asio::co_spawn(parts_.io, feed(), asio::detached);
}

void UpdateService::stop()
{
    isStopped_ = true;
    wake_.cancel();
    serveTimer_.cancel();
    relay_.stop(timeNow());
}

asio::awaitable<void> UpdateService::feed()
{
    while (!isStopped_) {
        if (!relay_.needsFeed(timeNow())) {
            wake_.expires_after(UpdateRelay<Replier>::idleAfter);
            co_await wake_.async_wait(asTuple);
            continue;
        }
        const VmName leader = parts_.leader();
        const auto client = leader.empty() || leader == parts_.self ? nullptr : parts_.peers.client(leader);
        if (!client) {
            co_await sleepFor(feedRetryInterval);
            continue;
        }
        fedBy_ = leader;
        FrameBody request = relay_.feedRequest(timeNow());
        const Result<FrameBody> reply = co_await client->call(std::move(request), feedTimeout);
        const UpdateReply *update = reply ? std::get_if<UpdateReply>(&reply.value()) : nullptr;
        if (update == nullptr || !relay_.onFeedReply(leader, *update, timeNow())) {
            co_await sleepFor(feedRetryInterval);
        }
    }
}

void UpdateService::onRequest(const UpdateRequest &request, const Replier &replier)
{
    const TimePoint now = timeNow();
    if (!relay_.hasPeers()) {
        std::vector<LedgerPeer> known;
        for (const VmName &peer : parts_.knownPeers()) {
            known.push_back({peer, {}});
        }
        relay_.setHints(LedgerPeers(std::move(known)));
    }
    const bool neededFeed = relay_.needsFeed(now);
    relay_.onRequest(request, replier, now);
    if (!neededFeed && relay_.needsFeed(now)) {
        wake_.cancel();
    }
    scheduleServe();
}

void UpdateService::onLeaderNotice(const VmName &leader, Term term)
{
    if (term < relay_.term()) {
        return;
    }
    relay_.noteLeader(leader, term, timeNow());
    if (!fedBy_.empty() && fedBy_ != leader) {
        // Fails the pending request to the former leader, so that the next one goes to its successor at once.
        parts_.peers.reconnect(std::exchange(fedBy_, {}));
    }
}

void UpdateService::lead(Term term, LedgerPeers peers)
{
    relay_.setPeers(std::move(peers));
    relay_.lead(term, timeNow());
}

void UpdateService::tick(bool isMember)
{
    if (isMember && !isMember_) {
        wake_.cancel();
    }
    isMember_ = isMember;
    relay_.requireFeed(isMember);
    relay_.serve(timeNow());
}

void UpdateService::scheduleServe()
{
    if (isMember_ || isServeScheduled_ || isStopped_ || !relay_.hasPendingRequests()) {
        return;
    }
    isServeScheduled_ = true;
    serveTimer_.expires_after(serveInterval);
    serveTimer_.async_wait([this](const boost::system::error_code &error) {
        isServeScheduled_ = false;
        if (!error && !isStopped_) {
            relay_.serve(timeNow());
            scheduleServe();
        }
    });
}

} // namespace cardamompost
