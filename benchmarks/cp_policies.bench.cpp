#include "cp_bench.hpp"
#include "cp_policy_run.hpp"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <fstream>
#include <thread>

// Compares scheduling policies under several load profiles, in virtual time with fixed seeds.
// Usage: bench_policies [TABLE.tsv]. Loads are relative to the capacity of the first policy pair, the baseline.

namespace
{

using namespace cardamompost;
using namespace cardamompost::bench;

struct PolicyPair {
    std::string name;
    std::string queue;
    std::string placement;
};

const std::vector<PolicyPair> policyPairs {{"fcfs+least-load", "first-come-first-served", "least-load"},
                                           {"fcfs+round-robin", "first-come-first-served", "round-robin"},
                                           {"fcfs+random", "first-come-first-served", "random"},
                                           {"ranked+least-load", "ranked-arrival", "least-load"},
                                           {"fcfs+warm-detour", "first-come-first-served", "warm-detour"},
                                           {"las+warm-detour", "least-attained-service", "warm-detour"}};

constexpr double runSeconds = 200.0;
constexpr double calibrationSeconds = 100.0;

const std::vector<double> loads {0.6, 0.8, 0.95, 1.2};

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return NAN;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

struct Row {
    std::string profile;
    std::string policy;
    std::string condition;
    double load = 0;
    PolicyRunResult result;
};

PolicyRunResult runOne(const std::string &profile, const PolicyPair &pair, double rate, double slowFactor,
                       double seconds)
{
    PolicyRunOptions options;
    options.queuePolicy = pair.queue;
    options.placementPolicy = pair.placement;
    options.profile = profile;
    options.programsPerSecond = rate;
    options.slowFactor = slowFactor;
    options.seconds = seconds;
    return PolicyRun(options).run();
}

double meanRateFactor(const std::string &profile)
{
    const cli::LoadProfile loadProfile = *cli::findProfile(profile);
    return 1.0 + loadProfile.burstSeconds / loadProfile.burstEverySeconds * (loadProfile.burstFactor - 1.0);
}

// Returns the mean rate, bursts included, of programs per second that keep all slots of the baseline in use.
// Extrapolated from 90 % utilisation, since larger batches run slower.
double measureCapacity(const std::string &profile)
{
    double rate = 1.0;
    for (int round = 0; round < 4; ++round) {
        const PolicyRunResult result = runOne(profile, policyPairs.front(), rate, 1.0, calibrationSeconds);
        rate *= 0.9 / result.utilisation;
    }
    return rate / 0.9 * meanRateFactor(profile);
}

void writeTable(const std::string &file, const std::vector<Row> &rows)
{
    std::ofstream out(file);
    out << "profile\tpolicy\tcondition\tload\tclass\tprograms\tp50_ms\tp95_ms\tp99_ms\tstretch_p95\tshed_"
           "calls\trecomputed_share\tfinished_per_s\tgoodput_ms_per_s\n";
    for (const Row &row : rows) {
        const double recomputed = static_cast<double>(row.result.recomputedTokens)
            / static_cast<double>(std::max<std::int64_t>(1, row.result.promptTokens));
        for (const auto &[name, classResult] : row.result.classes) {
            out << fmt::format("{}\t{}\t{}\t{}\t{}\t{}\t{:.0f}\t{:.0f}\t{:.0f}\t{:.2f}\t{}\t{:.4f}\t{:.3f}\t{:.0f}\n",
                               row.profile, row.policy, row.condition, row.load, name, classResult.workMs.size(),
                               percentile(classResult.workMs, 0.5), percentile(classResult.workMs, 0.95),
                               percentile(classResult.workMs, 0.99), percentile(classResult.stretch, 0.95),
                               classResult.shedCalls, recomputed, row.result.finishedPerSecond, row.result.goodput);
        }
    }
}

const Row &find(const std::vector<Row> &rows, const std::string &profile, const std::string &policy,
                const std::string &condition, double load)
{
    return *std::find_if(rows.begin(), rows.end(), [&](const Row &row) {
        return row.profile == profile && row.policy == policy && row.condition == condition && row.load == load;
    });
}

double p95(const Row &row, const std::string &workClass)
{
    return percentile(row.result.classes.at(workClass).workMs, 0.95);
}

void checkBounds(const std::vector<Row> &rows, const std::string &profile, const std::string &highest, Bounds &bounds)
{
    const Row &baseline95 = find(rows, profile, "fcfs+least-load", "even", 0.95);
    const Row &warmDetour95 = find(rows, profile, "las+warm-detour", "even", 0.95);
    const Row &warmDetour60 = find(rows, profile, "las+warm-detour", "even", 0.6);
    const Row &warmDetour120 = find(rows, profile, "las+warm-detour", "even", 1.2);
    bounds.atMost(profile + ": p95 of the highest rank at 95 %, against the baseline",
                  p95(warmDetour95, highest) / p95(baseline95, highest), 0.5);
    bounds.atMost(profile + ": p95 of the highest rank at 60 %, against the bound",
                  percentile(warmDetour60.result.classes.at(highest).stretch, 0.95), 1.3);
    const double baselineRecomputed = static_cast<double>(baseline95.result.recomputedTokens);
    bounds.atMost(profile + ": prompt tokens computed again at 95 %, against the baseline",
                  static_cast<double>(warmDetour95.result.recomputedTokens) / baselineRecomputed, 0.3);
    bounds.atLeast(profile + ": work of finished programs at 120 %, against 95 %",
                   warmDetour120.result.goodput / warmDetour95.result.goodput, 0.9);
    bounds.atMost(profile + ": calls of the highest rank shed at 120 %",
                  static_cast<double>(warmDetour120.result.classes.at(highest).shedCalls), 0);
}

void runAll(std::vector<Row> &rows, const std::map<std::string, double> &capacities)
{
    std::atomic<std::size_t> next {0};
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency()); ++i) {
        threads.emplace_back([&] {
            for (std::size_t at = next++; at < rows.size(); at = next++) {
                Row &row = rows[at];
                const auto pair = std::find_if(policyPairs.begin(), policyPairs.end(),
                                               [&](const PolicyPair &item) { return item.name == row.policy; });
                const double rate = row.load * capacities.at(row.profile) / meanRateFactor(row.profile);
                row.result = runOne(row.profile, *pair, rate, row.condition == "even" ? 1.0 : 4.0, runSeconds);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<Row> rows;
    std::map<std::string, double> capacities;
    for (const std::string profile : {"okpara", "gatewise"}) {
        capacities[profile] = measureCapacity(profile);
        std::cout << fmt::format("{}: {:.2f} programs a second fill the baseline\n", profile, capacities[profile])
                  << std::flush;
        for (const PolicyPair &pair : policyPairs) {
            for (const double load : loads) {
                rows.push_back({profile, pair.name, "even", load, {}});
            }
            rows.push_back({profile, pair.name, "one slow", 0.8, {}});
        }
    }
    runAll(rows, capacities);
    if (argc > 1) {
        writeTable(argv[1], rows);
    }
    Bounds bounds;
    checkBounds(rows, "okpara", "plan-session", bounds);
    checkBounds(rows, "gatewise", "dispatcher-session", bounds);
    return bounds.exitCode();
}
