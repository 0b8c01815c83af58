#include "cp_ledger_client.hpp"

#include <cardamompost/net/cp_await.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/ranges.h>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr Milliseconds tryTimeout {400};
constexpr Milliseconds retryPause {10};
constexpr Milliseconds newsWait {500};
constexpr Milliseconds newsTimeout {900};
// Within it a leader that is busy says that it leads.
constexpr Milliseconds doubtTimeout {400};
constexpr Milliseconds searchTimeout {300};
// Others than voters that a search asks at a time.
constexpr std::size_t othersASearch = 8;
constexpr Milliseconds searchInterval {100};
// Searches shorter than this are an ordinary change of leader.
constexpr Milliseconds longSearch {1000};
constexpr Milliseconds searchLogInterval {2000};
// How long a member keeps a question for when it will lead, and how much longer its answer may take.
constexpr Milliseconds watchWait {2000};
constexpr Milliseconds watchMargin {500};

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
                        [this] { return std::chrono::duration<double>(lag_.behindFor(timeNow())).count(); });
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

void LedgerClient::loseLeader(const VmName &asked, const std::string &reason)
{
    // What comes late from a VM that was left already says nothing of the one that leads now.
    if (!leader_.empty() && leader_ != asked) {
        return;
    }
    leader_.clear();
    if (hasLeader_) {
        hasLeader_ = false;
        lost_.add();
        parts_.log.warn("ledger.lost", {{"peer", asked}, {"reason", reason}, {"news_age_ms", newsAge().count()}});
    }
    if (!isSearching_ && !isStopped_) {
        isSearching_ = true;
        searchingSince_ = timeNow();
        asio::co_spawn(parts_.io, search(), asio::detached);
    }
}

asio::awaitable<void> LedgerClient::search()
{
    // Everybody is asked at once: one after the other, each that is down would cost its time-out, and all turns wait.
    while (leader_.empty() && !isStopped_) {
        for (const VmName &peer : nextToAsk()) {
            askWhoLeads(peer);
        }
        logSearch();
        found_.expires_after(searchInterval);
        co_await found_.async_wait(asTuple);
    }
    isSearching_ = false;
}

std::vector<VmName> LedgerClient::nextToAsk()
{
    const std::set<VmName> all = everyone();
    std::vector<VmName> others;
    std::vector<VmName> asked;
    for (const VmName &peer : all) {
        const bool isVoter = std::find(voters_.begin(), voters_.end(), peer) != voters_.end();
        (isVoter ? asked : others).push_back(peer);
    }
    // Guards ledger VMs that are many, and busy, against hundreds of entries that each ask all of them ten times a
    // second. Voters are asked each time, the others by turns.
    const std::size_t count = std::min(othersASearch, others.size());
    for (std::size_t i = 0; i < count; ++i) {
        asked.push_back(others[(searches_ * othersASearch + i) % others.size()]);
    }
    ++searches_;
    return asked;
}

void LedgerClient::doubtLeader(const VmName &asked, const Result<FrameBody> &reply, const std::string &reason)
{
    const bool isOverdue = !reply && reply.error().kind == ErrorKind::DeadlineExceeded;
    const auto client = parts_.peers.client(asked);
    if (!isOverdue || leader_ != asked || !client) {
        loseLeader(asked, reply ? reason : reply.error().message);
        return;
    }
    if (isInDoubt_) {
        return;
    }
    // Guards a leader that has more to do than it can against entries that all search for it, and make it slower.
    isInDoubt_ = true;
    NewsRequest request;
    request.wantsContent = false;
    client->request(request, doubtTimeout, [this, asked](Result<FrameBody> answer, bool) {
        isInDoubt_ = false;
        const NewsReply *news = answer ? std::get_if<NewsReply>(&answer.value()) : nullptr;
        if (news != nullptr && news->isLeader && news->term >= leaderTerm_) {
            slow_.add();
            return;
        }
        loseLeader(asked, answer ? "it does not lead" : answer.error().message);
    });
}

void LedgerClient::logSearch()
{
    const TimePoint now = timeNow();
    if (now - searchingSince_ < longSearch || now - lastSearchLog_ < searchLogInterval) {
        return;
    }
    lastSearchLog_ = now;
    parts_.log.warn(
        "ledger.searching",
        {{"for_ms", toMs(now - searchingSince_)}, {"known", fmt::format("{}", fmt::join(everyone(), ","))}});
}

void LedgerClient::askWhoLeads(const VmName &peer)
{
    const auto client = parts_.peers.client(peer);
    if (!client) {
        return;
    }
    // Guards the leader's memory: this is asked ten times a second of all, and a list of thousands of servers in each
    // answer, to hundreds of entries, ended one leader after the other. The next question gets the news themselves.
    NewsRequest request;
    request.wantsContent = false;
    client->request(request, searchTimeout, [this, peer](Result<FrameBody> reply, bool) {
        const NewsReply *news = reply ? std::get_if<NewsReply>(&reply.value()) : nullptr;
        if (news == nullptr) {
            return;
        }
        // Guards against a deposed leader that answers first, as one does that is cut off from the other members only:
        // the leader that replaced it has a higher term, and whichever of the two answers later, that one is kept.
        const bool isNewer = leader_.empty() ? news->term >= leaderTerm_ : news->term > leaderTerm_;
        if (news->isLeader && isNewer) {
            follow(peer, *news);
        }
        if (news->isLeader || !leader_.empty()) {
            return;
        }
        // Guards an entry that starts while none of its seeds leads: they may have been exchanged, and the leader may
        // be a VM that it has never heard of. Whoever answers names the members that it knows.
        members_.insert(members_.end(), news->members.begin(), news->members.end());
        if (!news->leader.empty()) {
            members_.push_back(news->leader);
        }
    });
}

