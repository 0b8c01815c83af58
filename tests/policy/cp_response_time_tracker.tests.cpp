#include <cardamompost/policy/cp_response_time_tracker.hpp>

#include <boost/test/unit_test.hpp>

#include <random>

using namespace cardamompost;

BOOST_AUTO_TEST_SUITE(answer_time)

BOOST_AUTO_TEST_CASE(half_of_the_time_is_waited_while_nothing_is_known)
{
    ResponseTimeTracker time;
    BOOST_TEST(time.responseTimeout(Milliseconds(1000)).count() == 500);
    time.observe(Milliseconds(10));
    BOOST_TEST(time.responseTimeout(Milliseconds(1000)).count() == 500);
}

// A server runs a read and its answer is lost. The caller hears nothing for its whole patience of 1.5 s and its program
// fails, though reads take 50 ms and any other server would have answered at once.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_given_up_long_before_the_deadline_and_a_slow_one_is_not)
{
    ResponseTimeTracker time;
    std::mt19937_64 random(7);
    std::exponential_distribution<double> work(1.0 / 50);
    constexpr int answers = 4000;
    int givenUp = 0;
    for (int i = 0; i < answers; ++i) {
        const Milliseconds taken(static_cast<std::int64_t>(work(random)));
        givenUp += i > 100 && taken > time.responseTimeout(Milliseconds(10'000)) ? 1 : 0;
        time.observe(taken);
    }
    BOOST_TEST(givenUp <= answers / 500);
    BOOST_TEST(time.responseTimeout(Milliseconds(10'000)).count() < 1500);
    BOOST_TEST(time.responseTimeout(Milliseconds(300)).count() == 150);
}

BOOST_AUTO_TEST_CASE(patience_follows_servers_that_turn_slow)
{
    ResponseTimeTracker time;
    for (int i = 0; i < 100; ++i) {
        time.observe(Milliseconds(20));
    }
    BOOST_TEST(time.responseTimeout(Milliseconds(10'000)).count() == 200);
    for (int i = 0; i < 100; ++i) {
        time.observe(Milliseconds(400));
    }
    BOOST_TEST(time.responseTimeout(Milliseconds(10'000)).count() >= 400);
}

BOOST_AUTO_TEST_SUITE_END()
