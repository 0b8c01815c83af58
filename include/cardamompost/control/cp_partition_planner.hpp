#ifndef CARDAMOMPOST_CP_PARTITION_PLANNER_HPP_INCLUDED
#define CARDAMOMPOST_CP_PARTITION_PLANNER_HPP_INCLUDED

#include <cardamompost/config/cp_settings.hpp>
#include <cardamompost/control/cp_control_state.hpp>

#include <set>

namespace cardamompost
{

//! Number of replicas of each journal, given enough keepers.
inline constexpr std::size_t journalReplicationFactor = 3;

//! Selects the keepers of a partition's journal by rendezvous hashing, from distinct failure domains where possible.
//! The hash spreads the catch-up after the loss of a keeper over all others.
[[nodiscard]] std::vector<VmName> chooseKeepers(PartitionId partition, const std::vector<KeeperPeer> &keepers);

//! Assigns each partition without an owner to the VM that owns the fewest.
//! \param usable   VMs that hold a lease and are not leaving
//! \param keepers  candidates for partitions that have no keepers yet
[[nodiscard]] std::vector<PartitionMove> planAssignments(const ControlState &state, const std::set<VmName> &usable,
                                                         const std::vector<KeeperPeer> &keepers);

//! Plans the moves of a VM's partitions to others: all of them if it is leaving, otherwise those above an even share.
//! \param limit  maximum number of moves
[[nodiscard]] std::vector<PartitionMove> planHandover(const ControlState &state, const VmName &self,
                                                      const std::set<VmName> &usable, std::size_t limit);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_PARTITION_PLANNER_HPP_INCLUDED
