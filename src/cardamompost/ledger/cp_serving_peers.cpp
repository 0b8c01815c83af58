#include <cardamompost/ledger/cp_serving_peers.hpp>

namespace cardamompost
{

std::vector<LedgerPeer> servingPeers(const std::map<VmName, LedgerVm> &vms, const Membership &members)
{
    std::vector<LedgerPeer> peers;
    for (const auto &[name, vm] : vms) {
        const bool isMember = members.voters.contains(vm.peer) || members.learners.contains(vm.peer);
        if (isMember || !vm.isRetiring) {
            peers.push_back({vm.peer, vm.failureDomain});
        }
    }
    return peers;
}

} // namespace cardamompost
