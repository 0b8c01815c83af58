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
        parts_.log.warn("ledger.lost", {{"peer", asked}, {"reason", reason}, {"news_age_ms", updateAge().count()}});
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

void LedgerClient::suspectLeader(const VmName &asked, const Result<FrameBody> &reply, const std::string &reason)
{
    const bool isOverdue = !reply && reply.error().kind == ErrorKind::DeadlineExceeded;
    const auto client = parts_.peers.client(asked);
    if (!isOverdue || leader_ != asked || !client) {
        loseLeader(asked, reply ? reason : reply.error().message);
        return;
    }
    if (isSuspected_) {
        return;
    }
    // Guards a leader that has more to do than it can against entries that all search for it, and make it slower.
    isSuspected_ = true;
    UpdateRequest request;
    request.wantsContent = false;
    client->request(request, doubtTimeout, [this, asked](Result<FrameBody> answer, bool) {
        isSuspected_ = false;
        const UpdateReply *update = answer ? std::get_if<UpdateReply>(&answer.value()) : nullptr;
        if (update != nullptr && update->isLeader && update->term >= leaderTerm_) {
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
    UpdateRequest request;
    request.wantsContent = false;
    client->request(request, searchTimeout, [this, peer](Result<FrameBody> reply, bool) {
        const UpdateReply *update = reply ? std::get_if<UpdateReply>(&reply.value()) : nullptr;
        if (update == nullptr) {
            return;
        }
        // Guards against a deposed leader that answers first, as one does that is cut off from the other members only:
        // the leader that replaced it has a higher term, and whichever of the two answers later, that one is kept.
        const bool isNewer = leader_.empty() ? update->term >= leaderTerm_ : update->term > leaderTerm_;
        if (update->isLeader && isNewer) {
            follow(peer, *update);
        }
        if (update->isLeader || !leader_.empty()) {
            return;
        }
        // Guards an entry that starts while none of its seeds leads: they may have been exchanged, and the leader may
        // be a VM that it has never heard of. Whoever answers names the members that it knows.
        members_.insert(members_.end(), update->members.begin(), update->members.end());
        if (!update->leader.empty()) {
            members_.push_back(update->leader);
        }
    });
}

void LedgerClient::follow(const VmName &peer, const UpdateReply &update)
{
    const VmName before = std::exchange(leader_, peer);
    applyUpdate(update);
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
    UpdateRequest request;
    request.wantsContent = false;
    request.waitMs = static_cast<std::uint32_t>(watchWait.count());
    client->request(request, watchWait + watchMargin, [this, peer](Result<FrameBody> reply, bool) {
        // The next one is sent by watchVoters(), so that a VM that answers at once is not asked in a loop.
        watched_.erase(peer);
        const UpdateReply *update = reply ? std::get_if<UpdateReply>(&reply.value()) : nullptr;
        if (update != nullptr && update->isLeader && update->term > leaderTerm_) {
            follow(peer, *update);
        }
    });
}

} // namespace cardamompost
