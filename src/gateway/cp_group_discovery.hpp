#ifndef CARDAMOMPOST_CP_GROUP_DISCOVERY_HPP_INCLUDED
#define CARDAMOMPOST_CP_GROUP_DISCOVERY_HPP_INCLUDED

#include "../daemon/cp_disk_thread.hpp"

#include <cardamompost/ledger/cp_membership_cache.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace cardamompost
{

//! Finds the group's leader for a ledger VM, from replies received since the start and from the membership cache on
//! disk.
//!
//! The cache only names VMs to query: a leader counts as known once a running VM has reported it to this process.
//! Thread-safety: none; runs on the io_context's thread.
class GroupDiscovery
{
public:
    struct Parts {
        boost::asio::io_context &io;
        DiskThread &disk;
        EventLog &log;
    };

    explicit GroupDiscovery(Parts parts);

    //! Reads the stored cache; call it before the disk thread starts. An unreadable cache is ignored, which leaves the
    //! seeds.
    void open(LogStore &store);
    void stop();

    //! Records the view of a leader that its quorum has just confirmed.
    void recordConfirmed(const GroupView &group);
    //! Records the notice of an unconfirmed leader. \returns true if it is not the leader known before
    bool recordNotice(const GroupView &group);
    //! Records the view of a VM that isn't a confirmed leader; its leader may be empty.
    void recordHint(const GroupView &group);
    void forgetLeader()
    {
        leader_.clear();
    }

    //! The leader last reported since the start; empty while none is known.
    [[nodiscard]] const VmName &leader() const
    {
        return leader_;
    }
    //! VMs that may know the leader, from the cache and from replies since the start.
    [[nodiscard]] std::vector<VmName> peers() const;

private:
    void scheduleStore();
    void store();

    Parts parts_;
    MembershipCache cache_;
    //! Revision of the stored cache.
    LogIndex revision_ = 0;
    boost::asio::steady_timer storeTimer_;
    bool isStoreScheduled_ = false;
    VmName leader_;
    Term leaderTerm_ = 0;
    //! Members reported by a VM that isn't a confirmed leader.
    std::vector<VmName> hintedPeers_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_GROUP_DISCOVERY_HPP_INCLUDED
