#include "cp_partition_table.hpp"

#include <cardamompost/core/cp_invariant.hpp>
#include <cardamompost/net/cp_await.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds tickInterval {25};
constexpr Milliseconds recountInterval {1000};
constexpr Milliseconds keeperTimeout {1000};
constexpr Milliseconds handoverInterval {200};

TimePoint timeNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

PartitionTable::PartitionTable(asio::any_io_executor executor, Parts parts)
    : executor_(executor)
    , parts_(parts)
    , timer_(asio::make_strand(executor))
    , takeovers_(parts.metrics.counter("cardamompost_partition_takeovers_total"))
    , takeoverTime_(parts.metrics.histogram("cardamompost_partition_takeover_seconds"))
    , commitTime_(parts.metrics.histogram("cardamompost_journal_commit_seconds"))
{
    for (PartitionId id = 0; id < parts.settings.partitions; ++id) {
        slots_.push_back(std::make_unique<PartitionSlot>());
        slots_.back()->id = id;
    }
}

void PartitionTable::start(ReadyHandler handler)
{
    onReady_ = std::move(handler);
    scheduleTick();
}

void PartitionTable::stop()
{
    isStopped_ = true;
}

PartitionId PartitionTable::partitionOf(const ProgramId &program) const
{
    return cardamompost::partitionOf(program, static_cast<std::uint32_t>(slots_.size()));
}

std::size_t PartitionTable::countOwned()
{
    std::size_t owned = 0;
    for (const auto &slot : slots_) {
        const std::lock_guard lock(slot->mutex);
        owned += slot->writer ? 1 : 0;
    }
    return owned;
}

void PartitionTable::scheduleTick()
{
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error && !isStopped_) {
            tick();
            scheduleTick();
        }
    });
}

void PartitionTable::tick()
{
    const TimePoint now = timeNow();
    std::set<PartitionId> due;
    {
        const std::lock_guard lock(activeMutex_);
        due.swap(activePartitions_);
    }
    for (const PartitionId partition : due) {
        {
            PartitionSlot &target = slot(partition);
            const std::lock_guard lock(target.mutex);
            if (!target.writer) {
                continue;
            }
            target.writer->tick(now);
        }
        // Re-inserts the partition into the set while its writer is not idle.
        pump(partition);
    }
    if (now >= nextRecount_) {
        nextRecount_ = now + recountInterval;
        recountPrograms();
    }
    if (now >= nextHandover_) {
        nextHandover_ = now + handoverInterval;
        postHandover();
    }
}

void PartitionTable::recountPrograms()
{
    std::uint32_t programs = 0;
    for (const auto &slot : slots_) {
        const std::lock_guard lock(slot->mutex);
        programs += static_cast<std::uint32_t>(slot->programs.size());
    }
    programCount_ = programs;
}

void PartitionTable::reconcile(const ControlView &view)
{
    const VmRecord *own = view.state.findVm(parts_.settings.vm);
    const bool isKnown = own != nullptr && own->bootId == parts_.control.bootId();
    const std::vector<VmName> restarted = takeRestarted(view);
    for (const auto &slot : slots_) {
        const PartitionRecord &record = view.state.partitions()[slot->id];
        const bool isMine = isKnown && record.owner == parts_.settings.vm;
        std::vector<std::function<void()>> callbacks;
        {
            const std::lock_guard lock(slot->mutex);
            if (slot->writer && (!isMine || slot->writer->epoch() != record.epoch)) {
                callbacks = close(*slot);
            }
            if (isMine && !slot->writer) {
                open(*slot, record);
            }
            for (const VmName &name : restarted) {
                if (slot->writer) {
                    slot->writer->invalidateMatchIndex(name);
                }
            }
        }
        for (const auto &callback : callbacks) {
            callback();
        }
        if (isMine) {
            pump(slot->id);
        }
    }
}

std::vector<VmName> PartitionTable::takeRestarted(const ControlView &view)
{
    std::vector<VmName> restarted;
    const std::lock_guard lock(bootMutex_);
    for (const auto &[name, vm] : view.state.vms()) {
        const auto [known, isNew] = bootIds_.emplace(name, vm.bootId);
        if (!isNew && known->second != vm.bootId) {
            known->second = vm.bootId;
            restarted.push_back(name);
        }
    }
    return restarted;
}

