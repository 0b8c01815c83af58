#include <cardamompost/control/cp_partition_planner.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

//! How many partitions each usable VM owns.
class OwnershipCounts
{
public:
    OwnershipCounts(const ControlState &state, const std::set<VmName> &usable)
    {
        for (const VmName &name : usable) {
            counts_[name] = 0;
        }
        for (const PartitionRecord &partition : state.partitions()) {
            const auto found = counts_.find(partition.owner);
            if (found != counts_.end()) {
                ++found->second;
            }
        }
    }

    [[nodiscard]] bool isEmpty() const
    {
        return counts_.empty();
    }
    [[nodiscard]] std::size_t countOf(const VmName &name) const
    {
        const auto found = counts_.find(name);
        return found == counts_.end() ? 0 : found->second;
    }
    //! Counts one more partition for the VM that owns the fewest, and returns its name.
    VmName assignToLeastLoaded()
    {
        const auto least = std::min_element(counts_.begin(), counts_.end(),
                                            [](const auto &a, const auto &b) { return a.second < b.second; });
        ++least->second;
        return least->first;
    }
    [[nodiscard]] std::size_t lowestCount() const
    {
        return std::min_element(counts_.begin(), counts_.end(),
                                [](const auto &a, const auto &b) { return a.second < b.second; })
            ->second;
    }
    void release(const VmName &name)
    {
        const auto found = counts_.find(name);
        if (found != counts_.end()) {
            --found->second;
        }
    }

private:
    std::map<VmName, std::size_t> counts_;
};

} // namespace

std::vector<VmName> chooseKeepers(PartitionId partition, const std::vector<KeeperPeer> &keepers)
{
    std::vector<const KeeperPeer *> order;
    order.reserve(keepers.size());
    for (const KeeperPeer &keeper : keepers) {
        order.push_back(&keeper);
    }
    const auto weight = [&](const KeeperPeer *keeper) { return stableHash(keeper->name, partition); };
    std::sort(order.begin(), order.end(),
              [&](const KeeperPeer *a, const KeeperPeer *b) { return weight(a) > weight(b); });
    std::vector<VmName> chosen;
    std::set<std::string> domains;
    // The first pass takes one keeper per failure domain, so that the loss of a domain leaves a quorum.
    for (const bool isNewDomainNeeded : {true, false}) {
        for (const KeeperPeer *keeper : order) {
            const bool isChosen = std::find(chosen.begin(), chosen.end(), keeper->name) != chosen.end();
            if (isChosen || chosen.size() == journalReplicationFactor
                || (isNewDomainNeeded && domains.contains(keeper->failureDomain))) {
                continue;
            }
            domains.insert(keeper->failureDomain);
            chosen.push_back(keeper->name);
        }
    }
    return chosen;
}

std::vector<PartitionMove> planAssignments(const ControlState &state, const std::set<VmName> &usable,
                                           const std::vector<KeeperPeer> &keepers)
{
    std::vector<PartitionMove> moves;
    OwnershipCounts counts(state, usable);
    for (PartitionId id = 0; id < state.partitions().size() && !counts.isEmpty(); ++id) {
        const PartitionRecord &partition = state.partitions()[id];
        if (!partition.owner.empty()) {
            continue;
        }
        const std::vector<VmName> chosen
            = partition.keepers.empty() ? chooseKeepers(id, keepers) : std::vector<VmName> {};
        moves.push_back({id, partition.epoch, counts.assignToLeastLoaded(), chosen});
    }
    return moves;
}

std::vector<PartitionMove> planHandover(const ControlState &state, const VmName &self, const std::set<VmName> &usable,
                                        std::size_t limit)
{
    std::vector<PartitionMove> moves;
    OwnershipCounts counts(state, usable);
    if (counts.isEmpty()) {
        return moves;
    }
    const bool isLeaving = !usable.contains(self);
    for (PartitionId id = 0; id < state.partitions().size() && moves.size() < limit; ++id) {
        const PartitionRecord &partition = state.partitions()[id];
        if (partition.owner != self) {
            continue;
        }
        // A difference of one counts as even: a move would only reverse it.
        if (!isLeaving && counts.countOf(self) <= counts.lowestCount() + 1) {
            break;
        }
        counts.release(self);
        moves.push_back({id, partition.epoch, counts.assignToLeastLoaded(), {}});
    }
    return moves;
}

} // namespace cardamompost
