#include "cp_group_discovery.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <chrono>

namespace cardamompost
{

namespace
{

// Batches successive membership changes into one write.
constexpr Milliseconds storeDelay {200};
// The cache is stored as a snapshot record, whose term is not used.
constexpr Term cacheTerm = 1;

std::int64_t wallNowMs()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

GroupDiscovery::GroupDiscovery(Parts parts)
    : parts_(parts)
    , storeTimer_(parts.io)
{
}

void GroupDiscovery::open(LogStore &store)
{
    const Result<RaftStoredState> stored = store.loadRaft(membershipCacheGroup);
    if (!stored || stored.value().snapshot.index == 0) {
        return;
    }
    revision_ = stored.value().snapshot.index;
    Result<MembershipCache::Stored> cache = MembershipCache::decode(stored.value().snapshot.state);
    if (!cache) {
        parts_.log.warn("ledger.book_unreadable", {{"error", cache.error().message}});
        return;
    }
    cache_ = std::move(cache.value().cache);
    const GroupView &last = cache_.lastView();
    parts_.log.info("ledger.remembered",
                    {{"leader", last.leader},
                     {"term", last.term},
                     {"document", last.documentVersion},
                     {"peers", fmt::format("{}", fmt::join(cache_.peers(), ","))},
                     {"age_ms", wallNowMs() - cache.value().wallMs}});
}

void GroupDiscovery::stop()
{
    storeTimer_.cancel();
}

void GroupDiscovery::recordConfirmed(const GroupView &group)
{
    leader_ = group.leader;
    leaderTerm_ = group.term;
    hintedPeers_.clear();
    if (cache_.update(group)) {
        scheduleStore();
    }
}

bool GroupDiscovery::recordNotice(const GroupView &group)
{
    // A notice with a lower term comes from a deposed leader.
    if (group.term < leaderTerm_) {
        return false;
    }
    const bool isNewLeader = leader_ != group.leader;
    leader_ = group.leader;
    leaderTerm_ = group.term;
    return isNewLeader;
}

void GroupDiscovery::recordHint(const GroupView &group)
{
    leader_ = group.leader;
    hintedPeers_ = group.members;
}

std::vector<VmName> GroupDiscovery::peers() const
{
    std::vector<VmName> peers = cache_.peers();
    peers.insert(peers.end(), hintedPeers_.begin(), hintedPeers_.end());
    return peers;
}

void GroupDiscovery::scheduleStore()
{
    if (isStoreScheduled_) {
        return;
    }
    isStoreScheduled_ = true;
    storeTimer_.expires_after(storeDelay);
    storeTimer_.async_wait([this](const boost::system::error_code &error) {
        isStoreScheduled_ = false;
        if (!error) {
            store();
        }
    });
}

void GroupDiscovery::store()
{
    DiskThread::Job job;
    job.group = membershipCacheGroup;
    job.prepare = [revision = ++revision_, bytes = cache_.encode(wallNowMs())](LogStore & /*store*/, LogBatch &batch) {
        batch.putSnapshot(membershipCacheGroup, {revision, cacheTerm, {}, bytes});
    };
    job.finish = [&log = parts_.log, term = cache_.lastView().term](const Result<void> &written) {
        log.info("ledger.way_stored", {{"term", term}, {"stored", written.has_value()}});
    };
    parts_.disk.post(std::move(job));
}

} // namespace cardamompost
