#include <cardamompost/policy/cp_response_time_tracker.hpp>

#include <boost/test/unit_test.hpp>

#include <random>

using namespace cardamompost;

BOOST_AUTO_TEST_SUITE(response_time_tracker)

BOOST_AUTO_TEST_CASE(the_timeout_is_half_of_the_time_left_without_enough_samples)
{
    ResponseTimeTracker tracker;
    BOOST_TEST(tracker.responseTimeout(Milliseconds(1000)).count() == 500);
    tracker.observe(Milliseconds(10));
    BOOST_TEST(tracker.responseTimeout(Milliseconds(1000)).count() == 500);
}

// Guards against waiting until the deadline for a lost response when another server could still answer.
BOOST_AUTO_TEST_CASE(a_lost_response_times_out_before_the_deadline_and_a_slow_one_does_not)
{
    ResponseTimeTracker tracker;
    std::mt19937_64 random(7);
    std::exponential_distribution<double> serviceTime(1.0 / 50);
    constexpr int responses = 4000;
    int falseTimeouts = 0;
    for (int i = 0; i < responses; ++i) {
        const Milliseconds responseTime(static_cast<std::int64_t>(serviceTime(random)));
        falseTimeouts += i > 100 && responseTime > tracker.responseTimeout(Milliseconds(10'000)) ? 1 : 0;
        tracker.observe(responseTime);
    }
    BOOST_TEST(falseTimeouts <= responses / 500);
    BOOST_TEST(tracker.responseTimeout(Milliseconds(10'000)).count() < 1500);
    BOOST_TEST(tracker.responseTimeout(Milliseconds(300)).count() == 150);
}

BOOST_AUTO_TEST_CASE(the_timeout_follows_servers_that_become_slow)
{
    ResponseTimeTracker tracker;
    for (int i = 0; i < 100; ++i) {
        tracker.observe(Milliseconds(20));
    }
    BOOST_TEST(tracker.responseTimeout(Milliseconds(10'000)).count() == 200);
    for (int i = 0; i < 100; ++i) {
        tracker.observe(Milliseconds(400));
    }
    BOOST_TEST(tracker.responseTimeout(Milliseconds(10'000)).count() >= 400);
}

BOOST_AUTO_TEST_SUITE_END()
