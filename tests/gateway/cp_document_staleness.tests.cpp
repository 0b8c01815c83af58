#include "gateway/cp_document_staleness.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

BOOST_AUTO_TEST_SUITE(document_lag)

BOOST_AUTO_TEST_CASE(an_entry_is_behind_from_the_first_word_of_a_newer_document_until_that_is_in_force)
{
    const TimePoint now {Milliseconds(100'000)};
    DocumentStaleness lag;
    BOOST_TEST(!lag.isStale());
    lag.noteNewest(5, now);
    lag.noteInForce(5);
    BOOST_TEST(!lag.isStale());
    lag.noteNewest(6, now);
    lag.noteNewest(7, now + Milliseconds(300));
    lag.noteInForce(6);
    BOOST_TEST(lag.isStale());
    BOOST_TEST(lag.staleFor(now + Milliseconds(400)).count() == 400);
    lag.noteInForce(7);
    BOOST_TEST(!lag.isStale());
    BOOST_TEST(lag.staleFor(now + Milliseconds(500)).count() == 0);
}

// A deposed leader still answers, and knows an older document than the one that is in force here.
BOOST_AUTO_TEST_CASE(word_of_an_older_document_makes_nobody_behind)
{
    const TimePoint now {Milliseconds(100'000)};
    DocumentStaleness lag;
    lag.noteNewest(9, now);
    lag.noteInForce(9);
    lag.noteNewest(8, now);
    BOOST_TEST(!lag.isStale());
    BOOST_TEST(lag.newest() == 9U);
}

BOOST_AUTO_TEST_SUITE_END()
