#ifndef CARDAMOMPOST_CP_MEMBERSHIP_CACHE_HPP_INCLUDED
#define CARDAMOMPOST_CP_MEMBERSHIP_CACHE_HPP_INCLUDED

#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/ledger/cp_ledger_message.hpp>

namespace cardamompost
{

//! Persistent cache of the consensus group's members, kept by ledger VMs outside the group.
//!
//! Lets a VM find the group after a restart of the whole fleet, when the configured seeds may not be members. Cached
//! peers are only contact points; leader and term are valid only when confirmed by a quorum.
//! Thread-safety: none.
class MembershipCache
{
public:
    //! Limit for current and former members together; the members seen longest ago are dropped first.
    static constexpr std::size_t maxPeers = 16;

    //! Records a view of the group. \returns true if leader, term or members changed, so that the cache has to be
    //! stored
    bool update(const GroupView &groupView);

    //! The view recorded last, for diagnostics.
    [[nodiscard]] const GroupView &lastView() const
    {
        return lastView_;
    }
    //! Peers to contact, the most recent members first.
    [[nodiscard]] const std::vector<VmName> &peers() const
    {
        return peers_;
    }

    //! \param wallMs  wall-clock time of writing, for diagnostics only
    [[nodiscard]] std::string encode(std::int64_t wallMs) const;

    struct Stored;
    //! Errors: StorageCorrupt.
    [[nodiscard]] static Result<Stored> decode(const std::string &bytes);

private:
    GroupView lastView_;
    std::vector<VmName> peers_;
};

//! A decoded cache and the wall-clock time at which it was written.
struct MembershipCache::Stored {
    MembershipCache cache;
    std::int64_t wallMs = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_MEMBERSHIP_CACHE_HPP_INCLUDED
