#ifndef CARDAMOMPOST_CP_MEMBER_PLANNER_HPP_INCLUDED
#define CARDAMOMPOST_CP_MEMBER_PLANNER_HPP_INCLUDED

#include <cardamompost/consensus/cp_membership.hpp>

#include <map>

namespace cardamompost
{

//! What the leader knows of a VM that is, or could be, a member of its group.
struct MemberCandidate {
    //! It was heard from lately.
    bool isLive = false;
    //! An operator wants it emptied.
    bool isRetiring = false;
    //! As a learner it holds all that is committed.
    bool isCaughtUp = false;
    //! Empty while it is not known; such VMs count as one failure domain.
    std::string failureDomain;
    //! It leads the group; of two voters that could go, the other one goes.
    bool isLeader = false;
};

//! By address, which is the name in the group.
using MemberCandidates = std::map<VmName, MemberCandidate>;

//! The next single step towards a group of live voters that are not to be emptied and that lie in as many failure
//! domains as there are; nothing when there is none to take.
//!
//! Guards against a group most of which stands in one failure domain, as when members are taken in by address: with
//! that domain the quorum is lost, and everybody waits although most VMs run. A voter of the domain with the most makes
//! room for a VM of a domain that has two fewer, so the spread can't be bettered by moving one to and fro.
//!
//! A voter is replaced only by a learner that has caught up, and is removed only after its successor votes, so no step
//! leaves an entry on fewer disks than a quorum of the desired size.
//! \param desiredVoters  as many as the losses to be borne ask for: twice their number and one
[[nodiscard]] std::optional<Membership> planMembership(const Membership &current, const MemberCandidates &candidates,
                                                       std::size_t desiredVoters);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_MEMBER_PLANNER_HPP_INCLUDED
