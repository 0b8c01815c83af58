#include <cardamompost/ledger/cp_ledger_peers.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

// Enough for callers to reach most directories of a domain with a choice of entries while some VMs are lost.
constexpr std::size_t maxLocalTargets = 6;
constexpr std::size_t maxRemoteTargets = 6;

} // namespace

LedgerPeers::LedgerPeers(std::vector<LedgerPeer> peers)
    : peers_(std::move(peers))
{
    std::sort(peers_.begin(), peers_.end());
    peers_.erase(std::unique(peers_.begin(), peers_.end()), peers_.end());
    for (const LedgerPeer &peer : peers_) {
        digest_ = stableHash(peer.failureDomain, stableHash(peer.peer, digest_));
    }
}

std::vector<VmName> heartbeatTargets(const std::vector<LedgerPeer> &peers, const std::string &entry,
                                     const std::string &failureDomain)
{
    std::vector<std::pair<std::uint64_t, VmName>> local;
    std::vector<std::pair<std::uint64_t, VmName>> remote;
    for (const LedgerPeer &peer : peers) {
        (peer.failureDomain == failureDomain ? local : remote)
            .emplace_back(stableHash(entry, stableHash(peer.peer)), peer.peer);
    }
    std::vector<VmName> targets;
    const auto addFirst = [&](std::vector<std::pair<std::uint64_t, VmName>> &ranked, std::size_t maxCount) {
        const std::size_t count = std::min(maxCount, ranked.size());
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
        for (std::size_t i = 0; i < count; ++i) {
            targets.push_back(ranked[i].second);
        }
    };
    addFirst(local, maxLocalTargets);
    addFirst(remote, maxRemoteTargets);
    return targets;
}

} // namespace cardamompost
