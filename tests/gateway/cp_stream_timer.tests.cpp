#include "gateway/cp_stream_timer.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

TimePoint at(int milliseconds)
{
    return TimePoint() + std::chrono::hours(1) + Milliseconds(milliseconds);
}

} // namespace

BOOST_AUTO_TEST_SUITE(stream_timer)

BOOST_AUTO_TEST_CASE(events_that_are_waited_for_are_timed_by_when_they_are_read)
{
    StreamTimer timer;
    timer.start(at(0), 0);
    timer.onHead(at(20));
    timer.beforeRead(at(21), false);
    timer.afterRead(at(40), 1);
    timer.beforeRead(at(41), false);
    timer.afterRead(at(140), 2);
    timer.beforeRead(at(141), false);
    timer.afterRead(at(240), 3);
    // The end of the response follows the last event.
    timer.beforeRead(at(241), false);
    timer.afterRead(at(290), 3);
    BOOST_TEST(timer.firstEventMs() == 40U);
    BOOST_TEST(timer.streamMs() == 200U);
}

// Guards against streams without times because each event takes several reads.
BOOST_AUTO_TEST_CASE(an_event_that_takes_several_reads_is_timed_by_the_one_that_was_waited_for)
{
    StreamTimer timer;
    timer.start(at(0), 0);
    timer.onHead(at(1));
    for (const int arrival : {150, 300, 450}) {
        const auto events = static_cast<std::uint64_t>(arrival / 150);
        timer.beforeRead(at(arrival - 100), false);
        timer.afterRead(at(arrival), events - 1);
        timer.beforeRead(at(arrival), true);
        timer.afterRead(at(arrival + 2), events);
    }
    BOOST_TEST(timer.firstEventMs() == 151U);
    BOOST_TEST(timer.streamMs() == 300U);
}

// Guards against engines that look fast because the ledger was slow to grant their turns.
BOOST_AUTO_TEST_CASE(a_first_event_that_arrived_during_a_long_wait_gives_no_time)
{
    StreamTimer timer;
    timer.start(at(0), 0);
    timer.onHead(at(20));
    timer.beforeRead(at(120), true);
    timer.afterRead(at(120), 2);
    timer.beforeRead(at(121), false);
    timer.afterRead(at(320), 5);
    BOOST_TEST(timer.firstEventMs() == 0U);
    BOOST_TEST(timer.streamMs() == 0U);
}

BOOST_AUTO_TEST_CASE(a_first_event_that_arrived_during_a_short_wait_is_timed_by_the_middle_of_it)
{
    StreamTimer timer;
    timer.start(at(0), 0);
    timer.onHead(at(100));
    timer.beforeRead(at(110), true);
    timer.afterRead(at(110), 1);
    timer.beforeRead(at(110), false);
    timer.afterRead(at(310), 4);
    BOOST_TEST(timer.firstEventMs() == 105U);
    BOOST_TEST(timer.streamMs() == 205U);
}

// Guards against engines that look slow because a caller reads slowly.
BOOST_AUTO_TEST_CASE(a_last_event_that_arrived_while_the_caller_was_written_to_gives_no_time)
{
    StreamTimer timer;
    timer.start(at(0), 0);
    timer.onHead(at(20));
    timer.beforeRead(at(20), false);
    timer.afterRead(at(40), 1);
    timer.beforeRead(at(400), true);
    timer.afterRead(at(400), 4);
    BOOST_TEST(timer.firstEventMs() == 40U);
    BOOST_TEST(timer.streamMs() == 0U);
}

// Guards against a time that two engines share.
BOOST_AUTO_TEST_CASE(a_stream_that_another_server_began_gives_no_time)
{
    StreamTimer timer;
    timer.start(at(0), 0);
    timer.beforeRead(at(0), false);
    timer.afterRead(at(40), 1);
    timer.start(at(100), 1);
    timer.beforeRead(at(110), false);
    timer.afterRead(at(140), 2);
    timer.beforeRead(at(141), false);
    timer.afterRead(at(240), 3);
    BOOST_TEST(timer.firstEventMs() == 0U);
    BOOST_TEST(timer.streamMs() == 0U);
}

BOOST_AUTO_TEST_CASE(a_stream_with_less_than_two_events_or_that_is_read_at_once_has_no_time)
{
    StreamTimer timer;
    timer.start(at(0), 0);
    BOOST_TEST(timer.firstEventMs() == 0U);
    timer.beforeRead(at(20), false);
    timer.afterRead(at(40), 1);
    BOOST_TEST(timer.firstEventMs() == 40U);
    BOOST_TEST(timer.streamMs() == 0U);
    timer.start(at(0), 0);
    timer.beforeRead(at(20), false);
    timer.afterRead(at(40), 6);
    BOOST_TEST(timer.streamMs() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
