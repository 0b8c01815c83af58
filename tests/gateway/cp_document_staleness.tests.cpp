#include "gateway/cp_document_staleness.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

BOOST_AUTO_TEST_SUITE(document_staleness)

BOOST_AUTO_TEST_CASE(staleness_is_measured_from_the_first_report_of_a_newer_version_until_it_is_applied)
{
    const TimePoint now {Milliseconds(100'000)};
    DocumentStaleness staleness;
    BOOST_TEST(!staleness.isStale());
    staleness.recordLatestVersion(5, now);
    staleness.recordAppliedVersion(5);
    BOOST_TEST(!staleness.isStale());
    staleness.recordLatestVersion(6, now);
    staleness.recordLatestVersion(7, now + Milliseconds(300));
    staleness.recordAppliedVersion(6);
    BOOST_TEST(staleness.isStale());
    BOOST_TEST(staleness.staleFor(now + Milliseconds(400)).count() == 400);
    staleness.recordAppliedVersion(7);
    BOOST_TEST(!staleness.isStale());
    BOOST_TEST(staleness.staleFor(now + Milliseconds(500)).count() == 0);
}

// A deposed leader may report an older version than the one that is applied.
BOOST_AUTO_TEST_CASE(an_older_reported_version_does_not_count_as_stale)
{
    const TimePoint now {Milliseconds(100'000)};
    DocumentStaleness staleness;
    staleness.recordLatestVersion(9, now);
    staleness.recordAppliedVersion(9);
    staleness.recordLatestVersion(8, now);
    BOOST_TEST(!staleness.isStale());
    BOOST_TEST(staleness.latestVersion() == 9U);
}

BOOST_AUTO_TEST_SUITE_END()
