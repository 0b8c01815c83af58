#ifndef CARDAMOMPOST_CP_METRICS_HPP_INCLUDED
#define CARDAMOMPOST_CP_METRICS_HPP_INCLUDED

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace cardamompost
{

//! Label names and values that identify one time series of a metric.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

//! Monotonically increasing counter. Thread-safe.
class Counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        value_.fetch_add(amount, std::memory_order_relaxed);
    }
    [[nodiscard]] std::uint64_t value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_ {0};
};

//! Histogram of durations with fixed buckets. Thread-safe.
class Histogram
{
public:
    //! Upper bounds of the buckets in seconds; a final bucket is unbounded.
    static constexpr std::array bounds {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,   0.2,  0.5,
                                        1.0,   2.0,   5.0,   10.0, 30.0, 60.0, 300.0, 600.0};

    void observe(double seconds);
    [[nodiscard]] std::uint64_t countIn(std::size_t bucket) const
    {
        return counts_[bucket].load(std::memory_order_relaxed);
    }
    [[nodiscard]] double sum() const
    {
        return static_cast<double>(sumMicros_.load(std::memory_order_relaxed)) / 1e6;
    }

private:
    std::array<std::atomic<std::uint64_t>, bounds.size() + 1> counts_ {};
    std::atomic<std::uint64_t> sumMicros_ {0};
};

//! The metrics of a process. References stay valid for the lifetime of the registry. Thread-safe.
class MetricRegistry
{
public:
    Counter &counter(const std::string &name, const MetricLabels &labels = {});
    Histogram &histogram(const std::string &name, const MetricLabels &labels = {});
    //! Registers a callback for the current value; text() calls it with the registry locked.
    void gauge(const std::string &name, const MetricLabels &labels, std::function<double()> read);

    //! All values in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    using Key = std::pair<std::string, std::string>;

    mutable std::mutex mutex_;
    std::map<Key, std::unique_ptr<Counter>> counters_;
    std::map<Key, std::unique_ptr<Histogram>> histograms_;
    std::map<Key, std::function<double()>> gauges_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_METRICS_HPP_INCLUDED
