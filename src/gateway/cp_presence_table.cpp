#include "cp_presence_table.hpp"

#include <algorithm>

namespace cardamompost
{

bool PresenceTable::record(const Presence &presence, TimePoint now)
{
    Member &member = members_[presence.vm];
    const bool hasChanged = member.presence.address != presence.address || member.presence.isReady != presence.isReady;
    member.presence = presence;
    if (hasChanged) {
        member.detector.restart(now);
    } else {
        member.detector.observe(now);
    }
    member.lastHeartbeat = now;
    lastHeartbeat_ = now;
    return hasChanged;
}

bool PresenceTable::isSuspected(const Member &member, TimePoint now) const
{
    // Measured against the last heartbeat of any member, so that a directory that was suspended itself does not suspect
    // all of them. The ceiling covers a lone member.
    return lastHeartbeat_ - member.lastHeartbeat >= member.detector.suspicionTimeout()
        || now - member.lastHeartbeat >= entrySuspicion.ceiling;
}

std::vector<EntryEndpoint> PresenceTable::ready(TimePoint now) const
{
    std::vector<EntryEndpoint> endpoints;
    for (const auto &[vm, member] : members_) {
        if (member.presence.isReady && !isSuspected(member, now)) {
            endpoints.push_back({member.presence.address, member.presence.failureDomain});
        }
    }
    std::sort(endpoints.begin(), endpoints.end(),
              [](const EntryEndpoint &left, const EntryEndpoint &right) { return left.address < right.address; });
    return endpoints;
}

double PresenceTable::unreachableShare(std::string_view failureDomain, TimePoint now) const
{
    double total = 0;
    double unreachable = 0;
    for (const auto &[vm, member] : members_) {
        const auto timeSinceHeartbeat = now - member.lastHeartbeat;
        if (member.presence.isDirectory && member.presence.failureDomain == failureDomain
            && timeSinceHeartbeat < ignoredAfter) {
            total += 1;
            unreachable += timeSinceHeartbeat >= unreachableAfter ? 1 : 0;
        }
    }
    return total == 0 ? 0 : unreachable / total;
}

namespace
{

//! Reduces the addresses to at most maxCount, which depend on the seed.
void sample(std::vector<std::string> &addresses, std::size_t maxCount, std::uint64_t seed)
{
    if (addresses.size() <= maxCount) {
        return;
    }
    std::sort(addresses.begin(), addresses.end(), [seed](const std::string &left, const std::string &right) {
        return stableHash(left, seed) < stableHash(right, seed);
    });
    addresses.resize(maxCount);
    std::sort(addresses.begin(), addresses.end());
}

} // namespace

std::vector<std::string> addressesFor(std::string_view failureDomain, const std::vector<EntryEndpoint> &entries,
                                      std::size_t maxCount, std::uint64_t seed)
{
    std::vector<std::string> addresses;
    std::vector<std::string> remote;
    for (const EntryEndpoint &entry : entries) {
        (entry.failureDomain == failureDomain ? addresses : remote).push_back(entry.address);
    }
    sample(addresses, maxCount, seed);
    sample(remote, maxCount - addresses.size(), seed);
    addresses.insert(addresses.end(), remote.begin(), remote.end());
    return addresses;
}

} // namespace cardamompost
