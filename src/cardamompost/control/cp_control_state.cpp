#include <cardamompost/control/cp_control_state.hpp>
#include <cardamompost/core/cp_invariant.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

// Number of accepted changes kept to recognize retries; the oldest is dropped first. At 11,000 changes a day, they
// cover nine hours.
constexpr std::size_t maxRequests = 4096;

} // namespace

ControlState::ControlState(std::uint32_t partitionCount)
    : partitions_(partitionCount)
{
}

ApplyResult ControlState::apply(const ControlCommand &command)
{
    const std::uint64_t before = version_;
    ApplyResult result;
    if (const auto *change = std::get_if<ConfigurationChange>(&command)) {
        result = applyConfiguration(*change);
    } else if (const auto *vm = std::get_if<VmRecord>(&command)) {
        result = applyVm(*vm);
    } else {
        result = applyMoves(std::get<std::vector<PartitionMove>>(command));
    }
    checkInvariant(version_ >= before, "the configuration version must not decrease");
    return result;
}

ApplyResult ControlState::applyConfiguration(const ConfigurationChange &change)
{
    const auto existing = requests_.find(change.requestId);
    if (existing != requests_.end()) {
        const bool isSame = existing->second.hash == change.documentHash;
        return {isSame ? ApplyKind::Duplicate : ApplyKind::IdempotencyConflict, existing->second.version};
    }
    if (change.baseVersion != version_) {
        return {ApplyKind::VersionConflict, version_};
    }
    document_.apply(change.delta);
    ++version_;
    recordRequest(change.requestId, {version_, change.documentHash});
    return {ApplyKind::Applied, version_};
}

void ControlState::recordRequest(const std::string &id, RequestRecord record)
{
    requests_.emplace(id, record);
    requestOrder_.push_back(id);
    if (requestOrder_.size() > maxRequests) {
        requests_.erase(requestOrder_.front());
        requestOrder_.pop_front();
    }
}

ApplyResult ControlState::applyVm(const VmRecord &vm)
{
    const auto existing = vms_.find(vm.name);
    if (existing != vms_.end() && existing->second == vm) {
        return {ApplyKind::Stale, version_};
    }
    const bool losesOwnership
        = vm.state == VmState::Lost || existing == vms_.end() || existing->second.bootId != vm.bootId;
    vms_.insert_or_assign(vm.name, vm);
    // A restarted process doesn't know what it wrote in its epochs and could write a second entry at the same index
    // and epoch, so its partitions get new epochs.
    if (losesOwnership) {
        revokeOwnership(vm.name);
    }
    return {ApplyKind::Applied, version_};
}

void ControlState::revokeOwnership(const VmName &name)
{
    for (PartitionRecord &partition : partitions_) {
        if (partition.owner == name) {
            ++partition.epoch;
            partition.owner.clear();
        }
    }
}

ApplyResult ControlState::applyMoves(const std::vector<PartitionMove> &moves)
{
    bool isAnyApplied = false;
    for (const PartitionMove &move : moves) {
        if (move.partition >= partitions_.size() || partitions_[move.partition].epoch != move.expectedEpoch) {
            continue;
        }
        PartitionRecord &record = partitions_[move.partition];
        ++record.epoch;
        record.owner = move.owner;
        if (!move.keepers.empty()) {
            record.keepers = move.keepers;
        }
        isAnyApplied = true;
    }
    return {isAnyApplied ? ApplyKind::Applied : ApplyKind::Stale, version_};
}

const VmRecord *ControlState::findVm(const VmName &name) const
{
    const auto found = vms_.find(name);
    return found == vms_.end() ? nullptr : &found->second;
}

std::optional<RequestRecord> ControlState::findRequest(const std::string &requestId) const
{
    const auto found = requests_.find(requestId);
    return found == requests_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace cardamompost
