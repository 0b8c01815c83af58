#include "cp_ledger_client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/ranges.h>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr Milliseconds searchTimeout {300};
// Ledger VMs queried in one round of a search.
constexpr std::size_t queriesPerSearch = 3;
// Pause after a round, which doubles with each round up to the maximum.
constexpr Milliseconds minSearchInterval {100};
constexpr Milliseconds maxSearchInterval {400};
// Shorter searches are part of an ordinary leader election.
constexpr Milliseconds minLoggedSearch {1000};
constexpr Milliseconds searchLogInterval {2000};
// How long the standby relay holds a request, and the margin for its reply.
constexpr Milliseconds watchWait {2000};
constexpr Milliseconds watchMargin {500};

TimePoint timeNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

void LedgerClient::dropLeader(const VmName &peer, const std::string &reason)
{
    // A late reply of a former leader doesn't concern the current one.
    if (!leader_.empty() && leader_ != peer) {
        return;
    }
    if (!leader_.empty()) {
        droppedLeader_ = std::exchange(leader_, {});
        droppedAt_ = timeNow();
    }
    if (hasLeader_) {
        hasLeader_ = false;
        lostLeaders_.add();
        parts_.log.warn("ledger.lost", {{"peer", peer}, {"reason", reason}, {"news_age_ms", updateAge().count()}});
    }
    if (!isSearching_ && !isStopped_) {
        isSearching_ = true;
        searchingSince_ = timeNow();
        asio::co_spawn(parts_.io, search(), asio::detached);
    }
}

asio::awaitable<void> LedgerClient::search()
{
    // A relay also reports a new leader, but the relay may be lost together with the former one.
    Milliseconds interval = minSearchInterval;
    while (leader_.empty() && !isStopped_) {
        // Queries run in parallel, since each unreachable VM would otherwise delay all turns by its timeout.
        for (const VmName &peer : nextSearchTargets()) {
            queryLeader(peer);
        }
        logSearch();
        searchTimer_.expires_after(interval);
        co_await searchTimer_.async_wait(asTuple);
        interval = std::min(2 * interval, maxSearchInterval);
    }
    isSearching_ = false;
}

std::vector<VmName> LedgerClient::nextSearchTargets()
{
    const std::vector<VmName> &order = relays_.order();
    std::vector<VmName> targets;
    // The dropped leader may lead still, if only its connection was lost.
    if (!droppedLeader_.empty()) {
        targets.push_back(droppedLeader_);
    }
    const std::size_t count = std::min(queriesPerSearch, order.size());
    for (std::size_t i = 0; i < count; ++i) {
        targets.push_back(order[(searchRounds_ * queriesPerSearch + i) % order.size()]);
    }
    ++searchRounds_;
    return targets;
}

void LedgerClient::handleFailure(const VmName &peer, const Result<FrameBody> &reply, const std::string &reason)
{
    if (leader_ != peer) {
        return;
    }
    const bool isSilent = !reply && reply.error().kind == ErrorKind::DeadlineExceeded;
    if (isSilent) {
        // A slow leader and a lost one are silent alike. A later leader is reported by the relay.
        slowLeaders_.add();
        return;
    }
    dropLeader(peer, reply ? reason : reply.error().message);
}

void LedgerClient::logSearch()
{
    const TimePoint now = timeNow();
    if (now - searchingSince_ < minLoggedSearch || now - lastSearchLogAt_ < searchLogInterval) {
        return;
    }
    lastSearchLogAt_ = now;
    parts_.log.warn(
        "ledger.searching",
        {{"for_ms", toMs(now - searchingSince_)}, {"known", fmt::format("{}", fmt::join(relays_.order(), ","))}});
}

void LedgerClient::queryLeader(const VmName &peer)
{
    const auto client = parts_.peers.client(peer);
    if (!client) {
        return;
    }
    UpdateRequest request;
    request.wantsContent = false;
    request.peersDigest = ledgerVms_.digest();
    client->request(request, searchTimeout, [this](Result<FrameBody> reply, bool) {
        const UpdateReply *update = reply ? std::get_if<UpdateReply>(&reply.value()) : nullptr;
        if (update == nullptr) {
            return;
        }
        recordLeader(*update);
        if (!leader_.empty() || update->peersDigest == ledgerVms_.digest()) {
            return;
        }
        // The seeds may have been replaced since, and the leader may be an unknown VM: the reply's VMs are queried
        // next.
        std::vector<LedgerPeer> known = ledgerVms_.list();
        for (const LedgerPeer &reported : update->peers) {
            const bool isKnown = std::any_of(known.begin(), known.end(),
                                             [&](const LedgerPeer &other) { return other.peer == reported.peer; });
            if (!isKnown) {
                known.push_back(reported);
            }
        }
        setPeers(std::move(known));
    });
}

void LedgerClient::watchStandby()
{
    const VmName standby = isWatching_ ? VmName {} : relays_.standby(timeNow());
    const auto client = standby.empty() ? nullptr : parts_.peers.client(standby);
    if (!client) {
        return;
    }
    isWatching_ = true;
    UpdateRequest request;
    request.wantsContent = false;
    request.waitMs = static_cast<std::uint32_t>(watchWait.count());
    request.knownTerm = leaderTerm_;
    request.peersDigest = ledgerVms_.digest();
    client->request(request, watchWait + watchMargin, [this, standby](Result<FrameBody> reply, bool) {
        // The next heartbeat sends the next request, so that an immediate reply doesn't cause a busy loop.
        isWatching_ = false;
        const UpdateReply *update = reply ? std::get_if<UpdateReply>(&reply.value()) : nullptr;
        if (update != nullptr) {
            recordLeader(*update);
        } else {
            relays_.suspect(standby, timeNow());
        }
    });
}

void LedgerClient::recordLeader(const UpdateReply &update)
{
    if (update.leader.empty()) {
        return;
    }
    // A deposed leader that is cut off from the other members may still answer, and a relay may not know yet that the
    // leader was lost.
    const bool isHeardSinceDrop = timeNow() - Milliseconds(update.ageMs) > droppedAt_;
    const bool isNewer = update.term > leaderTerm_
        || (leader_.empty() && update.term == leaderTerm_ && (update.isLeader || isHeardSinceDrop));
    if (!isNewer) {
        return;
    }
    const VmName before = std::exchange(leader_, update.leader);
    leaderTerm_ = update.term;
    hasLeader_ = true;
    parts_.log.info("ledger.found", {{"leader", leader_}, {"term", leaderTerm_}, {"news_age_ms", updateAge().count()}});
    searchTimer_.cancel();
    if (!before.empty() && before != leader_) {
        leaderSwitches_.add();
        // Fails requests pending at the former leader, so that they are retried here at once and not after their
        // timeout.
        parts_.peers.reconnect(before);
    }
}

} // namespace cardamompost
