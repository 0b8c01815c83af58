#ifndef CARDAMOMPOST_CP_RELAY_SELECTOR_HPP_INCLUDED
#define CARDAMOMPOST_CP_RELAY_SELECTOR_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/ledger/cp_ledger_peers.hpp>

#include <unordered_map>

namespace cardamompost
{

//! Chooses the ledger VM that an entry polls for updates.
//!
//! A few VMs of each failure domain are relays, the same for all entries, so that the leader has to serve only those.
//! The entries of a domain spread evenly over its relays by rendezvous hashing. A relay that fails is not used for a
//! time that doubles with each failure; then the entry turns to a relay in another domain, next to another one of its
//! own, and so on. Thread-safety: none. Time is an argument.
class RelaySelector
{
public:
    RelaySelector(std::string entry, std::string failureDomain)
        : entry_(std::move(entry))
        , failureDomain_(std::move(failureDomain))
    {
    }

    void setPeers(const std::vector<LedgerPeer> &peers);
    //! The relay to poll now; empty if no ledger VM is known.
    [[nodiscard]] VmName current(TimePoint now) const;
    //! The relay that would be polled if the current one failed; empty if there is no other.
    [[nodiscard]] VmName standby(TimePoint now) const;
    //! Records that a relay has failed or has not heard from the leader. \returns true for its first failure
    bool suspect(const VmName &relay, TimePoint now);
    //! Records a reply of a relay that has heard from the leader.
    void trust(const VmName &relay)
    {
        suspicions_.erase(relay);
    }
    //! All ledger VMs in the order of preference.
    [[nodiscard]] const std::vector<VmName> &order() const
    {
        return order_;
    }

private:
    struct Suspicion {
        unsigned failures = 0;
        TimePoint until {};
    };

    //! The first relay that is not suspected, or else the one whose suspicion ends first.
    [[nodiscard]] VmName best(TimePoint now, const VmName &excluded) const;

    std::string entry_;
    std::string failureDomain_;
    std::vector<VmName> order_;
    std::unordered_map<VmName, Suspicion> suspicions_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_RELAY_SELECTOR_HPP_INCLUDED
