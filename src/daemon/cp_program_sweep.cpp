#include "cp_call_service.hpp"

#include <cardamompost/net/cp_await.hpp>

#include <boost/asio/this_coro.hpp>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds sweepInterval {1000};
// Answers and histories of ended programs stay available for this long.
constexpr std::int64_t endedRetentionMs = 600'000;
// A program without calls for this long is considered abandoned and ended.
constexpr std::int64_t idleTimeoutMs = 3'600'000;
// Chunks of a completed answer are kept this long for callers that resume its stream.
constexpr std::int64_t chunkRetentionMs = 60'000;

} // namespace

asio::awaitable<void> CallService::sweep()
{
    while (!isStopped_) {
        for (PartitionId partition = 0; partition < parts_.table.partitionCount(); ++partition) {
            sweepPartition(partition);
        }
        co_await sleepFor(sweepInterval);
    }
}

void CallService::sweepPartition(PartitionId partition)
{
    const std::int64_t now = wallClockMs();
    Epoch epoch = 0;
    std::vector<VmName> keepers;
    std::vector<LogIndex> removedIndexes;
    std::vector<ProgramId> ended;
    const auto view = parts_.replica.view();
    {
        PartitionSlot &slot = parts_.table.slot(partition);
        const std::lock_guard lock(slot.mutex);
        if (!slot.writer || !slot.isReady || slot.isHandingOver || slot.programs.empty()
            || slot.writer->phase() != JournalPhase::Open) {
            return;
        }
        epoch = slot.writer->epoch();
        keepers = view->state.partitions()[partition].keepers;
        for (auto entry = slot.programs.begin(); entry != slot.programs.end();) {
            OwnedProgram &owned = entry->second;
            const std::int64_t idleMs = now - owned.program.lastUseMs();
            if (!owned.program.hasEnded() && !owned.program.firstOpenCall() && idleMs > idleTimeoutMs) {
                parts_.table.append(slot, {entry->first, now, ProgramEnded {"idle"}});
                ended.push_back(entry->first);
            }
            if (idleMs > chunkRetentionMs) {
                std::erase_if(owned.live,
                              [&](const auto &live) { return owned.program.findCall(live.first)->isFinal(); });
            }
            const bool isExpired
                = owned.program.hasEnded() && owned.program.unreleasedBackends().empty() && idleMs > endedRetentionMs;
            if (isExpired && slot.writer->commitIndex() >= owned.program.indexes().back()) {
                removedIndexes.insert(removedIndexes.end(), owned.program.indexes().begin(),
                                      owned.program.indexes().end());
                entry = slot.programs.erase(entry);
            } else {
                ++entry;
            }
        }
    }
    parts_.table.pump(partition);
    for (const ProgramId &program : ended) {
        parts_.runner.startRelease(partition, epoch, program);
    }
    if (!removedIndexes.empty()) {
        parts_.table.forget(partition, epoch, keepers, std::move(removedIndexes));
    }
}

} // namespace cardamompost