void PartitionTable::open(PartitionSlot &slot, const PartitionRecord &record)
{
    JournalWriterOptions options;
    options.partition = slot.id;
    options.epoch = record.epoch;
    options.self = parts_.settings.vm;
    options.keepers = record.keepers;
    slot.writer.emplace(std::move(options));
    slot.openedAt = timeNow();
    slot.writer->tick(slot.openedAt);
    slot.recoveredGeneration = 0;
    slot.isReady = false;
    slot.isHandingOver = false;
}

std::vector<std::function<void()>> PartitionTable::close(PartitionSlot &slot)
{
    std::vector<std::function<void()>> callbacks;
    for (auto &[index, waiters] : slot.commitWaiters) {
        for (auto &waiter : waiters) {
            callbacks.emplace_back([waiter = std::move(waiter)] { waiter(false); });
        }
    }
    for (auto &[id, owned] : slot.programs) {
        for (auto &[sequence, live] : owned.live) {
            callbacks.emplace_back([live = live] { live->notifyMoved(); });
        }
    }
    slot.commitWaiters.clear();
    slot.programs.clear();
    slot.writer.reset();
    slot.isReady = false;
    return callbacks;
}

LogIndex PartitionTable::append(PartitionSlot &slot, JournalRecord record)
{
    const LogIndex index = slot.writer->append(encodeRecord(record));
    applyRecord(slot, record, index);
    return index;
}

void PartitionTable::applyRecord(PartitionSlot &slot, const JournalRecord &record, LogIndex index)
{
    if (const auto *created = std::get_if<ProgramCreated>(&record.body)) {
        const auto [place, isNew] = slot.programs.try_emplace(
            record.program, OwnedProgram {Program(record.program, *created, record.wallMs), {}});
        checkInvariant(isNew, "a program is created once");
        place->second.program.apply(record, index);
        if (OwnedProgram *parent = slot.find(created->parent)) {
            parent->program.reserveForChild(created->budgetTokens);
        }
        return;
    }
    OwnedProgram *owned = slot.find(record.program);
    // The program's other records were removed; its last record may remain as the end of the journal.
    if (owned == nullptr) {
        return;
    }
    const bool hadEnded = owned->program.hasEnded();
    owned->program.apply(record, index);
    if (!hadEnded && owned->program.hasEnded()) {
        if (OwnedProgram *parent = slot.find(owned->program.created().parent)) {
            parent->program.settleChild(owned->program.budget().limit, owned->program.budget().spent);
        }
    }
}

void PartitionTable::applyRecovered(PartitionSlot &slot)
{
    JournalWriter::Recovered recovered = slot.writer->takeRecovered();
    if (recovered.generation != slot.recoveredGeneration) {
        slot.recoveredGeneration = recovered.generation;
        slot.programs.clear();
    }
    for (const LogEntry &entry : recovered.entries) {
        if (entry.kind != EntryKind::Command) {
            continue;
        }
        const Result<JournalRecord> record = decodeRecord(entry.payload);
        checkInvariant(record.has_value(), "a journal's records can be read");
        applyRecord(slot, record.value(), entry.index);
    }
}

std::vector<std::function<void()>> PartitionTable::takeCommitted(PartitionSlot &slot)
{
    std::vector<std::function<void()>> callbacks;
    while (!slot.commitWaiters.empty() && slot.commitWaiters.begin()->first <= slot.writer->commitIndex()) {
        for (auto &waiter : slot.commitWaiters.begin()->second) {
            callbacks.emplace_back([waiter = std::move(waiter)] { waiter(true); });
        }
        slot.commitWaiters.erase(slot.commitWaiters.begin());
    }
    return callbacks;
}

