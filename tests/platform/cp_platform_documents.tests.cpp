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
    return system.platform.call(entry, "POST", path, System::headers(id), "work").status == 200;
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_documents)

// Guards against whole documents sent on each change: the leader's bandwidth delays them, and entries answer 404
// meanwhile.
BOOST_AUTO_TEST_CASE(a_change_of_one_route_sends_a_small_part_of_the_document)
{
    constexpr int changes = 10;
    constexpr double maxShare = 0.1;
    System system;
    system.putDocument(3, manyRoutes);
    const Address entry = system.addEntry(system.seeds());
    BOOST_REQUIRE(System::eventually([&] { return isServed(system, entry, manyRoutes); }));
    const auto received = [&] {
        return system.metricValue(system.entrySettings[0].ready, R"(cardamompost_peer_bytes{way="received"})");
    };
    const double before = received();
    BOOST_TEST(before > 0);
    for (int i = 1; i <= changes; ++i) {
        system.putDocument(3 + i, manyRoutes + i);
        BOOST_REQUIRE(System::eventually([&] { return isServed(system, entry, manyRoutes + i); }));
    }
    const auto size = static_cast<double>(document(3, manyRoutes).size());
    BOOST_TEST((received() - before) / changes < maxShare * size);
}

// Guards against a 404, which is final, from an entry whose document may be stale. Known routes are served.
BOOST_AUTO_TEST_CASE(an_entry_with_a_stale_document_answers_503_to_an_unknown_route)
{
    System system;
    system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    const auto requestUnknownRoute
        = [&] { return system.platform.call(entry, "POST", "/nowhere/", System::headers("n1"), "x"); };
    BOOST_TEST(requestUnknownRoute().status == 404U);
    system.killLedgers();
    HttpResponse refused;
    BOOST_TEST(System::eventually([&] {
        refused = requestUnknownRoute();
        return refused.status == 503;
    }));
    BOOST_TEST(!refused.header("Retry-After").empty());
    BOOST_TEST(system.platform.call(entry, "POST", "/tools/x", System::headers("n2"), "work").status == 200U);
    for (std::size_t i = 0; i < system.ledgers.size(); ++i) {
        system.restartLedger(i);
    }
    BOOST_TEST(System::eventually([&] { return requestUnknownRoute().status == 404; }));
}

// Guards against an entry that times out during a long transfer, discards what it has and starts over.
BOOST_AUTO_TEST_CASE(a_document_arrives_over_a_slow_link)
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
