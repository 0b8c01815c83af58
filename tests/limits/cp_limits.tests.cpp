#include <cardamompost/limits/cp_retry_budget.hpp>
#include <cardamompost/limits/cp_token_bucket.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

BOOST_AUTO_TEST_SUITE(limits)

// Guards against a retry storm when all backend servers time out.
BOOST_AUTO_TEST_CASE(retries_are_limited_to_a_share_of_first_attempts)
{
    RetryBudget budget(0.1, 10.0);
    int retries = 0;
    for (int attempt = 0; attempt < 1000; ++attempt) {
        budget.onFirstAttempt();
        retries += budget.tryRetry() ? 1 : 0;
    }
    BOOST_TEST(retries <= 110);
    BOOST_TEST(retries >= 100);
}

BOOST_AUTO_TEST_CASE(a_token_bucket_keeps_its_rate_and_reports_the_time_until_the_next_token)
{
    const TimePoint start {std::chrono::hours(1)};
    TokenBucket bucket(10.0, 5.0, start);
    int taken = 0;
    for (int ms = 0; ms < 10'000; ms += 10) {
        taken += bucket.tryTake(1.0, start + Milliseconds(ms)) ? 1 : 0;
    }
    BOOST_TEST(taken <= 105);
    BOOST_TEST(taken >= 100);
    const TimePoint later = start + Milliseconds(10'000);
    while (bucket.tryTake(1.0, later)) { }
    const Milliseconds wait = bucket.timeUntil(1.0, later);
    BOOST_TEST(wait.count() > 0);
    BOOST_TEST(bucket.tryTake(1.0, later + wait));
}

BOOST_AUTO_TEST_CASE(lowering_the_burst_discards_excess_tokens)
{
    const TimePoint start {std::chrono::hours(1)};
    TokenBucket bucket(100.0, 100.0, start);
    bucket.setRate(1.0, 2.0, start);
    BOOST_TEST(bucket.tryTake(2.0, start));
    BOOST_TEST(!bucket.tryTake(1.0, start));
}

BOOST_AUTO_TEST_SUITE_END()
