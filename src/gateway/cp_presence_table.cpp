#include "cp_presence_table.hpp"

#include <algorithm>

namespace cardamompost
{

namespace
{

constexpr double permillePerUnit = 1000;

} // namespace

bool PresenceTable::record(const Presence &presence, TimePoint now)
{
    Member &member = members_[presence.vm];
    const bool hasChanged = member.presence.address != presence.address || member.presence.isReady != presence.isReady
        || member.presence.isAccepting != presence.isAccepting;
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
    return select(&Presence::isReady, now);
}

std::vector<EntryEndpoint> PresenceTable::accepting(TimePoint now) const
{
    std::vector<EntryEndpoint> endpoints = ready(now);
    return endpoints.empty() ? select(&Presence::isAccepting, now) : endpoints;
}

std::vector<EntryEndpoint> PresenceTable::select(bool Presence::*property, TimePoint now) const
{
    std::vector<EntryEndpoint> endpoints;
    for (const auto &[vm, member] : members_) {
        if (member.presence.*property && !isSuspected(member, now)) {
            endpoints.push_back({member.presence.address, member.presence.failureDomain,
                                 member.presence.loadPermille / permillePerUnit});
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

} // namespace cardamompost
