#ifndef CARDAMOMPOST_CP_GROUP_DISCOVERY_HPP_INCLUDED
#define CARDAMOMPOST_CP_GROUP_DISCOVERY_HPP_INCLUDED

#include "../daemon/cp_disk_thread.hpp"

#include <cardamompost/ledger/cp_membership_cache.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace cardamompost
{

//! A ledger VM's way to the group's leader: who was told of since the start, and the book of it on the disk.
//!
//! Nothing of it is obeyed. What the book remembers is only asked, and a leader counts as known only once it, or
//! somebody who runs, has named it since this process began. Thread-safety: none; the io_context's thread.
class GroupDiscovery
{
public:
    struct Parts {
        boost::asio::io_context &io;
        DiskThread &disk;
        EventLog &log;
    };

    explicit GroupDiscovery(Parts parts);

    //! Reads the book. Only before the disk's thread runs. A book that can't be read is left aside: seeds are left.
    void open(LogStore &store);
    void stop();

    //! A leader that its quorum has just confirmed told of itself.
    void noteConfirmed(const GroupView &group);
    //! A leader that nobody has confirmed told of itself. \returns true when it is another than the one known
    bool noteNotice(const GroupView &group);
    //! Somebody else, asked for the leader, answered this; it may know none.
    void noteHint(const GroupView &group);
    void forgetLeader()
    {
        leader_.clear();
    }

    //! The leader that was named last since the start; empty while none is known.
    [[nodiscard]] const VmName &leader() const
    {
        return leader_;
    }
    //! VMs that may know the leader, from the book and from answers since the start.
    [[nodiscard]] std::vector<VmName> peers() const;

private:
    void storeSoon();
    void store();

    Parts parts_;
    MembershipCache cache_;
    //! Of the book on the disk.
    LogIndex revision_ = 0;
    boost::asio::steady_timer storeTimer_;
    bool isStoreArmed_ = false;
    VmName leader_;
    Term leaderTerm_ = 0;
    //! Named by others as members, and not by a confirmed leader.
    std::vector<VmName> hinted_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_GROUP_DISCOVERY_HPP_INCLUDED
