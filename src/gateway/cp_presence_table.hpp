#ifndef CARDAMOMPOST_CP_PRESENCE_TABLE_HPP_INCLUDED
#define CARDAMOMPOST_CP_PRESENCE_TABLE_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/ledger/cp_ledger_message.hpp>

#include <map>

namespace cardamompost
{

//! Which entries take requests and which directories answer, as they said themselves within the last seconds. Thread-safety: none.
class PresenceTable
{
public:
    //! An entry that was silent for so long gets no new callers.
    static constexpr Milliseconds freshFor {900};

    //! From so long a silence on a directory is dark: each caller that asks it waits for a second in vain.
    static constexpr Milliseconds darkAfter {600};
    //! One that was silent for longer will not come back at its address, and callers know it no more.
    static constexpr Milliseconds goneAfter {20'000};

    //! \returns true when the entry is new, or has changed what it says
    bool note(const Presence &presence, TimePoint now);
    //! In order of their addresses.
    [[nodiscard]] std::vector<EntryPlace> ready(TimePoint now) const;
    //! True while a directory of a failure domain is dark.
    [[nodiscard]] bool hasDarkDirectory(std::string_view failureDomain, TimePoint now) const;

private:
    struct Item {
        Presence presence;
        TimePoint at {};
    };

    std::map<VmName, Item> items_;
};

//! Addresses of entries, those of a failure domain first.
//! \param most  no more than so many
[[nodiscard]] std::vector<std::string> addressesFor(std::string_view failureDomain,
                                                    const std::vector<EntryPlace> &entries, std::size_t most);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_PRESENCE_TABLE_HPP_INCLUDED
