#include <cardamompost/policy/cp_drain_schedule.hpp>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace cardamompost;

BOOST_AUTO_TEST_SUITE(drain_schedule)

// Guards against a shutdown with fixed times, which a short grace period cuts off and a long one does not use.
BOOST_DATA_TEST_CASE(the_stages_follow_each_other_within_any_grace_period,
                     boost::unit_test::data::make({1, 40, 400, 1000, 2500, 8000, 30'000, 600'000}), graceMs)
{
    const Milliseconds grace(graceMs);
    const DrainSchedule schedule = DrainSchedule::forGrace(grace);
    BOOST_TEST(schedule.acceptTime.count() >= 0);
    BOOST_TEST((schedule.streamEstimateTime <= schedule.acceptTime));
    BOOST_TEST((schedule.acceptTime <= schedule.earliestExitTime));
    BOOST_TEST((schedule.earliestExitTime <= schedule.responseTime));
    BOOST_TEST((schedule.responseTime <= schedule.exitTime));
    BOOST_TEST((schedule.exitTime <= grace));
    // Streams are not reset before the last sixth of the grace period.
    BOOST_TEST((6 * schedule.responseTime >= 5 * grace));
}

BOOST_AUTO_TEST_CASE(a_longer_grace_period_gives_requests_more_time)
{
    const DrainSchedule usual = DrainSchedule::forGrace(Milliseconds(8000));
    const DrainSchedule longer = DrainSchedule::forGrace(Milliseconds(30'000));
    BOOST_TEST((longer.responseTime - longer.acceptTime > usual.responseTime - usual.acceptTime));
    BOOST_TEST((longer.acceptTime <= DrainSchedule::maxAcceptTime));
}

// Guards against a process that ends in the step in which it gives its requests up, since it was suspended until then.
BOOST_AUTO_TEST_CASE(the_last_stage_keeps_its_length_after_a_suspension)
{
    const DrainSchedule schedule = DrainSchedule::forGrace(Milliseconds(8000));
    const TimePoint start {std::chrono::hours(1)};
    DrainProgress progress(start, schedule);
    BOOST_TEST(!progress.mustGiveUp(start));
    const TimePoint resumed = start + Milliseconds(20'000);
    BOOST_TEST(!progress.isOutOfTime(resumed));
    BOOST_TEST(progress.mustGiveUp(resumed));
    BOOST_TEST(!progress.isOutOfTime(resumed + progress.pollInterval()));
    BOOST_TEST(progress.isOutOfTime(resumed + schedule.exitTime - schedule.responseTime));
}

BOOST_AUTO_TEST_SUITE_END()
