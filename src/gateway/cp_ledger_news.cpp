#include "cp_ledger_service.hpp"

namespace cardamompost
{

namespace
{

// Lists and documents that entries are sent, all of them together.
constexpr double newsBytesPerSecond = 24.0 * (1U << 20U);
constexpr double newsBurstBytes = 4.0 * (1U << 20U);
// An entry whose news can't be afforded hears in time that the leader is there.
constexpr Milliseconds shortestNewsWait {300};

} // namespace

bool LedgerService::hasNews(const NewsRequest &request) const
{
    return request.documentVersion < state_.documentVersion()
        || (backends_.version.term != 0 && request.list < backends_.version);
}

void LedgerService::onPresence(const Presence &presence)
{
    if (presence_.note(presence, std::chrono::steady_clock::now())) {
        parts_.log.info("entry.presence", {{"entry", presence.vm}, {"ready", presence.isReady}});
    }
}

void LedgerService::onNews(const NewsRequest &request, const Replier &replier)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const bool isWatch = !request.wantsContent && request.waitMs != 0;
    if (isWatch && !leads()) {
        watchers_.push_back({request, replier, now + Milliseconds(request.waitMs)});
        return;
    }
    if (!leads() || !request.wantsContent) {
        replyNews(request, replier, false);
        return;
    }
    const bool isDue = hasNews(request);
    if (isDue && mayAffordNews(now)) {
        replyNews(request, replier, true);
        return;
    }
    if (isDue) {
        newsPutOff_.add();
    }
    if (!isDue && request.waitMs == 0) {
        replyNews(request, replier, false);
        return;
    }
    waiters_.push_back({request, replier, now + std::max(shortestNewsWait, Milliseconds(request.waitMs))});
}

bool LedgerService::mayAffordNews(TimePoint now)
{
    // Guards the leader's memory and link: after a start or a change of everything, hundreds of entries want the same
    // hundreds of kilobytes at one moment. They get them one after the other, within a second or two.
    const double earned = std::chrono::duration<double>(now - newsEarnedAt_).count() * newsBytesPerSecond;
    newsBudget_ = std::min(newsBurstBytes, newsBudget_ + earned);
    newsEarnedAt_ = now;
    return newsBudget_ > 0;
}

void LedgerService::addContent(const NewsRequest &request, NewsReply &reply)
{
    if (request.documentVersion < state_.documentVersion()) {
        reply.document = state_.document();
    }
    reply.hasList = backends_.version.term != 0 && request.list < backends_.version;
    if (reply.hasList) {
        reply.buckets = buckets_.differing(request.listDigests);
    }
    newsBudget_ -= static_cast<double>(reply.document.size());
    for (const BackendBucket &bucket : reply.buckets) {
        newsBudget_ -= static_cast<double>(bucket.bytes.size());
    }
}

void LedgerService::replyNews(const NewsRequest &request, const Replier &replier, bool withContent)
{
    NewsReply reply;
    reply.isLeader = leads();
    reply.leader = leader();
    // All ledger VMs, members or not: each answers the directory, so each has to hear from the entries.
    for (const auto &[vm, record] : state_.vms()) {
        reply.members.push_back(record.peer);
    }
    if (reply.members.empty() && driver_.isStarted()) {
        const Membership &members = driver_.node().membership();
        reply.members.assign(members.voters.begin(), members.voters.end());
    }
    if (reply.isLeader) {
        reply.term = driver_.node().term();
        reply.documentVersion = state_.documentVersion();
        reply.list = backends_.version;
        reply.listAgeMs = static_cast<std::uint32_t>(toMs(std::chrono::steady_clock::now() - listReadAt_));
    }
    if (reply.isLeader && withContent) {
        addContent(request, reply);
    }
    replier->reply(std::move(reply));
}

void LedgerService::answerWaiters(bool all)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const bool isLeader = leads();
    std::vector<NewsWaiter> kept;
    for (NewsWaiter &waiter : std::exchange(waiters_, {})) {
        const bool isServed = isLeader && hasNews(waiter.request) && mayAffordNews(now);
        if (isServed || all || !isLeader || now >= waiter.deadline) {
            replyNews(waiter.request, waiter.replier, isServed);
        } else {
            kept.push_back(std::move(waiter));
        }
    }
    waiters_.insert(waiters_.end(), std::make_move_iterator(kept.begin()), std::make_move_iterator(kept.end()));
}

void LedgerService::answerWatchers(bool all)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const bool isLeader = leads();
    for (NewsWaiter &watcher : std::exchange(watchers_, {})) {
        if (all || isLeader || now >= watcher.deadline) {
            replyNews(watcher.request, watcher.replier, false);
        } else {
            watchers_.push_back(std::move(watcher));
        }
    }
}

void LedgerService::setBackends(std::vector<BackendServer> servers)
{
    listReadAt_ = std::chrono::steady_clock::now();
    const std::uint64_t term = driver_.node().term();
    if (backends_.version.term == term && backends_.servers == servers) {
        return;
    }
    const std::uint64_t sequence = backends_.version.term == term ? backends_.version.sequence + 1 : 1;
    backends_ = {{term, sequence}, std::move(servers)};
    buckets_.setServers(backends_.servers);
    placement_.setServers(backends_.servers, listReadAt_);
    std::size_t leaving = 0;
    for (const BackendServer &server : backends_.servers) {
        leaving += server.isLeaving ? 1 : 0;
    }
    parts_.log.info(
        "backends.changed",
        {{"term", term}, {"sequence", sequence}, {"servers", backends_.servers.size()}, {"leaving", leaving}});
    answerWaiters(false);
}

} // namespace cardamompost
