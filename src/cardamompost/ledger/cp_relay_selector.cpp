#include <cardamompost/ledger/cp_relay_selector.hpp>

#include <algorithm>
#include <map>
#include <tuple>

namespace cardamompost
{

namespace
{

// Relays of each failure domain, as long as they work.
constexpr std::size_t relaysPerDomain = 4;
constexpr Milliseconds minSuspicionTime {2000};
constexpr unsigned maxDoublings = 4;

} // namespace

void RelaySelector::setPeers(const std::vector<LedgerPeer> &peers)
{
    std::map<std::string, std::vector<std::pair<std::uint64_t, VmName>>> byDomain;
    for (const LedgerPeer &peer : peers) {
        byDomain[peer.failureDomain].emplace_back(stableHash(peer.peer), peer.peer);
    }
    // Relays first, then VMs that stand in for them; within these, by the entry's own rank.
    using Ranked = std::vector<std::tuple<std::size_t, std::uint64_t, VmName>>;
    Ranked local;
    Ranked remote;
    for (auto &[domain, vms] : byDomain) {
        std::sort(vms.begin(), vms.end());
        for (std::size_t i = 0; i < vms.size(); ++i) {
            (domain == failureDomain_ ? local : remote)
                .emplace_back(i / relaysPerDomain, stableHash(entry_, vms[i].first), vms[i].second);
        }
    }
    std::sort(local.begin(), local.end());
    std::sort(remote.begin(), remote.end());
    order_.clear();
    // Alternates between the domains, so that the loss of a domain costs an entry one timeout.
    for (std::size_t i = 0; i < std::max(local.size(), remote.size()); ++i) {
        for (const Ranked *ranked : {&local, &remote}) {
            if (i < ranked->size()) {
                order_.push_back(std::get<VmName>((*ranked)[i]));
            }
        }
    }
}

VmName RelaySelector::best(TimePoint now, const VmName &excluded) const
{
    VmName best;
    TimePoint bestUntil = TimePoint::max();
    for (const VmName &relay : order_) {
        if (relay == excluded) {
            continue;
        }
        const auto suspicion = suspicions_.find(relay);
        if (suspicion == suspicions_.end() || suspicion->second.until <= now) {
            return relay;
        }
        if (suspicion->second.until < bestUntil) {
            best = relay;
            bestUntil = suspicion->second.until;
        }
    }
    return best;
}

VmName RelaySelector::current(TimePoint now) const
{
    return best(now, {});
}

VmName RelaySelector::standby(TimePoint now) const
{
    return best(now, current(now));
}

bool RelaySelector::suspect(const VmName &relay, TimePoint now)
{
    Suspicion &suspicion = suspicions_[relay];
    suspicion.until = now + minSuspicionTime * (1U << std::min(suspicion.failures, maxDoublings));
    return suspicion.failures++ == 0;
}

} // namespace cardamompost