void PartitionTable::pump(PartitionId partition)
{
    PartitionSlot &target = slot(partition);
    std::vector<JournalRequest> requests;
    std::vector<std::function<void()>> callbacks;
    Epoch epoch = 0;
    bool becameReady = false;
    {
        const std::lock_guard lock(target.mutex);
        if (!target.writer) {
            return;
        }
        epoch = target.writer->epoch();
        requests = target.writer->takeRequests(timeNow());
        applyRecovered(target);
        callbacks = takeCommitted(target);
        becameReady = target.writer->phase() == JournalPhase::Open && !target.isReady;
        if (becameReady) {
            takeoverTime_.observe(std::chrono::duration<double>(timeNow() - target.openedAt).count());
        }
        target.isReady = target.isReady || becameReady;
        if (!target.writer->isIdle()) {
            const std::lock_guard activeLock(activeMutex_);
            activePartitions_.insert(partition);
        }
        if (target.writer->phase() == JournalPhase::Deposed) {
            parts_.log.warn("partition.deposed", {{"partition", partition}, {"epoch", epoch}});
            std::vector<std::function<void()>> closing = close(target);
            callbacks.insert(callbacks.end(), closing.begin(), closing.end());
        }
    }
    for (JournalRequest &request : requests) {
        send(partition, epoch, std::move(request));
    }
    for (const auto &callback : callbacks) {
        callback();
    }
    if (becameReady) {
        takeovers_.add();
        onReady_(partition, epoch);
    }
}

void PartitionTable::send(PartitionId partition, Epoch epoch, JournalRequest request)
{
    const VmName keeper = request.keeper;
    const std::uint64_t id = request.id;
    FrameBody body = std::visit([](auto &&part) { return FrameBody(std::move(part)); }, std::move(request.body));
    auto done = [this, partition, epoch, keeper, id](Result<FrameBody> reply) {
        onReply(partition, epoch, keeper, id, std::move(reply));
    };
    if (keeper == parts_.settings.vm && parts_.keeper != nullptr) {
        parts_.keeper->handle(std::move(body), done);
        return;
    }
    if (const auto client = parts_.hub.client(keeper)) {
        client->request(std::move(body), keeperTimeout,
                        [done](Result<FrameBody> reply, bool) { done(std::move(reply)); });
        return;
    }
    asio::post(executor_, [done] { done(makeError(ErrorKind::PeerLost, "the keeper's address is unknown")); });
}

void PartitionTable::onReply(PartitionId partition, Epoch epoch, const VmName &keeper, std::uint64_t id,
                             Result<FrameBody> reply)
{
    if (isStopped_) {
        return;
    }
    {
        PartitionSlot &target = slot(partition);
        const std::lock_guard lock(target.mutex);
        if (!target.writer || target.writer->epoch() != epoch) {
            return;
        }
        JournalWriter &writer = *target.writer;
        const TimePoint now = timeNow();
        if (!reply) {
            writer.onFailure(now, keeper, id);
        } else if (auto *seal = std::get_if<SealReply>(&reply.value())) {
            writer.onReply(now, keeper, id, *seal);
        } else if (auto *append = std::get_if<JournalAppendReply>(&reply.value())) {
            writer.onReply(now, keeper, id, *append);
        } else if (auto *read = std::get_if<JournalReadReply>(&reply.value())) {
            writer.onReply(now, keeper, id, std::move(*read));
        } else {
            writer.onFailure(now, keeper, id);
        }
    }
    pump(partition);
}

asio::awaitable<bool> PartitionTable::waitCommitted(PartitionId partition, Epoch epoch, LogIndex index)
{
    const TimePoint start = timeNow();
    auto begin = [this, partition, epoch, index](std::function<void(bool)> done) {
        bool isLost = false;
        {
            PartitionSlot &target = slot(partition);
            const std::lock_guard lock(target.mutex);
            isLost = !target.writer || target.writer->epoch() != epoch;
            if (!isLost && target.writer->commitIndex() < index) {
                target.commitWaiters[index].push_back(std::move(done));
                return;
            }
        }
        done(!isLost);
    };
    const bool isCommitted = co_await awaitCallback<bool>(std::move(begin));
    commitTime_.observe(std::chrono::duration<double>(timeNow() - start).count());
    co_return isCommitted;
}

void PartitionTable::forget(PartitionId partition, Epoch epoch, const std::vector<VmName> &keepers,
                            std::vector<LogIndex> indexes)
{
    const JournalForget request {partition, epoch, parts_.settings.vm, std::move(indexes)};
    for (const VmName &keeper : keepers) {
        // Best effort: a keeper that misses the request keeps unneeded records until its replica is rebuilt.
        if (keeper == parts_.settings.vm && parts_.keeper != nullptr) {
            parts_.keeper->handle(request, [](const Result<FrameBody> &) {});
        } else if (const auto client = parts_.hub.client(keeper)) {
            client->request(request, keeperTimeout, [](const Result<FrameBody> &, bool) {});
        }
    }
}

} // namespace cardamompost
