#ifndef CARDAMOMPOST_CP_MEMBER_PLANNER_HPP_INCLUDED
#define CARDAMOMPOST_CP_MEMBER_PLANNER_HPP_INCLUDED

#include <cardamompost/consensus/cp_membership.hpp>

#include <map>

namespace cardamompost
{

//! Leader's view of a VM that is or could become a member of its group.
struct MemberCandidate {
    //! A message from the VM arrived recently.
    bool isLive = false;
    //! An operator is draining the VM.
    bool isRetiring = false;
    //! The VM holds all committed entries, and the texts of all turns up to the leader's snapshot. Considered only for
    //! learners.
    bool isCaughtUp = false;
    //! VMs with an unknown (empty) failure domain count as one domain.
    std::string failureDomain;
    //! To balance failure domains, the leader is removed only if no other voter is in a domain with as many voters.
    bool isLeader = false;
};

//! Keyed by address, which is also the name in the group.
using MemberCandidates = std::map<VmName, MemberCandidate>;

//! Plans the next single-member change towards a group of live, non-retiring voters spread evenly over the failure
//! domains; returns nothing if no change is needed or possible.
//!
//! Spreading the voters keeps the quorum when a whole failure domain is lost. A voter is moved only to a domain with at
//! least two fewer voters, so the plan does not oscillate.
//!
//! A voter is replaced only by a learner that has caught up, and is removed only after its replacement votes, so no
//! step leaves an entry on fewer disks than a quorum of the desired size.
//! \param desiredVoters  2f + 1 to tolerate the loss of f voters
[[nodiscard]] std::optional<Membership> planMembership(const Membership &current, const MemberCandidates &candidates,
                                                       std::size_t desiredVoters);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_MEMBER_PLANNER_HPP_INCLUDED
