#include <cardamompost/quarantine/cp_suspect_list.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

constexpr std::size_t maxHistory = 4096;

} // namespace

void SuspectList::record(RequestFingerprint request, std::uint64_t version)
{
    version_ = std::max(version_, version);
    history_.push_back({version_, request});
    while (history_.size() > maxHistory) {
        historyStart_ = history_.front().version;
        history_.pop_front();
    }
}

void SuspectList::add(RequestFingerprint request, std::uint64_t version)
{
    if (items_.insert(request).second) {
        record(request, version);
        latestAddition_ = version_;
    }
}

void SuspectList::remove(RequestFingerprint request, std::uint64_t version)
{
    if (items_.erase(request) != 0) {
        record(request, version);
    }
}

SuspectChanges SuspectList::changesSince(std::uint64_t version) const
{
    SuspectChanges changes;
    changes.version = version_;
    if (version == 0 || version < historyStart_ || version > version_) {
        changes.added.assign(items_.begin(), items_.end());
        return changes;
    }
    changes.since = version;
    const auto isOlder = [](std::uint64_t limit, const Change &change) { return limit < change.version; };
    std::unordered_set<RequestFingerprint> changed;
    for (auto change = std::upper_bound(history_.begin(), history_.end(), version, isOlder); change != history_.end();
         ++change) {
        if (changed.insert(change->request).second) {
            (items_.contains(change->request) ? changes.added : changes.removed).push_back(change->request);
        }
    }
    return changes;
}

void SuspectList::apply(const SuspectChanges &changes)
{
    if (changes.version <= version_ || changes.since > version_) {
        return;
    }
    const std::uint64_t version = changes.version;
    if (changes.since == 0) {
        const std::unordered_set<RequestFingerprint> complete(changes.added.begin(), changes.added.end());
        const std::vector<RequestFingerprint> known(items_.begin(), items_.end());
        for (const RequestFingerprint request : known) {
            if (!complete.contains(request)) {
                remove(request, version);
            }
        }
    }
    for (const RequestFingerprint request : changes.added) {
        add(request, version);
    }
    for (const RequestFingerprint request : changes.removed) {
        remove(request, version);
    }
    version_ = version;
}

} // namespace cardamompost
