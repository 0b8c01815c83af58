#include "support/cp_platform_system.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

constexpr int manyRoutes = 1400;

bool isServed(System &system, const Address &entry, int route)
{
    static int number = 0;
    const std::string id = "doc-" + std::to_string(++number);
    const std::string path = "/more-" + std::to_string(route) + "/x";
    return system.stage.call(entry, "POST", path, System::headers(id), "work").status == 200;
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_documents)

// Operators had added 2,800 routes and then made changes in quick succession. Foremen were refused with 404 for routes
// that had been acknowledged seconds before, at some entries only, while others went by every version at once. Each
// change, however small, had sent the whole document to each of 67 entries: 34 MB, of which the ledger's leader sends
// 24 MB a second, to whoever asked at the right moment.
// Evidence: with the leader the same all day and no entry without it, the last entry went by a growth to 1,400 routes
// 0.6 s after its acknowledgement, by one to 2,800 routes 1.3 s after, and by changes of that three times a second up
// to 6.2 s after; it skipped up to 30 versions meanwhile.
BOOST_AUTO_TEST_CASE(a_change_of_one_route_costs_an_entry_a_small_part_of_the_document)
{
    constexpr int changes = 10;
    constexpr double smallPart = 0.1;
    System system;
    system.putDocument(3, manyRoutes);
    const Address entry = system.addEntry(system.seeds());
    BOOST_REQUIRE(System::eventually([&] { return isServed(system, entry, manyRoutes); }));
    const auto received
        = [&] { return system.counted(system.entrySettings[0].ready, R"(cardamompost_peer_bytes{way="received"})"); };
    const double before = received();
    BOOST_TEST(before > 0);
    for (int i = 1; i <= changes; ++i) {
        system.putDocument(3 + i, manyRoutes + i);
        BOOST_REQUIRE(System::eventually([&] { return isServed(system, entry, manyRoutes + i); }));
    }
    const auto size = static_cast<double>(document(3, manyRoutes).size());
    BOOST_TEST((received() - before) / changes < smallPart * size);
}

// An entry is cut off from the ledger, or behind it, while an operator adds a route. A caller of that route was told
// 404, which is final: its program ended. An entry that cannot know the newest document has to say so, and when to come
// back; what it knows it goes on serving.
BOOST_AUTO_TEST_CASE(an_entry_that_may_be_behind_does_not_say_that_there_is_no_route)
{
    System system;
    system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    const auto ask = [&] { return system.stage.call(entry, "POST", "/nowhere/", System::headers("n1"), "x"); };
    BOOST_TEST(ask().status == 404U);
    system.killLedgers();
    HttpResponse unsure;
    BOOST_TEST(System::eventually([&] {
        unsure = ask();
        return unsure.status == 503;
    }));
    BOOST_TEST(!unsure.header("Retry-After").empty());
    BOOST_TEST(system.stage.call(entry, "POST", "/tools/x", System::headers("n2"), "work").status == 200U);
    for (std::size_t i = 0; i < system.ledgers.size(); ++i) {
        system.restartLedger(i);
    }
    BOOST_TEST(System::eventually([&] { return ask().status == 404; }));
}

// The way to an entry loses packets, or is shared with much else, and a large document takes seconds on it. The entry
// waited for 0.9 s, threw away what had come, took the leader for lost and asked for all of it again, for good.
BOOST_AUTO_TEST_CASE(a_document_that_takes_long_on_its_way_arrives_all_the_same)
{
    constexpr int routes = 5000;
    System system;
    system.putDocument(3, routes);
    system.link.delayChunks(Milliseconds(120));
    const Address entry = system.startEntry(system.seeds()).front;
    BOOST_TEST(System::eventually([&] { return system.readiness(0) == 200; }));
    system.link.delayChunks(Milliseconds(0));
    BOOST_TEST(isServed(system, entry, routes));
}

BOOST_AUTO_TEST_SUITE_END()
