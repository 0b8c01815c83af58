#include <cardamompost/liveness/cp_failure_detector.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

constexpr SuspicionBounds bounds {Milliseconds(100), Milliseconds(300)};

//! Records contacts at a regular interval. \returns the time of the last one
TimePoint observeContacts(FailureDetector &detector, TimePoint from, Milliseconds interval, int times)
{
    for (int i = 0; i < times; ++i) {
        detector.observe(from);
        from += interval;
    }
    return from - interval;
}

} // namespace

BOOST_AUTO_TEST_SUITE(failure_detector)

BOOST_AUTO_TEST_CASE(the_timeout_is_the_ceiling_before_the_first_contact)
{
    BOOST_TEST(FailureDetector(bounds).suspicionTimeout().count() == 300);
}

BOOST_AUTO_TEST_CASE(frequent_contacts_reduce_the_timeout_to_the_floor)
{
    FailureDetector detector(bounds);
    observeContacts(detector, TimePoint {}, Milliseconds(30), 10);
    BOOST_TEST(detector.suspicionTimeout().count() == 100);
}

// Guards against a false suspicion at each regular pause, such as those of a throttled CPU.
BOOST_AUTO_TEST_CASE(regular_pauses_extend_the_timeout)
{
    FailureDetector detector(bounds);
    TimePoint now = observeContacts(detector, TimePoint {}, Milliseconds(30), 10);
    detector.observe(now += Milliseconds(90));
    BOOST_TEST(detector.suspicionTimeout().count() == 135);
    observeContacts(detector, now + Milliseconds(30), Milliseconds(30), 30);
    BOOST_TEST(detector.suspicionTimeout().count() > 120);
}

BOOST_AUTO_TEST_CASE(the_effect_of_a_single_long_pause_decays)
{
    FailureDetector detector(bounds);
    TimePoint now = observeContacts(detector, TimePoint {}, Milliseconds(30), 10);
    now += Milliseconds(2000);
    detector.observe(now);
    BOOST_TEST(detector.suspicionTimeout().count() == 300);
    observeContacts(detector, now, Milliseconds(30), 3000);
    BOOST_TEST(detector.suspicionTimeout().count() == 100);
}

BOOST_AUTO_TEST_CASE(a_restart_for_another_peer_resets_the_timeout_to_the_floor)
{
    FailureDetector detector(bounds);
    const TimePoint now = observeContacts(detector, TimePoint {}, Milliseconds(200), 3);
    BOOST_TEST(detector.suspicionTimeout().count() == 300);
    detector.restart(now);
    BOOST_TEST(detector.suspicionTimeout().count() == 100);
}

BOOST_AUTO_TEST_SUITE_END()
