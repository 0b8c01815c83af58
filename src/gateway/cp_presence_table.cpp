#include "cp_presence_table.hpp"

#include <algorithm>

namespace cardamompost
{

bool PresenceTable::note(const Presence &presence, TimePoint now)
{
    Item &item = items_[presence.vm];
    const bool hasChanged = item.presence.address != presence.address || item.presence.isReady != presence.isReady;
    item = {presence, now};
    return hasChanged;
}

std::vector<EntryPlace> PresenceTable::ready(TimePoint now) const
{
    std::vector<EntryPlace> places;
    for (const auto &[vm, item] : items_) {
        if (item.presence.isReady && now - item.at < freshFor) {
            places.push_back({item.presence.address, item.presence.failureDomain});
        }
    }
    std::sort(places.begin(), places.end());
    return places;
}

bool PresenceTable::hasDarkDirectory(std::string_view failureDomain, TimePoint now) const
{
    return std::any_of(items_.begin(), items_.end(), [&](const auto &item) {
        const auto silence = now - item.second.at;
        return item.second.presence.isDirectory && item.second.presence.failureDomain == failureDomain
            && silence >= darkAfter && silence < goneAfter;
    });
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
