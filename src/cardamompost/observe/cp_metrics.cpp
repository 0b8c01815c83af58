#include <cardamompost/observe/cp_metrics.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace cardamompost
{

namespace
{

std::string escape(const std::string &value)
{
    std::string escaped;
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            escaped += '\\';
        }
        escaped += c == '\n' ? ' ' : c;
    }
    return escaped;
}

std::string formatLabels(const MetricLabels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", name, escape(value));
    }
    return text;
}

std::string seriesName(const std::string &name, const std::string &labels, const std::string &extra = {})
{
    const std::string comma = labels.empty() || extra.empty() ? "" : ",";
    const std::string all = labels + comma + extra;
    return all.empty() ? name : fmt::format("{}{{{}}}", name, all);
}

void appendType(std::string &text, std::string &lastName, const std::string &name, std::string_view type)
{
    if (name != lastName) {
        text += fmt::format("# TYPE {} {}\n", name, type);
        lastName = name;
    }
}

void appendHistogram(std::string &text, const std::string &name, const std::string &labels, const Histogram &histogram)
{
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < Histogram::bounds.size(); ++i) {
        cumulative += histogram.countIn(i);
        text += fmt::format("{} {}\n",
                            seriesName(name + "_bucket", labels, fmt::format("le=\"{}\"", Histogram::bounds[i])),
                            cumulative);
    }
    cumulative += histogram.countIn(Histogram::bounds.size());
    text += fmt::format("{} {}\n", seriesName(name + "_bucket", labels, "le=\"+Inf\""), cumulative);
    text += fmt::format("{} {}\n", seriesName(name + "_sum", labels), histogram.sum());
    text += fmt::format("{} {}\n", seriesName(name + "_count", labels), cumulative);
}

} // namespace

void Histogram::observe(double seconds)
{
    const auto bucket = std::lower_bound(bounds.begin(), bounds.end(), seconds) - bounds.begin();
    counts_[static_cast<std::size_t>(bucket)].fetch_add(1, std::memory_order_relaxed);
    sumMicros_.fetch_add(static_cast<std::uint64_t>(std::max(0.0, seconds) * 1e6), std::memory_order_relaxed);
}

Counter &MetricRegistry::counter(const std::string &name, const MetricLabels &labels)
{
    const std::lock_guard lock(mutex_);
    auto &slot = counters_[{name, formatLabels(labels)}];
    if (!slot) {
        slot = std::make_unique<Counter>();
    }
    return *slot;
}

Histogram &MetricRegistry::histogram(const std::string &name, const MetricLabels &labels)
{
    const std::lock_guard lock(mutex_);
    auto &slot = histograms_[{name, formatLabels(labels)}];
    if (!slot) {
        slot = std::make_unique<Histogram>();
    }
    return *slot;
}

void MetricRegistry::gauge(const std::string &name, const MetricLabels &labels, std::function<double()> read)
{
    const std::lock_guard lock(mutex_);
    gauges_[{name, formatLabels(labels)}] = std::move(read);
}

std::string MetricRegistry::text() const
{
    const std::lock_guard lock(mutex_);
    std::string text;
    std::string lastName;
    for (const auto &[key, counter] : counters_) {
        appendType(text, lastName, key.first, "counter");
        text += fmt::format("{} {}\n", seriesName(key.first, key.second), counter->value());
    }
    for (const auto &[key, read] : gauges_) {
        appendType(text, lastName, key.first, "gauge");
        text += fmt::format("{} {}\n", seriesName(key.first, key.second), read());
    }
    for (const auto &[key, histogram] : histograms_) {
        appendType(text, lastName, key.first, "histogram");
        appendHistogram(text, key.first, key.second, *histogram);
    }
    return text;
}

} // namespace cardamompost
