#include "support/cp_gateway_cluster.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

// Longer than an entry's request timeout, shorter than the time after which a leader without a quorum steps down.
constexpr int slowSyncMs = 450;

double maxCommits(GatewayCluster &cluster)
{
    double maximum = 0;
    for (const GatewaySettings &ledger : cluster.ledgerSettings) {
        maximum = std::max(maximum, cluster.metricValue(ledger.directory, "cardamompost_ledger_commits_total"));
    }
    return maximum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_overload)

// Guards against entries that consider a slow leader lost, search for another one and begin their turns twice.
BOOST_AUTO_TEST_CASE(a_slow_leader_is_not_considered_lost_and_gets_no_duplicate_requests)
{
    GatewayCluster cluster;
    cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    BOOST_TEST(cluster.turn(entry, "first", {}).status == 200U);
    const std::size_t lostBefore = cluster.logCount("ledger.lost");
    const double commitsBefore = maxCommits(cluster);
    for (const auto &disk : cluster.ledgerDisks) {
        disk->syncDelayMs = slowSyncMs;
    }
    constexpr int turns = 8;
    std::vector<std::future<HttpResponse>> answers;
    for (int i = 0; i < turns; ++i) {
        answers.push_back(cluster.beginTurn(entry, "t" + std::to_string(i), {}, 100'000));
    }
    for (auto &answer : answers) {
        BOOST_TEST(answer.get().status == 200U);
    }
    for (const auto &disk : cluster.ledgerDisks) {
        disk->syncDelayMs = 0;
    }
    BOOST_TEST(cluster.logCount("ledger.lost") == lostBefore);
    // Two commits for each turn, and a few of the group's own.
    constexpr double maxOtherCommits = 4;
    BOOST_TEST(maxCommits(cluster) - commitsBefore <= 2 * turns + maxOtherCommits);
}

BOOST_AUTO_TEST_SUITE_END()
