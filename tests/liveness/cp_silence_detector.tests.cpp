#include <cardamompost/liveness/cp_silence_detector.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

constexpr SuspicionBounds bounds {Milliseconds(100), Milliseconds(300)};

//! Hears somebody at a steady pace. \returns the time of the last contact
TimePoint hearFor(SilenceDetector &gaps, TimePoint from, Milliseconds pace, int times)
{
    for (int i = 0; i < times; ++i) {
        gaps.observe(from);
        from += pace;
    }
    return from - pace;
}

} // namespace

BOOST_AUTO_TEST_SUITE(contact_gaps)

BOOST_AUTO_TEST_CASE(nothing_known_means_the_longest_patience)
{
    BOOST_TEST(SilenceDetector(bounds).suspicionTimeout().count() == 300);
}

BOOST_AUTO_TEST_CASE(dense_contacts_lead_to_the_floor_and_no_further)
{
    SilenceDetector gaps(bounds);
    hearFor(gaps, TimePoint {}, Milliseconds(30), 10);
    BOOST_TEST(gaps.suspicionTimeout().count() == 100);
}

// A leader's VM has used up its share of a processor and stands still for 90 ms, again and again. Followers that hold
// elections in each of these pauses would stop all turns for a moment every time.
BOOST_AUTO_TEST_CASE(pauses_that_come_again_and_again_are_learnt)
{
    SilenceDetector gaps(bounds);
    TimePoint now = hearFor(gaps, TimePoint {}, Milliseconds(30), 10);
    gaps.observe(now += Milliseconds(90));
    BOOST_TEST(gaps.suspicionTimeout().count() == 135);
    hearFor(gaps, now + Milliseconds(30), Milliseconds(30), 30);
    BOOST_TEST(gaps.suspicionTimeout().count() > 120);
}

BOOST_AUTO_TEST_CASE(one_long_pause_is_forgotten_after_a_while)
{
    SilenceDetector gaps(bounds);
    TimePoint now = hearFor(gaps, TimePoint {}, Milliseconds(30), 10);
    now += Milliseconds(2000);
    gaps.observe(now);
    BOOST_TEST(gaps.suspicionTimeout().count() == 300);
    hearFor(gaps, now, Milliseconds(30), 3000);
    BOOST_TEST(gaps.suspicionTimeout().count() == 100);
}

BOOST_AUTO_TEST_CASE(another_one_starts_from_the_floor)
{
    SilenceDetector gaps(bounds);
    const TimePoint now = hearFor(gaps, TimePoint {}, Milliseconds(200), 3);
    BOOST_TEST(gaps.suspicionTimeout().count() == 300);
    gaps.restart(now);
    BOOST_TEST(gaps.suspicionTimeout().count() == 100);
}

BOOST_AUTO_TEST_SUITE_END()
