#ifndef CARDAMOMPOST_CP_PRESENCE_TABLE_HPP_INCLUDED
#define CARDAMOMPOST_CP_PRESENCE_TABLE_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/ledger/cp_ledger_message.hpp>
#include <cardamompost/liveness/cp_failure_detector.hpp>
#include <cardamompost/policy/cp_entry_selection.hpp>

#include <map>

namespace cardamompost
{

//! Entries and directories by their last heartbeat, with failure detection. Thread-safety: none.
class PresenceTable
{
public:
    //! Bounds of the time without a heartbeat after which an entry is suspected and left out of the directory.
    static constexpr SuspicionBounds entrySuspicion {Milliseconds(250), Milliseconds(900)};

    //! Time without a heartbeat after which a directory counts as unreachable.
    static constexpr Milliseconds unreachableAfter {600};
    //! Time without a heartbeat after which a directory is ignored.
    static constexpr Milliseconds ignoredAfter {20'000};

    //! Records a heartbeat. \returns true if the sender is new, or its address or state has changed
    bool record(const Presence &presence, TimePoint now);
    //! Entries that are ready and not suspected, sorted by address.
    [[nodiscard]] std::vector<EntryEndpoint> ready(TimePoint now) const;
    //! The same, or if there are none, the entries that are stopping and still accept requests.
    [[nodiscard]] std::vector<EntryEndpoint> accepting(TimePoint now) const;
    //! Share of a failure domain's directories that are unreachable, 0 to 1.
    [[nodiscard]] double unreachableShare(std::string_view failureDomain, TimePoint now) const;

private:
    struct Member {
        Presence presence;
        TimePoint lastHeartbeat {};
        FailureDetector detector {entrySuspicion};
    };

    //! Entries with a property that are not suspected, sorted by address.
    [[nodiscard]] std::vector<EntryEndpoint> select(bool Presence::*property, TimePoint now) const;
    [[nodiscard]] bool isSuspected(const Member &member, TimePoint now) const;

    std::map<VmName, Member> members_;
    //! Time of the last heartbeat of any member.
    TimePoint lastHeartbeat_ {};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_PRESENCE_TABLE_HPP_INCLUDED
