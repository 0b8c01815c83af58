#ifndef CARDAMOMPOST_CP_PARTITION_TABLE_HPP_INCLUDED
#define CARDAMOMPOST_CP_PARTITION_TABLE_HPP_INCLUDED

#include "cp_control_client.hpp"
#include "cp_keeper_service.hpp"
#include "cp_live_call.hpp"

#include <cardamompost/journal/cp_journal_writer.hpp>
#include <cardamompost/program/cp_program.hpp>

#include <boost/asio/awaitable.hpp>

namespace cardamompost
{

//! A program in its owner's memory, with its streamed or running calls.
struct OwnedProgram {
    Program program;
    std::map<std::uint32_t, std::shared_ptr<LiveCall>> live;
    //! Sequence number of the running call; 0 for none.
    std::uint32_t running = 0;
    //! The caller has requested the program's end; no more calls are accepted.
    bool isEnding = false;
    //! A task is notifying the backend servers that the program has ended.
    bool isReleasing = false;
};

//! State of one partition on this VM, guarded by its mutex.
struct PartitionSlot {
    PartitionId id = 0;
    std::mutex mutex;
    //! Set while this VM owns the partition.
    std::optional<JournalWriter> writer;
    TimePoint openedAt {};
    std::uint64_t recoveredGeneration = 0;
    //! The journal is recovered and the partition accepts calls.
    bool isReady = false;
    //! A handover to another VM is in progress; no new calls are accepted.
    bool isHandingOver = false;
    std::map<ProgramId, OwnedProgram> programs;
    //! Callbacks by the index whose commit they wait for; they get false if the VM loses the partition first.
    std::map<LogIndex, std::vector<std::function<void(bool)>>> commitWaiters;

    OwnedProgram *find(const ProgramId &program)
    {
        const auto found = programs.find(program);
        return found == programs.end() ? nullptr : &found->second;
    }
};

//! Partitions owned by this VM and the writers of their journals. Thread-safe.
//!
//! Lock order: a slot's mutex before the dispatcher's and any LiveCall's; never two slots at once; none is held
//! while a coroutine is suspended.
class PartitionTable
{
public:
    struct Parts {
        const Settings &settings;
        ControlReplica &replica;
        ControlClient &control;
        PeerHub &hub;
        //! Null unless this VM is a keeper.
        KeeperService *keeper;
        EventLog &log;
        MetricRegistry &metrics;
    };
    //! Called without a lock held when a partition accepts calls, after its recovery or a handover that did not happen.
    using ReadyHandler = std::function<void(PartitionId partition, Epoch epoch)>;

    PartitionTable(boost::asio::any_io_executor executor, Parts parts);

    void start(ReadyHandler handler);
    void stop();
    //! Opens and closes partitions according to the control state.
    void reconcile(const ControlView &view);

    //! Runs a function on a partition that accepts calls on this VM. Errors: NotOwner, and those of the function.
    //! \param function  takes a PartitionSlot& and returns a Result
    template<typename Function>
    auto withSlot(PartitionId partition, Function function) -> decltype(function(std::declval<PartitionSlot &>()));

    //! Runs a function on a program if this VM owns its partition in the epoch.
    //! \returns false if it does not, or if the program does not exist
    //! \param function  takes a PartitionSlot& and an OwnedProgram&
    template<typename Function>
    bool withProgram(PartitionId partition, Epoch epoch, const ProgramId &program, Function function);

    //! Appends a record to the journal and applies it. Requires the slot's lock. \returns the record's index
    LogIndex append(PartitionSlot &slot, JournalRecord record);
    //! Waits until an index is committed. \returns false if this VM lost the partition first
    boost::asio::awaitable<bool> waitCommitted(PartitionId partition, Epoch epoch, LogIndex index);
    //! Sends the journal's pending requests and runs due callbacks. Call without a lock held.
    void pump(PartitionId partition);
    //! Tells the keepers to remove records that are not needed. Best effort.
    void forget(PartitionId partition, Epoch epoch, const std::vector<VmName> &keepers, std::vector<LogIndex> indexes);

    [[nodiscard]] PartitionId partitionOf(const ProgramId &program) const;
    [[nodiscard]] std::uint32_t countPrograms() const
    {
        return programCount_;
    }
    [[nodiscard]] std::size_t partitionCount() const
    {
        return slots_.size();
    }
    [[nodiscard]] std::size_t countOwned();
    //! The caller locks the slot's mutex.
    [[nodiscard]] PartitionSlot &slot(PartitionId partition)
    {
        return *slots_[partition];
    }

private:
    void scheduleTick();
    void tick();
    void recountPrograms();
    //! Returns the VMs whose process has restarted since the last view.
    std::vector<VmName> takeRestarted(const ControlView &view);
    void open(PartitionSlot &slot, const PartitionRecord &record);
    //! Both require the slot's lock and return callbacks to run without it.
    std::vector<std::function<void()>> close(PartitionSlot &slot);
    std::vector<std::function<void()>> takeCommitted(PartitionSlot &slot);
    void applyRecovered(PartitionSlot &slot);
    void applyRecord(PartitionSlot &slot, const JournalRecord &record, LogIndex index);
    void send(PartitionId partition, Epoch epoch, JournalRequest request);
    void onReply(PartitionId partition, Epoch epoch, const VmName &keeper, std::uint64_t id, Result<FrameBody> reply);
    void postHandover();
    boost::asio::awaitable<void> handOver(std::vector<PartitionMove> moves);

    boost::asio::any_io_executor executor_;
    Parts parts_;
    std::vector<std::unique_ptr<PartitionSlot>> slots_;
    ReadyHandler onReady_;
    std::mutex bootMutex_;
    std::map<VmName, std::uint64_t> bootIds_;
    boost::asio::steady_timer timer_;
    std::atomic<std::uint32_t> programCount_ {0};
    std::atomic<bool> isStopped_ {false};
    std::atomic<bool> isHandingOver_ {false};
    TimePoint nextHandover_ {};
    TimePoint nextRecount_ {};
    //! Partitions whose journal writer is not idle; the tick skips the others. The mutex is locked after a slot's.
    std::mutex activeMutex_;
    std::set<PartitionId> activePartitions_;
    Counter &takeovers_;
    Histogram &takeoverTime_;
    Histogram &commitTime_;
};

template<typename Function>
auto PartitionTable::withSlot(PartitionId partition, Function function)
    -> decltype(function(std::declval<PartitionSlot &>()))
{
    auto run = [&]() -> decltype(function(std::declval<PartitionSlot &>())) {
        PartitionSlot &target = slot(partition);
        const std::lock_guard lock(target.mutex);
        const bool isOpen = target.writer && target.isReady && target.writer->phase() == JournalPhase::Open;
        if (!isOpen || target.isHandingOver || !parts_.control.hasLease()) {
            return makeError(ErrorKind::NotOwner, "this VM does not currently own the program's partition");
        }
        return function(target);
    };
    auto result = run();
    pump(partition);
    return result;
}

template<typename Function>
bool PartitionTable::withProgram(PartitionId partition, Epoch epoch, const ProgramId &program, Function function)
{
    {
        PartitionSlot &target = slot(partition);
        const std::lock_guard lock(target.mutex);
        const bool isOpen = target.writer && target.isReady && target.writer->epoch() == epoch;
        OwnedProgram *owned = isOpen && target.writer->phase() == JournalPhase::Open ? target.find(program) : nullptr;
        if (owned == nullptr) {
            return false;
        }
        function(target, *owned);
    }
    pump(partition);
    return true;
}

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_PARTITION_TABLE_HPP_INCLUDED
