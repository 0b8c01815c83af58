#include <cardamompost/policy/cp_completion_times.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

BOOST_AUTO_TEST_SUITE(completion_times)

BOOST_AUTO_TEST_CASE(nothing_is_known_before_the_first_request_and_long_after_the_last)
{
    CompletionTimes times;
    const TimePoint start {std::chrono::hours(1)};
    BOOST_TEST(!times.longest(start).has_value());
    times.observe(Milliseconds(100), start);
    BOOST_TEST(times.longest(start).has_value());
    BOOST_TEST(!times.longest(start + 2 * CompletionTimes::window).has_value());
}

BOOST_AUTO_TEST_CASE(the_slowest_request_counts_for_at_least_a_window)
{
    CompletionTimes times;
    TimePoint now {std::chrono::hours(1)};
    times.observe(Milliseconds(10), now);
    now += CompletionTimes::window - Milliseconds(1);
    times.observe(Milliseconds(5000), now);
    const TimePoint slowestAt = now;
    while (now < slowestAt + CompletionTimes::window) {
        now += Milliseconds(500);
        times.observe(Milliseconds(20), now);
        BOOST_TEST(times.longest(now).value().count() == 5000);
    }
}

// Guards against requests that are refused because of a server that was slow once.
BOOST_AUTO_TEST_CASE(a_slow_request_is_forgotten_after_two_windows)
{
    CompletionTimes times;
    TimePoint now {std::chrono::hours(1)};
    times.observe(Milliseconds(5000), now);
    const TimePoint end = now + 2 * CompletionTimes::window;
    while (now <= end) {
        now += Milliseconds(500);
        times.observe(Milliseconds(20), now);
    }
    BOOST_TEST(times.longest(now).value().count() == 20);
}

BOOST_AUTO_TEST_SUITE_END()
