#include "support/cp_gateway_cluster.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

constexpr int manyRoutes = 1400;

bool isServed(GatewayCluster &cluster, const Address &entry, int route)
{
    static int number = 0;
    const std::string id = "doc-" + std::to_string(++number);
    const std::string path = "/more-" + std::to_string(route) + "/x";
    return cluster.platform.call(entry, "POST", path, GatewayCluster::headers(id), "work").status == 200;
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_documents)

// Guards against sending the whole document on each change: the leader's bandwidth would delay it, and entries would
// answer 404 to new routes until it arrives.
BOOST_AUTO_TEST_CASE(a_change_of_one_route_sends_a_small_part_of_the_document)
{
    constexpr int changes = 10;
    constexpr double maxShare = 0.1;
    GatewayCluster cluster;
    cluster.putDocument(3, manyRoutes);
    const Address entry = cluster.addEntry(cluster.seeds());
    BOOST_REQUIRE(GatewayCluster::eventually([&] { return isServed(cluster, entry, manyRoutes); }));
    const auto received = [&] {
        return cluster.metricValue(cluster.entrySettings[0].ready, R"(cardamompost_peer_bytes{way="received"})");
    };
    const double before = received();
    BOOST_TEST(before > 0);
    for (int i = 1; i <= changes; ++i) {
        cluster.putDocument(3 + i, manyRoutes + i);
        BOOST_REQUIRE(GatewayCluster::eventually([&] { return isServed(cluster, entry, manyRoutes + i); }));
    }
    const auto size = static_cast<double>(document(3, manyRoutes).size());
    BOOST_TEST((received() - before) / changes < maxShare * size);
}

// Guards against a 404, which is final, from an entry whose document may be stale. Known routes are served.
BOOST_AUTO_TEST_CASE(an_entry_with_a_stale_document_answers_503_to_an_unknown_route)
{
    GatewayCluster cluster;
    cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    const auto requestUnknownRoute
        = [&] { return cluster.platform.call(entry, "POST", "/nowhere/", GatewayCluster::headers("n1"), "x"); };
    BOOST_TEST(requestUnknownRoute().status == 404U);
    cluster.killLedgers();
    HttpResponse refused;
    BOOST_TEST(GatewayCluster::eventually([&] {
        refused = requestUnknownRoute();
        return refused.status == 503;
    }));
    BOOST_TEST(!refused.header("Retry-After").empty());
    BOOST_TEST(cluster.platform.call(entry, "POST", "/tools/x", GatewayCluster::headers("n2"), "work").status == 200U);
    for (std::size_t i = 0; i < cluster.ledgerSettings.size(); ++i) {
        cluster.restartLedger(i);
    }
    BOOST_TEST(GatewayCluster::eventually([&] { return requestUnknownRoute().status == 404; }));
}

// Guards against an entry that times out during a long transfer, discards what it has and starts over.
BOOST_AUTO_TEST_CASE(a_document_arrives_over_a_slow_link)
{
    constexpr int routes = 5000;
    GatewayCluster cluster;
    cluster.putDocument(3, routes);
    cluster.ledgerProxy.delayChunks(Milliseconds(120));
    const Address entry = cluster.startEntry(cluster.seeds()).front;
    BOOST_TEST(GatewayCluster::eventually([&] { return cluster.readiness(0) == 200; }));
    cluster.ledgerProxy.delayChunks(Milliseconds(0));
    BOOST_TEST(isServed(cluster, entry, routes));
}

BOOST_AUTO_TEST_SUITE_END()