void LedgerClient::follow(const VmName &peer, const NewsReply &news)
{
    const VmName before = std::exchange(leader_, peer);
    takeNews(news);
    found_.cancel();
    if (!before.empty() && before != peer) {
        toldBySuccessor_.add();
        // Guards the turns that wait for an answer of the leader before, which may be frozen or gone: they are asked
        // for again at this one now and not after their time-out.
        parts_.peers.reconnect(before);
    }
}

void LedgerClient::watchVoters()
{
    // Only voters: VMs outside of the group can't come to lead before they are members, which the leader tells, and
    // where they are dozens, a question at each is most of what passes between failure domains.
    for (const VmName &peer : voters_) {
        if (peer != leader_ && watched_.insert(peer).second) {
            watch(peer);
        }
    }
}

void LedgerClient::watch(const VmName &peer)
{
    const auto client = parts_.peers.client(peer);
    if (!client) {
        watched_.erase(peer);
        return;
    }
    NewsRequest request;
    request.wantsContent = false;
    request.waitMs = static_cast<std::uint32_t>(watchWait.count());
    client->request(request, watchWait + watchMargin, [this, peer](Result<FrameBody> reply, bool) {
        // The next one is sent by watchVoters(), so that a VM that answers at once is not asked in a loop.
        watched_.erase(peer);
        const NewsReply *news = reply ? std::get_if<NewsReply>(&reply.value()) : nullptr;
        if (news != nullptr && news->isLeader && news->term > leaderTerm_) {
            follow(peer, *news);
        }
    });
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
        doubtLeader(peer, reply, "an unexpected reply");
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

asio::awaitable<bool> LedgerClient::finish(TurnFinish finish, TimePoint until)
{
    while (timeNow() < until) {
        const VmName peer = leader_;
        const auto client = peer.empty() ? nullptr : parts_.peers.client(peer);
        if (!client) {
            co_await sleepFor(retryPause);
            continue;
        }
        FrameBody body = finish;
        const Result<FrameBody> reply = co_await client->call(std::move(body), tryTimeout);
        const TurnFinishReply *answer = reply ? std::get_if<TurnFinishReply>(&reply.value()) : nullptr;
        if (answer != nullptr && answer->isDurable) {
            co_return true;
        }
        finishRetries_.add();
        doubtLeader(peer, reply, "it did not make the end durable");
        co_await sleepFor(retryPause);
    }
    co_return false;
}

asio::awaitable<std::optional<AdmitReply>> LedgerClient::admit(AdmitRequest request, TimePoint until)
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
        const AdmitReply *answer = reply ? std::get_if<AdmitReply>(&reply.value()) : nullptr;
        if (answer != nullptr && answer->status != AdmitStatus::NotLeader) {
            co_return *answer;
        }
        doubtLeader(peer, reply, "it does not lead");
        co_await sleepFor(retryPause);
    }
    co_return std::nullopt;
}

asio::awaitable<void> LedgerClient::readNews()
{
    loseLeader({}, "the start");
    while (!isStopped_) {
        const VmName peer = leader_;
        const auto client = peer.empty() ? nullptr : parts_.peers.client(peer);
        if (!client) {
            co_await sleepFor(retryPause);
            continue;
        }
        known_.waitMs = static_cast<std::uint32_t>(newsWait.count());
        known_.behindMs = lacksSince_ ? static_cast<std::uint32_t>(toMs(timeNow() - *lacksSince_)) : 0;
        FrameBody body = known_;
        const Result<FrameBody> reply = co_await client->call(std::move(body), newsTimeout);
        const NewsReply *news = reply ? std::get_if<NewsReply>(&reply.value()) : nullptr;
        if (news != nullptr && news->isLeader && news->term >= leaderTerm_) {
            takeNews(*news);
        } else if (leader_ == peer) {
            loseLeader(peer, reply ? "it does not lead" : reply.error().message);
        }
    }
}

void LedgerClient::takeNews(const NewsReply &news)
{
    members_ = news.members;
    voters_ = news.voters;
    leaderTerm_ = news.term;
    const Milliseconds age = newsAge();
    lastNews_ = timeNow();
    if (!hasLeader_) {
        hasLeader_ = true;
        parts_.log.info("ledger.found", {{"leader", leader_}, {"news_age_ms", age.count()}});
    }
    lag_.noteNewest(news.documentVersion, lastNews_);
    onNews_(news);
    const bool lacksList = known_.list < news.list;
    if (!lag_.isBehind() && !lacksList) {
        lacksSince_.reset();
    } else if (!lacksSince_) {
        lacksSince_ = lastNews_;
    }
}

void LedgerClient::setKnown(Known known)
{
    known_.documentVersion = known.documentVersion;
    known_.list = known.list;
    known_.documentDigests = std::move(known.documentDigests);
    known_.listDigests = std::move(known.listDigests);
    lag_.noteInForce(known.documentVersion);
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

Milliseconds LedgerClient::newsAge() const
{
    return std::chrono::duration_cast<Milliseconds>(timeNow() - lastNews_);
}

} // namespace cardamompost
