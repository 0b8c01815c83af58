#include "cp_partition_table.hpp"

#include <cardamompost/control/cp_partition_planner.hpp>
#include <cardamompost/net/cp_await.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds handoverTimeout {3000};
constexpr Milliseconds handoverSettleTime {500};
// Partitions moved in one step while balancing; a leaving VM moves all of them.
constexpr std::size_t maxBalancingMoves = 64;

bool hasDispatchedNonIdempotentCall(const PartitionSlot &slot)
{
    for (const auto &[id, owned] : slot.programs) {
        const auto open = owned.program.firstOpenCall();
        const Call *call = open ? owned.program.findCall(*open) : nullptr;
        if (call != nullptr && !call->accepted.isIdempotent && call->machine.state() == CallState::Dispatched) {
            return true;
        }
    }
    return false;
}

} // namespace

void PartitionTable::postHandover()
{
    const auto view = parts_.replica.view();
    if (isHandingOver_ || !parts_.control.hasLease()) {
        return;
    }
    std::set<VmName> usable;
    for (const auto &[name, vm] : view->state.vms()) {
        if (vm.state == VmState::Live) {
            usable.insert(name);
        }
    }
    const std::size_t limit = parts_.control.isLeaving() ? slots_.size() : maxBalancingMoves;
    std::vector<PartitionMove> moves = planHandover(view->state, parts_.settings.vm, usable, limit);
    // A dispatched call that is not idempotent completes here: a new owner could only report its outcome as unknown.
    std::erase_if(moves, [this](const PartitionMove &move) {
        PartitionSlot &target = slot(move.partition);
        const std::lock_guard lock(target.mutex);
        target.isHandingOver = !hasDispatchedNonIdempotentCall(target);
        return !target.isHandingOver;
    });
    if (!moves.empty()) {
        isHandingOver_ = true;
        asio::co_spawn(executor_, handOver(std::move(moves)), asio::detached);
    }
}

asio::awaitable<void> PartitionTable::handOver(std::vector<PartitionMove> moves)
{
    ControlCommand command = moves;
    const Result<ApplyResult> proposed = co_await parts_.control.propose(std::move(command), handoverTimeout);
    parts_.log.info("partition.handover", {{"count", moves.size()}, {"accepted", proposed.has_value()}});
    // Moves take effect through the control log. A partition whose move has not been applied by now accepts calls
    // again; if the move is applied later, the new owner recovers those calls from the journal.
    co_await sleepFor(handoverSettleTime);
    std::vector<PartitionMove> unappliedMoves;
    for (const PartitionMove &move : moves) {
        PartitionSlot &target = slot(move.partition);
        const std::lock_guard lock(target.mutex);
        if (target.writer && target.writer->epoch() == move.expectedEpoch) {
            target.isHandingOver = false;
            unappliedMoves.push_back(move);
        }
    }
    for (const PartitionMove &move : unappliedMoves) {
        onReady_(move.partition, move.expectedEpoch);
    }
    isHandingOver_ = false;
}

} // namespace cardamompost
