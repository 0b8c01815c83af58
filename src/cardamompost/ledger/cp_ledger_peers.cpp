#include <cardamompost/ledger/cp_ledger_peers.hpp>

#include <algorithm>

namespace cardamompost
{

LedgerPeers::LedgerPeers(std::vector<LedgerPeer> peers)
    : peers_(std::move(peers))
{
    std::sort(peers_.begin(), peers_.end());
    peers_.erase(std::unique(peers_.begin(), peers_.end()), peers_.end());
    for (const LedgerPeer &peer : peers_) {
        digest_ = stableHash(peer.failureDomain, stableHash(peer.peer, digest_));
    }
}

std::vector<VmName> heartbeatTargets(const std::vector<LedgerPeer> &peers, const std::string & /*entry*/,
                                     const std::string & /*failureDomain*/)
{
    std::vector<VmName> targets;
    for (const LedgerPeer &peer : peers) {
        targets.push_back(peer.peer);
    }
    return targets;
}

} // namespace cardamompost
