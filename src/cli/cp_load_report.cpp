#include "cp_load_report.hpp"

#include "cp_command.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iostream>

namespace cardamompost::cli
{

namespace json = boost::json;

namespace
{

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1) + 0.5);
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank), values.end());
    return values[rank];
}

json::object percentiles(const std::vector<double> &values)
{
    return {{"p50", percentile(values, 0.50)},
            {"p95", percentile(values, 0.95)},
            {"p99", percentile(values, 0.99)},
            {"max", percentile(values, 1.0)}};
}

std::string formatRounded(double value)
{
    return fmt::format("{:.0f}", value);
}

} // namespace

void LoadReport::recordStart()
{
    const std::lock_guard lock(mutex_);
    ++started_;
}

void LoadReport::add(const ProgramOutcome &outcome)
{
    const std::lock_guard lock(mutex_);
    ++ended_;
    resumes_ += outcome.resumes;
    brokenHistories_ += outcome.isHistoryBroken ? 1 : 0;
    longestSilenceMs_ = std::max(longestSilenceMs_, outcome.longestSilenceMs);
    ClassStatistics &stats = classes_[outcome.workClass];
    ++stats.programs;
    stats.finished += outcome.isFinished ? 1 : 0;
    stats.calls += outcome.calls;
    stats.notRun += outcome.notRun;
    stats.unknown += outcome.unknown;
    stats.promptTokens += outcome.promptTokens;
    stats.cachedTokens += outcome.cachedTokens;
    stats.firstTokenMs.insert(stats.firstTokenMs.end(), outcome.firstTokenMs.begin(), outcome.firstTokenMs.end());
    if (outcome.isFinished) {
        stats.workMs.push_back(outcome.workMs);
    }
    if (!outcome.error.empty()) {
        ++errors_[outcome.error];
    }
}

std::string LoadReport::progressLine() const
{
    const std::lock_guard lock(mutex_);
    return fmt::format("started {}  ended {}  in progress {}", started_, ended_, started_ - ended_);
}

bool LoadReport::isClean() const
{
    const std::lock_guard lock(mutex_);
    std::uint64_t finished = 0;
    for (const auto &[name, stats] : classes_) {
        finished += stats.finished;
    }
    return finished == started_ && brokenHistories_ == 0;
}

json::object LoadReport::body() const
{
    const std::lock_guard lock(mutex_);
    json::object classes;
    for (const auto &[name, stats] : classes_) {
        classes[name] = json::object {{"programs", stats.programs},
                                      {"finished", stats.finished},
                                      {"calls", stats.calls},
                                      {"not_run", stats.notRun},
                                      {"unknown", stats.unknown},
                                      {"prompt_tokens", stats.promptTokens},
                                      {"cached_tokens", stats.cachedTokens},
                                      {"program_work_ms", percentiles(stats.workMs)},
                                      {"first_token_ms", percentiles(stats.firstTokenMs)}};
    }
    json::object errors;
    for (const auto &[text, count] : errors_) {
        errors[text] = count;
    }
    return {{"programs", started_},
            {"ended", ended_},
            {"resumed_streams", resumes_},
            {"broken_histories", brokenHistories_},
            {"longest_silence_ms", longestSilenceMs_},
            {"classes", std::move(classes)},
            {"errors", std::move(errors)}};
}

void LoadReport::print() const
{
    std::vector<std::vector<std::string>> rows;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[name, stats] : classes_) {
            rows.push_back({name, std::to_string(stats.programs), std::to_string(stats.finished),
                            std::to_string(stats.calls), std::to_string(stats.notRun), std::to_string(stats.unknown),
                            formatRounded(percentile(stats.workMs, 0.5)), formatRounded(percentile(stats.workMs, 0.95)),
                            formatRounded(percentile(stats.workMs, 0.99)),
                            formatRounded(percentile(stats.firstTokenMs, 0.5)),
                            formatRounded(percentile(stats.firstTokenMs, 0.95)),
                            formatRounded(percentile(stats.firstTokenMs, 0.99))});
        }
    }
    printTable({"CLASS", "PROGRAMS", "FINISHED", "CALLS", "NOT RUN", "UNKNOWN", "WORK P50", "P95", "P99", "FIRST P50",
                "P95", "P99"},
               rows);
    const std::lock_guard lock(mutex_);
    std::cout << fmt::format("times in ms; streams resumed {}, histories broken {}, longest silence {:.0f} ms\n",
                             resumes_, brokenHistories_, longestSilenceMs_);
    for (const auto &[text, count] : errors_) {
        std::cout << fmt::format("{} x {}\n", count, text);
    }
}

} // namespace cardamompost::cli
