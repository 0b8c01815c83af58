#include "../support/cp_limiter_simulation.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

constexpr TimePoint start {std::chrono::hours(1)};
constexpr Milliseconds idleTime {60'000};

Account account(const std::string &name, RequestLimit limit)
{
    Account account;
    account.name = name;
    account.limit = limit;
    return account;
}

//! A limiter whose accounts have full buckets.
RequestLimiter makeIdleLimiter(const std::vector<Account> &accounts, LimitTolerance tolerance = {})
{
    RequestLimiter limiter(tolerance);
    limiter.setLimits(accounts, start - idleTime);
    return limiter;
}

int admitted(RequestLimiter &limiter, const std::string &name, int requests, TimePoint now)
{
    int count = 0;
    static int id = 0;
    for (int i = 0; i < requests; ++i) {
        count += limiter.admit({name, std::to_string(++id), false}, now).isAdmitted ? 1 : 0;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_limiter)

BOOST_AUTO_TEST_CASE(an_account_without_a_limit_is_never_rejected)
{
    RequestLimiter limiter = makeIdleLimiter({account("free", {}), account("bound", {1, 1})});
    BOOST_TEST(admitted(limiter, "free", 1000, start) == 1000);
    BOOST_TEST(admitted(limiter, "unheard-of", 1000, start) == 1000);
    BOOST_TEST(admitted(limiter, "bound", 1000, start) < 3);
}

BOOST_AUTO_TEST_CASE(an_account_gets_its_burst_and_then_its_rate)
{
    RequestLimiter limiter = makeIdleLimiter({account("a", {10, 30})});
    const int inBurst = admitted(limiter, "a", 100, start);
    BOOST_TEST(inBurst >= 30);
    // Requests slightly over the rate are admitted with a delay.
    BOOST_TEST(inBurst <= 33);
    int later = 0;
    for (int ms = 0; ms < 10'000; ms += 50) {
        later += admitted(limiter, "a", 1, start + Milliseconds(ms));
    }
    BOOST_TEST(inBurst + later <= 30 + 100 + 3);
    BOOST_TEST(inBurst + later >= 30 + 100 - 1);
}

// Guards against rejecting a request that could be sent a moment later.
BOOST_AUTO_TEST_CASE(a_request_slightly_over_the_rate_is_delayed_instead_of_rejected)
{
    RequestLimiter limiter = makeIdleLimiter({account("a", {10, 1})});
    BOOST_TEST(limiter.admit({"a", "1", false}, start).delay.count() == 0);
    const RequestLimiter::Decision second = limiter.admit({"a", "2", false}, start);
    BOOST_TEST(second.isAdmitted);
    BOOST_TEST(second.delay.count() == 100);
}

// Guards against counting a request twice when the first response was lost.
BOOST_AUTO_TEST_CASE(a_repeated_request_counts_once)
{
    RequestLimiter limiter = makeIdleLimiter({account("a", {1, 2})});
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(limiter.admit({"a", "same", false}, start + Milliseconds(10 * i)).isAdmitted);
    }
    BOOST_TEST(limiter.admit({"a", "other", false}, start + Milliseconds(1000)).isAdmitted);
}

// Guards against rejected requests that are all retried at the same time.
BOOST_AUTO_TEST_CASE(rejected_requests_get_distinct_retry_times)
{
    RequestLimiter limiter = makeIdleLimiter({account("a", {20, 1})});
    admitted(limiter, "a", 10, start);
    Milliseconds last {0};
    for (int i = 0; i < 10; ++i) {
        const RequestLimiter::Decision decision = limiter.admit({"a", "r" + std::to_string(i), false}, start);
        BOOST_REQUIRE(!decision.isAdmitted);
        BOOST_TEST(decision.retryAfter.count() > last.count());
        last = decision.retryAfter;
    }
    BOOST_TEST(last.count() <= 2000);
}

// Guards against rejecting requests of programs in progress, after which none of them completes.
BOOST_AUTO_TEST_CASE(programs_in_progress_take_precedence_over_new_ones)
{
    RequestLimiter limiter = makeIdleLimiter({account("a", {100, 100})}, LimiterSimulation::tolerance());
    constexpr int requestsPerProgram = 10;
    constexpr Milliseconds step {100};
    struct Program {
        int done = 0;
        bool isRejected = false;
    };
    const TimePoint end = start + Milliseconds(20'000);
    std::vector<Program> programs;
    int started = 0;
    int id = 0;
    for (TimePoint now = start; now < end + requestsPerProgram * step; now += step) {
        // Each program sends its next request once per step; new programs arrive far faster than the limit allows.
        for (Program &program : programs) {
            if (!program.isRejected && program.done < requestsPerProgram) {
                const bool isAdmitted = limiter.admit({"a", std::to_string(++id), false}, now).isAdmitted;
                program.done += isAdmitted ? 1 : 0;
                program.isRejected = !isAdmitted;
            }
        }
        for (int i = 0; i < 8 && now < end; ++i) {
            if (limiter.admit({"a", std::to_string(++id), true}, now).isAdmitted) {
                ++started;
                programs.push_back({1, false});
            }
        }
    }
    const auto complete = std::count_if(programs.begin(), programs.end(),
                                        [](const Program &program) { return program.done == requestsPerProgram; });
    BOOST_TEST(started >= 150);
    BOOST_TEST(static_cast<double>(complete) >= 0.85 * started);
}

// Guards against a division by a slice of 0 ms.
BOOST_AUTO_TEST_CASE(a_window_of_a_few_milliseconds_is_enforced)
{
    constexpr LimitTolerance tiny {Milliseconds(5), 0, 0};
    RequestLimiter limiter = makeIdleLimiter({account("a", {1000, 2})}, tiny);
    const int inBurst = admitted(limiter, "a", 100, start);
    BOOST_TEST(inBurst >= 2);
    BOOST_TEST(inBurst <= 7);
    BOOST_TEST(admitted(limiter, "a", 1, start + Milliseconds(500)) == 1);
}

BOOST_AUTO_TEST_CASE(a_changed_limit_applies_immediately_and_refunds_nothing)
{
    RequestLimiter limiter = makeIdleLimiter({account("a", {100, 100})});
    admitted(limiter, "a", 1000, start);
    limiter.setLimits({account("a", {10, 10})}, start);
    BOOST_TEST(admitted(limiter, "a", 100, start) == 0);
    BOOST_TEST(admitted(limiter, "a", 100, start + Milliseconds(500)) <= 5);
    limiter.setLimits({account("a", {100, 100})}, start + Milliseconds(500));
    BOOST_TEST(admitted(limiter, "a", 1000, start + Milliseconds(600)) <= 40);
}

// Guards against rejecting accounts within their limit after a leader change.
BOOST_AUTO_TEST_CASE(a_new_leader_restores_the_reported_usage)
{
    RequestLimiter first = makeIdleLimiter({account("a", {100, 100})}, LimiterSimulation::tolerance());
    const int before = admitted(first, "a", 20, start);
    UsageLog usage;
    usage.add(1000, first.takeReport(start));
    RequestLimiter second = makeIdleLimiter({account("a", {100, 100})}, LimiterSimulation::tolerance());
    second.restoreUsage(usage, 1000, start);
    const int admittedBySecond = admitted(second, "a", 1000, start);
    const int admittedByFirst = admitted(first, "a", 1000, start);
    BOOST_TEST(before == 20);
    BOOST_TEST(admittedBySecond >= admittedByFirst - 2);
    BOOST_TEST(admittedBySecond <= admittedByFirst + 2);
}

BOOST_AUTO_TEST_CASE(an_account_waits_while_too_much_usage_is_unreported)
{
    RequestLimiter limiter = makeIdleLimiter({account("a", {100, 100})}, LimiterSimulation::tolerance());
    BOOST_TEST(!limiter.mustWaitForReport("a"));
    admitted(limiter, "a", 20, start);
    BOOST_TEST(limiter.mustWaitForReport("a"));
    const std::vector<AccountUsage> report = limiter.takeReport(start);
    BOOST_TEST(limiter.mustWaitForReport("a"));
    limiter.endReport(report, false);
    BOOST_TEST(limiter.mustWaitForReport("a"));
    limiter.endReport(limiter.takeReport(start), true);
    BOOST_TEST(!limiter.mustWaitForReport("a"));
}

// Guards against exceeding the limit through repeated leader changes and lost responses.
BOOST_AUTO_TEST_CASE(no_window_exceeds_the_limit_while_leaders_change)
{
    constexpr std::uint64_t seeds = 300;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        LimiterSimulation simulation(seed);
        const double excess = simulation.run();
        BOOST_TEST(excess <= 0, "seed " << seed << ": " << excess << " too many");
        BOOST_TEST(simulation.admitted() > 0);
    }
}

BOOST_AUTO_TEST_CASE(the_window_check_detects_each_injected_fault)
{
    for (const InjectedFault fault : {InjectedFault::FullBucketAtTakeover, InjectedFault::IgnoresDuplicates,
                                      InjectedFault::NoSharedCount, InjectedFault::AdmitsUnreported}) {
        int detected = 0;
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            detected += LimiterSimulation(seed, fault).run() > 0 ? 1 : 0;
        }
        BOOST_TEST(detected > 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()
