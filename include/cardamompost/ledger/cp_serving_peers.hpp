#ifndef CARDAMOMPOST_CP_SERVING_PEERS_HPP_INCLUDED
#define CARDAMOMPOST_CP_SERVING_PEERS_HPP_INCLUDED

#include <cardamompost/consensus/cp_membership.hpp>
#include <cardamompost/ledger/cp_ledger_peers.hpp>
#include <cardamompost/ledger/cp_ledger_state.hpp>

#include <map>

namespace cardamompost
{

//! The ledger VMs that others may contact: all but those that were retired and have left the group, most of which no
//! longer exist.
[[nodiscard]] std::vector<LedgerPeer> servingPeers(const std::map<VmName, LedgerVm> &vms, const Membership &members);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_SERVING_PEERS_HPP_INCLUDED
