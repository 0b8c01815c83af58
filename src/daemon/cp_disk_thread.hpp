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

//! The thread that owns a keeper's store. Jobs that wait while a sync is under way share the next one.
class DiskThread
{
public:
    //! Work on the store for one group.
    struct Job {
        GroupId group = 0;
        //! Runs first; adds what has to be stored. Sees all that earlier jobs of its group have stored.
        std::function<void(LogStore &store, LogBatch &batch)> prepare;
        //! Runs once what was added is synced, or has failed to be.
        std::function<void(const Result<void> &written)> finish;
    };

    DiskThread(std::unique_ptr<IFiles> files, EventLog &log, MetricRegistry &metrics, LogStoreOptions options = {});
    ~DiskThread();
    DiskThread(const DiskThread &) = delete;
    DiskThread &operator=(const DiskThread &) = delete;

    //! Opens the store on the calling thread. Errors: StorageFailed, StorageCorrupt.
    Result<void> open();
    //! Only before start().
    [[nodiscard]] LogStore &store()
    {
        return *store_;
    }
    void start();
    //! Ends what is under way; nothing is called any more afterwards. Whoever has posted jobs has to be there until
    //! then.
    void stop();
    //! From any thread.
    void post(Job job);
    //! False once the disk has failed; the keeper answers nothing from it any more.
    [[nodiscard]] bool isHealthy() const
    {
        return isHealthy_;
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
