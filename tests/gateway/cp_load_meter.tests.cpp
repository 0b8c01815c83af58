#include "gateway/cp_load_meter.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

constexpr double processorShare = 0.25;
constexpr Milliseconds interval {100};

//! A meter in virtual time.
class MeterFixture
{
public:
    //! \param used  processor time used in each interval
    //! \param waited  how late the timer is in each interval
    void run(Milliseconds duration, std::chrono::nanoseconds used, Milliseconds waited = Milliseconds(0))
    {
        for (Milliseconds elapsed {0}; elapsed < duration; elapsed += interval) {
            now += interval;
            processorTime += used;
            meter.record(now, processorTime, waited);
        }
    }

    LoadMeter meter {processorShare};
    TimePoint now = TimePoint() + std::chrono::hours(1);
    std::chrono::nanoseconds processorTime = std::chrono::hours(2);
};

const auto near = boost::test_tools::tolerance(0.02);

} // namespace

BOOST_AUTO_TEST_SUITE(load_meter)

// Guards against processor time from before the first record that counts as load.
BOOST_AUTO_TEST_CASE(the_load_is_unknown_before_the_first_interval)
{
    MeterFixture fixture;
    BOOST_TEST(fixture.meter.permille() == 0U);
    fixture.meter.record(fixture.now, fixture.processorTime, Milliseconds(0));
    BOOST_TEST(fixture.meter.permille() == 0U);
    fixture.run(interval, Milliseconds(0));
    BOOST_TEST(fixture.meter.permille() == 1U);
}

BOOST_AUTO_TEST_CASE(the_load_is_the_used_part_of_the_processor_share)
{
    MeterFixture fixture;
    fixture.run(Milliseconds(10'000), Milliseconds(10));
    BOOST_TEST(fixture.meter.load() == 0.4, near);
    BOOST_TEST(fixture.meter.permille() == 400U);
}

// Guards against a moment of load that widens a domain's answers, and against load that is noticed late.
BOOST_AUTO_TEST_CASE(the_load_is_smoothed_over_about_a_second)
{
    MeterFixture fixture;
    fixture.run(Milliseconds(5000), Milliseconds(5));
    fixture.run(interval, Milliseconds(25));
    BOOST_TEST(fixture.meter.load() < 0.3);
    fixture.run(Milliseconds(900), Milliseconds(25));
    BOOST_TEST(fixture.meter.load() > 0.65);
    BOOST_TEST(fixture.meter.load() < 0.75);
}

// Guards against an entry that reports the same load whether it just copes or falls ever further behind.
BOOST_AUTO_TEST_CASE(time_spent_waiting_for_the_processor_is_added)
{
    MeterFixture fixture;
    fixture.run(Milliseconds(10'000), Milliseconds(25), Milliseconds(40));
    BOOST_TEST(fixture.meter.load() == 1.4, near);
    fixture.run(Milliseconds(10'000), Milliseconds(25), Milliseconds(5000));
    BOOST_TEST(fixture.meter.load() == LoadMeter::maxLoad, near);
    BOOST_TEST(fixture.meter.permille() <= 2000U);
}

// Guards against intervals too short to measure, as when the readiness changes between two heartbeats.
BOOST_AUTO_TEST_CASE(short_intervals_are_added_to_the_next_one)
{
    MeterFixture fixture;
    fixture.run(Milliseconds(10'000), Milliseconds(10));
    for (int i = 0; i < 100; ++i) {
        fixture.now += Milliseconds(1);
        fixture.processorTime += Milliseconds(i % 20 == 0 ? 2 : 0);
        fixture.meter.record(fixture.now, fixture.processorTime, Milliseconds(0));
    }
    BOOST_TEST(fixture.meter.load() == 0.4, near);
}

BOOST_AUTO_TEST_SUITE_END()
