#include "cp_presence_table.hpp"

#include <algorithm>

namespace cardamompost
{

bool PresenceTable::note(const Presence &presence, TimePoint now)
{
    Item &item = items_[presence.vm];
    const bool hasChanged = item.presence.address != presence.address || item.presence.isReady != presence.isReady;
    item.presence = presence;
    if (hasChanged) {
        item.gaps.restart(now);
    } else {
        item.gaps.observe(now);
    }
    item.at = now;
    lastHeard_ = now;
    return hasChanged;
}

bool PresenceTable::isSilent(const Item &item, TimePoint now) const
{
    // Guards against a VM that stood still itself and takes everybody else for silent: what counts is how long others
    // were heard and this one was not. Somebody who is the only one, or silent for very long, is silent all the same.
    return lastHeard_ - item.at >= item.gaps.suspicionTimeout() || now - item.at >= entrySilence.ceiling;
}

std::vector<EntryPlace> PresenceTable::ready(TimePoint now) const
{
    std::vector<EntryPlace> places;
    for (const auto &[vm, item] : items_) {
        if (item.presence.isReady && !isSilent(item, now)) {
            places.push_back({item.presence.address, item.presence.failureDomain});
        }
    }
    std::sort(places.begin(), places.end(),
              [](const EntryPlace &left, const EntryPlace &right) { return left.address < right.address; });
    return places;
}

double PresenceTable::unreachableShare(std::string_view failureDomain, TimePoint now) const
{
    double known = 0;
    double dark = 0;
    for (const auto &[vm, item] : items_) {
        const auto silence = now - item.at;
        if (item.presence.isDirectory && item.presence.failureDomain == failureDomain && silence < goneAfter) {
            known += 1;
            dark += silence >= unreachableAfter ? 1 : 0;
        }
    }
    return known == 0 ? 0 : dark / known;
}

std::vector<std::string> addressesFor(std::string_view failureDomain, const std::vector<EntryPlace> &entries,
                                      std::size_t most)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const EntryPlace &entry : entries) {
        (entry.failureDomain == failureDomain ? near : far).push_back(entry.address);
    }
    near.insert(near.end(), far.begin(), far.end());
    if (near.size() > most) {
        near.resize(most);
    }
    return near;
}

} // namespace cardamompost
