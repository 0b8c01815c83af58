#ifndef CARDAMOMPOST_CP_PRESENCE_TABLE_HPP_INCLUDED
#define CARDAMOMPOST_CP_PRESENCE_TABLE_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/ledger/cp_ledger_message.hpp>
#include <cardamompost/liveness/cp_silence_detector.hpp>

#include <map>

namespace cardamompost
{

//! Which entries take requests and which directories answer, as they said themselves within the last seconds.
//! Thread-safety: none.
class PresenceTable
{
public:
    //! An entry that was silent for longer than usual, between these, gets no new callers.
    static constexpr SuspicionBounds entrySilence {Milliseconds(250), Milliseconds(900)};

    //! From so long a silence on a directory is dark: each caller that asks it waits for a second in vain.
    static constexpr Milliseconds unreachableAfter {600};
    //! One that was silent for longer will not come back at its address, and callers know it no more.
    static constexpr Milliseconds goneAfter {20'000};

    //! \returns true when the entry is new, or has changed what it says
    bool note(const Presence &presence, TimePoint now);
    //! In order of their addresses.
    [[nodiscard]] std::vector<EntryPlace> ready(TimePoint now) const;
    //! Of a failure domain's directories, the share that is dark, 0 to 1.
    [[nodiscard]] double unreachableShare(std::string_view failureDomain, TimePoint now) const;

private:
    struct Item {
        Presence presence;
        TimePoint at {};
        SilenceDetector gaps {entrySilence};
    };

    [[nodiscard]] bool isSilent(const Item &item, TimePoint now) const;

    std::map<VmName, Item> items_;
    //! When anybody was heard last.
    TimePoint lastHeard_ {};
};

//! Addresses of entries, those of a failure domain first.
//! \param most  no more than so many
[[nodiscard]] std::vector<std::string> addressesFor(std::string_view failureDomain,
                                                    const std::vector<EntryPlace> &entries, std::size_t most);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_PRESENCE_TABLE_HPP_INCLUDED
