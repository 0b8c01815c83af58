#include "cp_group_discovery.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <chrono>

namespace cardamompost
{

namespace
{

// Changes of members come in threes; a write for each would be a sync for each.
constexpr Milliseconds storeDelay {200};
constexpr Term bookTerm = 1;

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
    const GroupView &last = cache_.last();
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

void GroupDiscovery::noteConfirmed(const GroupView &group)
{
    leader_ = group.leader;
    leaderTerm_ = group.term;
    hinted_.clear();
    if (cache_.note(group)) {
        storeSoon();
    }
}

bool GroupDiscovery::noteNotice(const GroupView &group)
{
    // Guards against a deposed leader that still calls: the one that replaced it has a higher term.
    if (group.term < leaderTerm_) {
        return false;
    }
    const bool isOther = leader_ != group.leader;
    leader_ = group.leader;
    leaderTerm_ = group.term;
    return isOther;
}

void GroupDiscovery::noteHint(const GroupView &group)
{
    leader_ = group.leader;
    hinted_ = group.members;
}

std::vector<VmName> GroupDiscovery::peers() const
{
    std::vector<VmName> peers = cache_.peers();
    peers.insert(peers.end(), hinted_.begin(), hinted_.end());
    return peers;
}

void GroupDiscovery::storeSoon()
{
    if (isStoreArmed_) {
        return;
    }
    isStoreArmed_ = true;
    storeTimer_.expires_after(storeDelay);
    storeTimer_.async_wait([this](const boost::system::error_code &error) {
        isStoreArmed_ = false;
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
        batch.putSnapshot(membershipCacheGroup, {revision, bookTerm, {}, bytes});
    };
    job.finish = [&log = parts_.log, term = cache_.last().term](const Result<void> &written) {
        log.info("ledger.way_stored", {{"term", term}, {"stored", written.has_value()}});
    };
    parts_.disk.post(std::move(job));
}

} // namespace cardamompost
