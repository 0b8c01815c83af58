#ifndef CARDAMOMPOST_CP_DISK_THREAD_HPP_INCLUDED
#define CARDAMOMPOST_CP_DISK_THREAD_HPP_INCLUDED

#include <cardamompost/observe/cp_event_log.hpp>
#include <cardamompost/observe/cp_metrics.hpp>
#include <cardamompost/storage/cp_log_store.hpp>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace cardamompost
{

//! Thread that owns a log store. Jobs queued during a sync are batched into the next one.
class DiskThread
{
public:
    //! Unit of work on the store for one group.
    struct Job {
        GroupId group = 0;
        //! Adds writes to the batch. Sees the writes of earlier jobs of its group.
        std::function<void(LogStore &store, LogBatch &batch)> prepare;
        //! Runs after the batch was synced or has failed.
        std::function<void(const Result<void> &written)> finish;
    };

    DiskThread(std::unique_ptr<IFiles> files, EventLog &log, MetricRegistry &metrics, LogStoreOptions options = {});
    ~DiskThread();
    DiskThread(const DiskThread &) = delete;
    DiskThread &operator=(const DiskThread &) = delete;

    //! Opens the store on the calling thread. Errors: StorageFailed, StorageCorrupt.
    Result<void> open();
    //! Call only before start().
    [[nodiscard]] LogStore &store()
    {
        return *store_;
    }
    void start();
    //! Finishes the queued jobs and joins the thread; no callback runs afterwards. Objects that the jobs refer to must
    //! outlive this call.
    void stop();
    //! Thread-safe.
    void post(Job job);
    //! False once the disk has failed; from then on, no request may be answered from the store.
    [[nodiscard]] bool isHealthy() const
    {
        return isHealthy_;
    }
    //! Number of jobs finished so far. Thread-safe.
    [[nodiscard]] std::uint64_t jobsDone() const
    {
        return jobsDone_.value();
    }

private:
    void run();
    std::vector<Job> takeJobs();
    void process(const std::vector<Job> &jobs);

    std::unique_ptr<IFiles> files_;
    LogStoreOptions options_;
    EventLog &log_;
    Counter &syncs_;
    Counter &jobsDone_;
    Histogram &syncTime_;
    std::optional<LogStore> store_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<Job> queue_;
    bool isStopping_ = false;
    std::atomic<bool> isHealthy_ {true};
    std::thread thread_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_DISK_THREAD_HPP_INCLUDED
