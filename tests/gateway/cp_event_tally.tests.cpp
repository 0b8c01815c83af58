#include "gateway/cp_event_tally.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

BOOST_AUTO_TEST_SUITE(event_tally)

BOOST_AUTO_TEST_CASE(events_are_counted_and_their_data_kept_however_the_bytes_are_cut)
{
    const std::string stream = "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\nid: 3\ndata: thr";
    for (std::size_t size = 1; size < stream.size(); ++size) {
        EventTally tally;
        for (std::size_t at = 0; at < stream.size(); at += size) {
            tally.feed(std::string_view(stream).substr(at, size));
        }
        BOOST_TEST(tally.events() == 2U);
        BOOST_TEST(tally.lastId() == "2");
        BOOST_TEST(tally.output() == "one\ntwo\n");
    }
}

BOOST_AUTO_TEST_CASE(the_end_of_the_last_whole_event_is_told)
{
    EventTally tally;
    BOOST_TEST(tally.feed("id: 1\ndata: a\n\nid: 2\nda") == 15U);
    BOOST_TEST(tally.feed("ta: b\n") == 0U);
    BOOST_TEST(tally.feed("\nid") == 1U);
}

// A replica dies in the middle of an event, and the stream goes on elsewhere: what was left of the broken event must
// not become part of the next one.
BOOST_AUTO_TEST_CASE(a_broken_event_is_forgotten)
{
    EventTally tally;
    tally.feed("id: 1\ndata: a\n\nid: 2\ndata: brok");
    tally.dropPartial();
    tally.feed("id: 2\ndata: b\n\n");
    BOOST_TEST(tally.output() == "a\nb\n");
    BOOST_TEST(tally.events() == 2U);
}

BOOST_AUTO_TEST_CASE(comments_and_events_without_data_count_nothing)
{
    EventTally tally;
    tally.feed(": wait\n\nweight-versions: 3\nid: 1\ndata: a\ndata: b\n\n");
    BOOST_TEST(tally.events() == 1U);
    BOOST_TEST(tally.output() == "a\nb\n");
}

BOOST_AUTO_TEST_SUITE_END()
