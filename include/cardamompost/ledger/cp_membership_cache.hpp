#ifndef CARDAMOMPOST_CP_MEMBERSHIP_CACHE_HPP_INCLUDED
#define CARDAMOMPOST_CP_MEMBERSHIP_CACHE_HPP_INCLUDED

#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/ledger/cp_ledger_message.hpp>

namespace cardamompost
{

//! What a VM outside of the ledger's group knows of the way there, for after a restart.
//!
//! Guards against a fleet that forgets its group. Most ledger VMs are no members; once everything was off they know
//! the seeds of their settings alone, and these may be blank or never have been members either. Then each asks the
//! others and nobody names a member, although a quorum runs. Whoever is in the book is only asked: what is in force is
//! told by a leader that a quorum confirms.
//! Thread-safety: none.
class MembershipCache
{
public:
    //! Former members are kept up to this number, those seen last first: a leader may be an old one again.
    static constexpr std::size_t maxPeers = 16;

    //! Notes what a leader told. \returns true when the book has changed and is worth storing
    bool note(const GroupView &groupView);

    [[nodiscard]] const GroupView &last() const
    {
        return last_;
    }
    //! Whom to ask, members of the last sighting first.
    [[nodiscard]] const std::vector<VmName> &peers() const
    {
        return peers_;
    }

    //! \param wallMs  time of day; tells a reader of the logs how old the book is, and decides nothing
    [[nodiscard]] std::string encode(std::int64_t wallMs) const;

    struct Stored;
    //! Errors: StorageCorrupt.
    [[nodiscard]] static Result<Stored> decode(const std::string &bytes);

private:
    GroupView last_;
    std::vector<VmName> peers_;
};

//! A book as it was read back, and when it was written.
struct MembershipCache::Stored {
    MembershipCache cache;
    std::int64_t wallMs = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_MEMBERSHIP_CACHE_HPP_INCLUDED
