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
// Long enough for an overloaded leader to confirm that it leads.
constexpr Milliseconds leaderCheckTimeout {400};
constexpr Milliseconds searchTimeout {300};
// Non-voters queried in one round of a search.
constexpr std::size_t nonVotersPerSearch = 8;
constexpr Milliseconds searchInterval {100};
// Shorter searches are part of an ordinary leader election.
constexpr Milliseconds minLoggedSearch {1000};
constexpr Milliseconds searchLogInterval {2000};
// How long a voter holds a watch request, and the margin for its reply.
constexpr Milliseconds watchWait {2000};
constexpr Milliseconds watchMargin {500};

TimePoint timeNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

std::set<VmName> LedgerClient::knownLedgerVms() const
{
    std::set<VmName> all(seeds_.begin(), seeds_.end());
    for (const LedgerPeer &peer : ledgerVms_.list()) {
        all.insert(peer.peer);
    }
    return all;
}

void LedgerClient::dropLeader(const VmName &peer, const std::string &reason)
{
    // A late reply of a former leader doesn't concern the current one.
    if (!leader_.empty() && leader_ != peer) {
        return;
    }
    leader_.clear();
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
    // Queries run in parallel, since each unreachable VM would otherwise delay all turns by its timeout.
    while (leader_.empty() && !isStopped_) {
        for (const VmName &peer : nextSearchTargets()) {
            queryLeader(peer);
        }
        logSearch();
        searchTimer_.expires_after(searchInterval);
        co_await searchTimer_.async_wait(asTuple);
    }
    isSearching_ = false;
}

std::vector<VmName> LedgerClient::nextSearchTargets()
{
    const std::set<VmName> all = knownLedgerVms();
    std::vector<VmName> others;
    std::vector<VmName> targets;
    for (const VmName &peer : all) {
        const bool isVoter = std::find(voters_.begin(), voters_.end(), peer) != voters_.end();
        (isVoter ? targets : others).push_back(peer);
    }
    // Voters are queried in each round and the others in rotation, which bounds the load from many searching entries.
    const std::size_t count = std::min(nonVotersPerSearch, others.size());
    for (std::size_t i = 0; i < count; ++i) {
        targets.push_back(others[(searchRounds_ * nonVotersPerSearch + i) % others.size()]);
    }
    ++searchRounds_;
    return targets;
}

void LedgerClient::suspectLeader(const VmName &peer, const Result<FrameBody> &reply, const std::string &reason)
{
    const bool isTimeout = !reply && reply.error().kind == ErrorKind::DeadlineExceeded;
    const auto client = parts_.peers.client(peer);
    if (!isTimeout || leader_ != peer || !client) {
        dropLeader(peer, reply ? reason : reply.error().message);
        return;
    }
    if (isCheckingLeader_) {
        return;
    }
    // Checking first keeps entries from searching when the leader is only overloaded, which would add to its load.
    isCheckingLeader_ = true;
    UpdateRequest request;
    request.wantsContent = false;
    client->request(request, leaderCheckTimeout, [this, peer](Result<FrameBody> answer, bool) {
        isCheckingLeader_ = false;
        const UpdateReply *update = answer ? std::get_if<UpdateReply>(&answer.value()) : nullptr;
        if (update != nullptr && update->isLeader && update->term >= leaderTerm_) {
            slowLeaders_.add();
            return;
        }
        dropLeader(peer, answer ? "peer is not the leader" : answer.error().message);
    });
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
        {{"for_ms", toMs(now - searchingSince_)}, {"known", fmt::format("{}", fmt::join(knownLedgerVms(), ","))}});
}

void LedgerClient::queryLeader(const VmName &peer)
{
    const auto client = parts_.peers.client(peer);
    if (!client) {
        return;
    }
    // Without content, which would exhaust the leader's memory when many entries search. The next update request
    // fetches it.
    UpdateRequest request;
    request.wantsContent = false;
    client->request(request, searchTimeout, [this, peer](Result<FrameBody> reply, bool) {
        const UpdateReply *update = reply ? std::get_if<UpdateReply>(&reply.value()) : nullptr;
        if (update == nullptr) {
            return;
        }
        // A deposed leader that is cut off from the other members may still answer, even first. The leader with the
        // higher term is kept, in whichever order the replies arrive.
        const bool isNewer = leader_.empty() ? update->term >= leaderTerm_ : update->term > leaderTerm_;
        if (update->isLeader && isNewer) {
            adoptLeader(peer, *update);
        }
        if (update->isLeader || !leader_.empty()) {
            return;
        }
        // The seeds may have been replaced since, and the leader may be an unknown VM: the reply's members are queried
        // next.
        std::vector<LedgerPeer> known = ledgerVms_.list();
        known.insert(known.end(), update->peers.begin(), update->peers.end());
        if (!update->leader.empty()) {
            known.push_back({update->leader, {}});
        }
        setPeers(std::move(known));
    });
}

void LedgerClient::adoptLeader(const VmName &peer, const UpdateReply &update)
{
    const VmName before = std::exchange(leader_, peer);
    applyUpdate(update);
    searchTimer_.cancel();
    if (!before.empty() && before != peer) {
        leaderSwitches_.add();
        // Fails requests pending at the former leader, so that they are retried here at once and not after their
        // timeout.
        parts_.peers.reconnect(before);
    }
}

void LedgerClient::watchVoters()
{
    // Only voters can be elected. Watching all ledger VMs would cause much traffic between failure domains.
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
    UpdateRequest request;
    request.wantsContent = false;
    request.waitMs = static_cast<std::uint32_t>(watchWait.count());
    client->request(request, watchWait + watchMargin, [this, peer](Result<FrameBody> reply, bool) {
        // watchVoters() sends the next request, so that an immediate reply doesn't cause a busy loop.
        watched_.erase(peer);
        const UpdateReply *update = reply ? std::get_if<UpdateReply>(&reply.value()) : nullptr;
        if (update != nullptr && update->isLeader && update->term > leaderTerm_) {
            adoptLeader(peer, *update);
        }
    });
}

} // namespace cardamompost
