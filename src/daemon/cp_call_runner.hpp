#ifndef CARDAMOMPOST_CP_CALL_RUNNER_HPP_INCLUDED
#define CARDAMOMPOST_CP_CALL_RUNNER_HPP_INCLUDED

#include "cp_dispatcher.hpp"
#include "cp_engine_client.hpp"
#include "cp_partition_table.hpp"

#include <cardamompost/limits/cp_retry_budget.hpp>
#include <cardamompost/program/cp_call_request.hpp>

namespace cardamompost
{

//! Wall-clock time in ms since the Unix epoch, as stored in journals.
[[nodiscard]] std::int64_t wallClockMs();

//! Executes the calls of the programs that this VM owns, sequentially within a program. The intent is committed before
//! a request is sent to a backend server, and the result before it is returned. Thread-safe.
class CallRunner
{
public:
    struct Parts {
        const Settings &settings;
        ControlReplica &replica;
        ControlClient &control;
        PartitionTable &table;
        Dispatcher &dispatcher;
        EngineClient &engines;
        HttpClient &http;
        EventLog &log;
        MetricRegistry &metrics;
    };

    CallRunner(boost::asio::any_io_executor executor, Parts parts);

    //! Starts a program's first open call, unless it is running already.
    void startNext(PartitionId partition, Epoch epoch, const ProgramId &program);
    //! Resumes open calls and pending releases of a partition's previous owner.
    void resumePartition(PartitionId partition, Epoch epoch);
    //! Starts releasing a program's cache entries on its replicas, with retries until each has confirmed.
    void startRelease(PartitionId partition, Epoch epoch, const ProgramId &program);
    //! Number of calls in progress on this VM.
    [[nodiscard]] int running() const
    {
        return running_;
    }

private:
    //! State of one run. It is copied from the program once, which is safe since only the runner modifies an open call.
    struct Task {
        PartitionId partition = 0;
        Epoch epoch = 0;
        ProgramId program;
        std::uint32_t sequence = 0;
        std::shared_ptr<LiveCall> live;
        ProgramCreated created;
        CallAccepted accepted;
        std::int64_t deadlineMs = 0;
        int rank = 0;
        std::vector<CallIntent> attempts;
        //! The last attempt was started by the previous owner and has not been resumed yet.
        bool hasInheritedAttempt = false;
        boost::json::array history;
        std::int64_t historyTokens = 0;
        std::int64_t attainedTokens = 0;
        std::string warmReplica;
        std::chrono::steady_clock::time_point startedAt;
    };
    //! Empty if the partition was lost or is being handed over; its owner then resumes the call.
    using RunResult = std::optional<CallResult>;

    boost::asio::awaitable<void> run(Task task);
    boost::asio::awaitable<RunResult> runModel(Task &task);
    boost::asio::awaitable<RunResult> runModelAttempt(Task &task, bool &shouldRetry);
    boost::asio::awaitable<EngineResult> streamAttempt(Task &task, Replica replica, CallIntent intent, bool isNew);
    boost::asio::awaitable<RunResult> runService(Task &task);
    boost::asio::awaitable<RunResult> callService(Task &task, const CallRequest &request, const Service &service);
    boost::asio::awaitable<bool> writeIntent(Task &task, CallIntent intent);
    boost::asio::awaitable<bool> waitForLease(const Task &task);
    boost::asio::awaitable<void> restartIfOwned(PartitionId partition, Epoch epoch, ProgramId program);
    boost::asio::awaitable<bool> writeResult(Task &task, CallResult result);
    boost::asio::awaitable<void> release(PartitionId partition, Epoch epoch, ProgramId program);
    boost::asio::awaitable<void> cancelUntilConfirmed(Replica replica, std::string attempt, std::int64_t deadlineMs);

    [[nodiscard]] std::optional<Task> takeTask(PartitionId partition, Epoch epoch, const ProgramId &program);
    [[nodiscard]] RunResult resultOfAttempt(Task &task, const EngineResult &result, const CallIntent &intent);
    [[nodiscard]] boost::json::object engineRequest(const Task &task, const CallIntent &intent,
                                                    const std::string &model) const;
    [[nodiscard]] WaitingCall waitingCall(const Task &task) const;
    [[nodiscard]] CallResult failure(const Task &task, ErrorKind kind, std::string message, Outcome outcome) const;
    [[nodiscard]] bool tryRetry(const std::string &deployment);
    void recordFirstAttempt(const std::string &deployment);
    void reportResult(const Task &task, const CallResult &result);

    boost::asio::any_io_executor executor_;
    Parts parts_;
    std::atomic<int> running_ {0};
    std::mutex retryMutex_;
    std::map<std::string, RetryBudget> retryBudgets_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CALL_RUNNER_HPP_INCLUDED
