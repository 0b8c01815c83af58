#include "../support/cp_limit_storm.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

constexpr TimePoint start {std::chrono::hours(1)};
constexpr Milliseconds longAgo {60'000};

Account account(const std::string &name, RequestLimit limit)
{
    Account account;
    account.name = name;
    account.limit = limit;
    return account;
}

//! Limits of accounts that have not sent anything for long.
RequestLimiter rested(const std::vector<Account> &accounts, LimitTolerance tolerance = {})
{
    RequestLimiter limiter(tolerance);
    limiter.setLimits(accounts, start - longAgo);
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

BOOST_AUTO_TEST_CASE(an_account_without_a_limit_is_never_refused)
{
    RequestLimiter limiter = rested({account("free", {}), account("bound", {1, 1})});
    BOOST_TEST(admitted(limiter, "free", 1000, start) == 1000);
    BOOST_TEST(admitted(limiter, "unheard-of", 1000, start) == 1000);
    BOOST_TEST(admitted(limiter, "bound", 1000, start) < 3);
}

BOOST_AUTO_TEST_CASE(an_account_gets_its_burst_and_then_its_rate)
{
    RequestLimiter limiter = rested({account("a", {10, 30})});
    const int atOnce = admitted(limiter, "a", 100, start);
    BOOST_TEST(atOnce >= 30);
    // Those whose turn comes soon are admitted with a delay.
    BOOST_TEST(atOnce <= 33);
    int later = 0;
    for (int ms = 0; ms < 10'000; ms += 50) {
        later += admitted(limiter, "a", 1, start + Milliseconds(ms));
    }
    BOOST_TEST(atOnce + later <= 30 + 100 + 3);
    BOOST_TEST(atOnce + later >= 30 + 100 - 1);
}

// Guards against a request that is refused although it could be sent a moment later.
BOOST_AUTO_TEST_CASE(a_request_whose_turn_comes_soon_waits_for_it)
{
    RequestLimiter limiter = rested({account("a", {10, 1})});
    BOOST_TEST(limiter.admit({"a", "1", false}, start).delay.count() == 0);
    const RequestLimiter::Decision second = limiter.admit({"a", "2", false}, start);
    BOOST_TEST(second.isAdmitted);
    BOOST_TEST(second.delay.count() == 100);
}

// Guards against a request that counts twice since the answer to the first question was lost.
BOOST_AUTO_TEST_CASE(a_request_that_asks_again_counts_once)
{
    RequestLimiter limiter = rested({account("a", {1, 2})});
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(limiter.admit({"a", "same", false}, start + Milliseconds(10 * i)).isAdmitted);
    }
    BOOST_TEST(limiter.admit({"a", "other", false}, start + Milliseconds(1000)).isAdmitted);
}

// Guards against callers that were refused together and come back together, to be refused again.
BOOST_AUTO_TEST_CASE(refused_callers_are_sent_back_at_different_times)
{
    RequestLimiter limiter = rested({account("a", {20, 1})});
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

// Guards against an account far over its limit of which every program loses some request and none ends.
BOOST_AUTO_TEST_CASE(programs_that_have_begun_go_before_new_ones)
{
    RequestLimiter limiter = rested({account("a", {100, 100})}, LimitStorm::tolerance());
    constexpr int requestsAProgram = 10;
    constexpr Milliseconds step {100};
    struct Program {
        int done = 0;
        bool isRefused = false;
    };
    const TimePoint end = start + Milliseconds(20'000);
    std::vector<Program> programs;
    int begun = 0;
    int id = 0;
    for (TimePoint now = start; now < end + requestsAProgram * step; now += step) {
        // Each asks for its next request once in a step; 7.5 times as many come as the limit holds.
        for (Program &program : programs) {
            if (!program.isRefused && program.done < requestsAProgram) {
                const bool isAdmitted = limiter.admit({"a", std::to_string(++id), false}, now).isAdmitted;
                program.done += isAdmitted ? 1 : 0;
                program.isRefused = !isAdmitted;
            }
        }
        for (int i = 0; i < 8 && now < end; ++i) {
            if (limiter.admit({"a", std::to_string(++id), true}, now).isAdmitted) {
                ++begun;
                programs.push_back({1, false});
            }
        }
    }
    const auto whole = std::count_if(programs.begin(), programs.end(),
                                     [](const Program &program) { return program.done == requestsAProgram; });
    BOOST_TEST(begun >= 150);
    BOOST_TEST(static_cast<double>(whole) >= 0.85 * begun);
}

// Guards against a division by a slice of 0 ms.
BOOST_AUTO_TEST_CASE(a_window_of_a_few_milliseconds_is_kept_too)
{
    constexpr LimitTolerance tiny {Milliseconds(5), 0, 0};
    RequestLimiter limiter = rested({account("a", {1000, 2})}, tiny);
    const int atOnce = admitted(limiter, "a", 100, start);
    BOOST_TEST(atOnce >= 2);
    BOOST_TEST(atOnce <= 7);
    BOOST_TEST(admitted(limiter, "a", 1, start + Milliseconds(500)) == 1);
}

BOOST_AUTO_TEST_CASE(a_changed_limit_holds_at_once_and_gives_nothing_back)
{
    RequestLimiter limiter = rested({account("a", {100, 100})});
    admitted(limiter, "a", 1000, start);
    limiter.setLimits({account("a", {10, 10})}, start);
    BOOST_TEST(admitted(limiter, "a", 100, start) == 0);
    BOOST_TEST(admitted(limiter, "a", 100, start + Milliseconds(500)) <= 5);
    limiter.setLimits({account("a", {100, 100})}, start + Milliseconds(500));
    BOOST_TEST(admitted(limiter, "a", 1000, start + Milliseconds(600)) <= 40);
}

// Guards accounts within their limit against refusals after each change of the leader.
BOOST_AUTO_TEST_CASE(a_leader_that_takes_over_knows_what_was_reported)
{
    RequestLimiter first = rested({account("a", {100, 100})}, LimitStorm::tolerance());
    const int before = admitted(first, "a", 20, start);
    UsageLog usage;
    usage.add(1000, first.takeReport(start));
    RequestLimiter second = rested({account("a", {100, 100})}, LimitStorm::tolerance());
    second.takeOver(usage, 1000, start);
    const int after = admitted(second, "a", 1000, start);
    const int alone = admitted(first, "a", 1000, start);
    BOOST_TEST(before == 20);
    BOOST_TEST(after >= alone - 2);
    BOOST_TEST(after <= alone + 2);
}

BOOST_AUTO_TEST_CASE(an_account_waits_while_too_much_of_it_is_unreported)
{
    RequestLimiter limiter = rested({account("a", {100, 100})}, LimitStorm::tolerance());
    BOOST_TEST(!limiter.waitsForReport("a"));
    admitted(limiter, "a", 20, start);
    BOOST_TEST(limiter.waitsForReport("a"));
    const std::vector<AccountUsage> report = limiter.takeReport(start);
    BOOST_TEST(limiter.waitsForReport("a"));
    limiter.endReport(report, false);
    BOOST_TEST(limiter.waitsForReport("a"));
    limiter.endReport(limiter.takeReport(start), true);
    BOOST_TEST(!limiter.waitsForReport("a"));
}

// Guards the limit against changes of leaders in series, and against lost answers.
BOOST_AUTO_TEST_CASE(no_window_has_more_than_the_limit_while_leaders_change)
{
    constexpr std::uint64_t seeds = 300;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        LimitStorm storm(seed);
        const double excess = storm.run();
        BOOST_TEST(excess <= 0, "seed " << seed << ": " << excess << " too many");
        BOOST_TEST(storm.admitted() > 0);
    }
}

BOOST_AUTO_TEST_CASE(the_exact_window_notices_each_planted_fault)
{
    for (const PlantedFault fault : {PlantedFault::FullAtTakeover, PlantedFault::CountsNoRepeats,
                                     PlantedFault::NoSharedCount, PlantedFault::AdmitsUnreported}) {
        int noticed = 0;
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            noticed += LimitStorm(seed, fault).run() > 0 ? 1 : 0;
        }
        BOOST_TEST(noticed > 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()
