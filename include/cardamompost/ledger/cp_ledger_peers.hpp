#ifndef CARDAMOMPOST_CP_LEDGER_PEERS_HPP_INCLUDED
#define CARDAMOMPOST_CP_LEDGER_PEERS_HPP_INCLUDED

#include <cardamompost/core/cp_ids.hpp>

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace cardamompost
{

//! A ledger VM, member of the consensus group or not, as known to other VMs.
struct LedgerPeer {
    //! Address, which is also its name in the group.
    VmName peer;
    //! Empty if unknown.
    std::string failureDomain;

    friend bool operator==(const LedgerPeer &, const LedgerPeer &) = default;
    friend bool operator<(const LedgerPeer &left, const LedgerPeer &right)
    {
        return std::tie(left.peer, left.failureDomain) < std::tie(right.peer, right.failureDomain);
    }
};

//! A set of ledger VMs with a digest, by which two VMs find out whether they know the same ones. Thread-safety: none.
class LedgerPeers
{
public:
    LedgerPeers() = default;
    explicit LedgerPeers(std::vector<LedgerPeer> peers);

    [[nodiscard]] const std::vector<LedgerPeer> &list() const
    {
        return peers_;
    }
    //! 0 for an empty set.
    [[nodiscard]] std::uint64_t digest() const
    {
        return digest_;
    }

private:
    std::vector<LedgerPeer> peers_;
    std::uint64_t digest_ = 0;
};

//! The ledger VMs that an entry sends its heartbeats to: a bounded number in its own failure domain, whose directories
//! answer most of the callers near the entry, and a bounded number elsewhere.
//!
//! Deterministic subsetting by rendezvous hashing: subsets of different entries overlap evenly, and a VM that joins or
//! leaves changes only the subsets that it belongs to.
[[nodiscard]] std::vector<VmName> heartbeatTargets(const std::vector<LedgerPeer> &peers, const std::string &entry,
                                                   const std::string &failureDomain);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LEDGER_PEERS_HPP_INCLUDED
