#ifndef CARDAMOMPOST_CP_PRESENCE_TABLE_HPP_INCLUDED
#define CARDAMOMPOST_CP_PRESENCE_TABLE_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/ledger/cp_ledger_message.hpp>

#include <map>

namespace cardamompost
{

//! Which entries take requests, as they said themselves within the last seconds.
class PresenceTable
{
public:
    //! An entry that was silent for so long gets no new callers.
    static constexpr Milliseconds freshFor {900};

    //! \returns true when the entry is new, or has changed what it says
    bool note(const Presence &presence, TimePoint now)
    {
        Item &item = items_[presence.vm];
        const bool hasChanged = item.presence.address != presence.address || item.presence.isReady != presence.isReady;
        item = {presence, now};
        return hasChanged;
    }
    //! Addresses of entries that are ready, those of the caller's failure domain first.
    [[nodiscard]] std::vector<std::string> ready(std::string_view failureDomain, TimePoint now, std::size_t most) const
    {
        std::vector<std::string> near;
        std::vector<std::string> far;
        for (const auto &[vm, item] : items_) {
            if (item.presence.isReady && now - item.at < freshFor) {
                (item.presence.failureDomain == failureDomain ? near : far).push_back(item.presence.address);
            }
        }
        near.insert(near.end(), far.begin(), far.end());
        if (near.size() > most) {
            near.resize(most);
        }
        return near;
    }

private:
    struct Item {
        Presence presence;
        TimePoint at {};
    };

    std::map<VmName, Item> items_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_PRESENCE_TABLE_HPP_INCLUDED
