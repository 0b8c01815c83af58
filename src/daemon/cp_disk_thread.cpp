#include "cp_disk_thread.hpp"

#include <chrono>
#include <set>

namespace cardamompost
{

namespace
{

// Bounds the memory of a batch and the latency of its first job.
constexpr std::size_t maxBatchJobs = 1024;

} // namespace

DiskThread::DiskThread(std::unique_ptr<IFiles> files, EventLog &log, MetricRegistry &metrics, LogStoreOptions options)
    : files_(std::move(files))
    , options_(options)
    , log_(log)
    , syncs_(metrics.counter("cardamompost_disk_syncs_total"))
    , jobsDone_(metrics.counter("cardamompost_disk_jobs_total"))
    , syncTime_(metrics.histogram("cardamompost_disk_sync_seconds"))
{
}

DiskThread::~DiskThread()
{
    stop();
}

void DiskThread::stop()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

Result<void> DiskThread::open()
{
    Result<LogStore> opened = LogStore::open(*files_, options_);
    if (!opened) {
        return opened.error();
    }
    store_.emplace(std::move(opened.value()));
    return boost::outcome_v2::success();
}

void DiskThread::start()
{
    thread_ = std::thread([this] { run(); });
}

void DiskThread::post(Job job)
{
    {
        const std::lock_guard lock(mutex_);
        queue_.push_back(std::move(job));
    }
    wake_.notify_one();
}

void DiskThread::run()
{
    while (true) {
        const std::vector<Job> jobs = takeJobs();
        if (jobs.empty()) {
            return;
        }
        process(jobs);
    }
}

std::vector<DiskThread::Job> DiskThread::takeJobs()
{
    std::unique_lock lock(mutex_);
    wake_.wait(lock, [this] { return isStopping_ || !queue_.empty(); });
    std::vector<Job> jobs;
    std::set<GroupId> groups;
    std::deque<Job> later;
    // At most one job per group and batch, so that a job sees the writes of its group's earlier jobs. Otherwise a seal
    // could miss an append that is confirmed in the same sync.
    while (!queue_.empty() && jobs.size() < maxBatchJobs) {
        auto &target = groups.insert(queue_.front().group).second ? jobs.emplace_back() : later.emplace_back();
        target = std::move(queue_.front());
        queue_.pop_front();
    }
    queue_.insert(queue_.begin(), std::make_move_iterator(later.begin()), std::make_move_iterator(later.end()));
    return jobs;
}

void DiskThread::process(const std::vector<Job> &jobs)
{
    LogBatch batch;
    for (const Job &job : jobs) {
        job.prepare(*store_, batch);
    }
    const auto start = std::chrono::steady_clock::now();
    Result<void> written = store_->write(batch);
    if (written && !batch.isEmpty()) {
        syncs_.add();
        syncTime_.observe(std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count());
        written = store_->clean();
    }
    if (!written && isHealthy_.exchange(false)) {
        log_.write(LogLevel::Error, "disk.failed", {{"error", written.error().message}});
    }
    jobsDone_.add(jobs.size());
    for (const Job &job : jobs) {
        job.finish(written);
    }
}

} // namespace cardamompost
