#ifndef CARDAMOMPOST_BENCHMARKS_CP_BENCH_HPP_INCLUDED
#define CARDAMOMPOST_BENCHMARKS_CP_BENCH_HPP_INCLUDED

#include <fmt/format.h>

#include <chrono>
#include <iostream>
#include <string>

namespace cardamompost::bench
{

//! Runs `work` and returns its wall-clock time in seconds.
template<typename Work>
double secondsOf(Work work)
{
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

//! Prints results and checks them against bounds. Bounded results should be ratios of values from one run, so that the
//! outcome does not depend on the load of the machine.
class Bounds
{
public:
    void atLeast(const std::string &name, double value, double bound)
    {
        report(name, value, value >= bound, fmt::format("at least {}", bound));
    }
    void atMost(const std::string &name, double value, double bound)
    {
        report(name, value, value <= bound, fmt::format("at most {}", bound));
    }
    void show(const std::string &name, double value, const std::string &unit)
    {
        std::cout << fmt::format("{:<64} {:>12.3f} {}\n", name, value, unit);
    }
    [[nodiscard]] int exitCode() const
    {
        return hasViolation_ ? 1 : 0;
    }

private:
    void report(const std::string &name, double value, bool isMet, const std::string &bound)
    {
        std::cout << fmt::format("{:<64} {:>12.3f} {} ({})\n", name, value, isMet ? "holds" : "BROKEN", bound);
        hasViolation_ = hasViolation_ || !isMet;
    }

    bool hasViolation_ = false;
};

} // namespace cardamompost::bench

#endif // CARDAMOMPOST_BENCHMARKS_CP_BENCH_HPP_INCLUDED
