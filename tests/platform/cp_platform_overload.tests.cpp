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

//! Longer than several syncs of any of these tests.
constexpr int patientCallerMs = 30'000;
//! Token budget for all turns of a test.
constexpr int budget = 100'000;

//! The usual document with routes that allow patient callers.
std::string patientDocument(int version)
{
    std::string text = document(version);
    const std::string usual = "\"timeout-ms\":4000";
    const std::string patient = "\"timeout-ms\":" + std::to_string(patientCallerMs);
    for (auto at = text.find(usual); at != std::string::npos; at = text.find(usual, at + patient.size())) {
        text.replace(at, usual.size(), patient);
    }
    return text;
}

//! Begins several turns at once at an entry while the syncs of some ledger VMs take longer.
class TurnsOnSlowDisks
{
public:
    TurnsOnSlowDisks()
    {
        cluster.turnTimeoutMs = patientCallerMs;
        leader = cluster.put(patientDocument(3));
        entry = cluster.addEntry(cluster.seeds());
        BOOST_TEST(cluster.turn(entry, "first", {}).status == 200U);
        lostBefore = cluster.logCount("ledger.lost");
    }
    void setSyncTime(const std::vector<std::size_t> &ledgers, int syncMs)
    {
        for (const std::size_t ledger : ledgers) {
            cluster.ledgerDisks[ledger]->syncDelayMs = syncMs;
        }
    }
    void begin(const std::string &prefix)
    {
        constexpr int turns = 8;
        for (int i = 0; i < turns; ++i) {
            answers.push_back(cluster.beginTurn(entry, prefix + std::to_string(i), {}, budget));
        }
    }
    void checkAllAnswered()
    {
        for (auto &answer : answers) {
            BOOST_TEST(answer.get().status == 200U);
        }
        answers.clear();
        setSyncTime({0, 1, 2}, 0);
    }

    GatewayCluster cluster;
    std::size_t leader = 0;
    Address entry;
    std::size_t lostBefore = 0;
    std::vector<std::future<HttpResponse>> answers;
};

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

// Guards against a turn that runs without a reservation, and costs its program nothing, because its caller has left and
// repeats its id before the end of the first attempt is committed.
BOOST_AUTO_TEST_CASE(a_turn_whose_caller_leaves_and_repeats_its_id_is_charged)
{
    constexpr int budget = 60;
    GatewayCluster cluster;
    cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    BOOST_TEST(cluster.turn(entry, "first", {}).status == 200U);
    HttpHeaders headers = GatewayCluster::headers("a1");
    headers["Program"] = "p2";
    headers["Token-Usage"] = "100,50";
    headers["Token-Budget"] = std::to_string(budget);
    // The caller waits until the turn is granted and running, then leaves.
    auto abandoned = cluster.platform.begin(entry, "POST", "/drafts/silent-once", headers, "in", Milliseconds(500));
    BOOST_REQUIRE(GatewayCluster::eventually([&] { return cluster.platform.runsOf("a1") == 1; }));
    std::this_thread::sleep_for(Milliseconds(200));
    for (const auto &disk : cluster.ledgerDisks) {
        disk->syncDelayMs = slowSyncMs;
    }
    BOOST_TEST(abandoned.get().status == 0U);
    // The end of the first attempt is proposed, and not committed yet.
    std::this_thread::sleep_for(Milliseconds(50));
    const HttpResponse repeated = cluster.platform.call(entry, "POST", "/drafts/silent-once", headers, "in");
    BOOST_TEST(repeated.status == 200U);
    for (const auto &disk : cluster.ledgerDisks) {
        disk->syncDelayMs = 0;
    }
    // The ends of both attempts are committed; what the turn has cost leaves no room for another one.
    std::this_thread::sleep_for(Milliseconds(4 * slowSyncMs));
    headers["Request-Id"] = "a2";
    BOOST_TEST(cluster.platform.call(entry, "POST", "/drafts/1", headers, "in").status == 402U);
}

// Guards against a group that loses its leader, and turns that are given up, while all disks are slow but work.
BOOST_AUTO_TEST_CASE(turns_are_granted_and_the_leader_stays_while_all_disks_take_seconds)
{
    TurnsOnSlowDisks test;
    for (const int syncMs : {700, 1200, 2000}) {
        BOOST_TEST_CONTEXT(syncMs << " ms a sync")
        {
            test.setSyncTime({0, 1, 2}, syncMs);
            test.begin("sync" + std::to_string(syncMs) + "-");
            test.checkAllAnswered();
            BOOST_TEST(test.cluster.logCount("ledger.lost") == test.lostBefore);
            BOOST_TEST(test.cluster.logCount("ledger.leadership_ended") == 0U);
        }
    }
}

// Guards against a slow disk of one member, or of all but the leader, that costs turns or the leadership.
BOOST_AUTO_TEST_CASE(turns_are_granted_and_the_leader_stays_while_disks_of_other_members_take_seconds)
{
    TurnsOnSlowDisks test;
    const std::size_t second = (test.leader + 1) % 3;
    const std::size_t third = (test.leader + 2) % 3;
    constexpr int syncMs = 2000;
    test.setSyncTime({second}, syncMs);
    test.begin("minority-");
    test.checkAllAnswered();
    test.setSyncTime({second, third}, syncMs);
    test.begin("all-but-leader-");
    test.checkAllAnswered();
    BOOST_TEST(test.cluster.logCount("ledger.lost") == test.lostBefore);
    BOOST_TEST(test.cluster.logCount("ledger.leadership_ended") == 0U);
}

// Guards against turns under way that are lost when a leader with a stalled disk hands over to one that stored them.
BOOST_AUTO_TEST_CASE(no_turn_is_lost_when_the_leader_hands_over_from_a_stalled_disk)
{
    TurnsOnSlowDisks test;
    // As good as forever for the callers.
    constexpr int stallMs = 15'000;
    test.setSyncTime({0, 1, 2}, slowSyncMs);
    test.setSyncTime({test.leader}, stallMs);
    test.begin("handover-");
    test.checkAllAnswered();
    BOOST_TEST(test.cluster.matchingLogCount("ledger.leadership_ended", "handed-over") == 1U);
}

// Guards against turns that can't be granted before their callers' deadlines and are answered only then.
BOOST_AUTO_TEST_CASE(a_turn_that_cannot_be_granted_before_its_deadline_is_refused_at_once)
{
    TurnsOnSlowDisks test;
    constexpr int syncMs = 2000;
    test.setSyncTime({0, 1, 2}, syncMs);
    BOOST_TEST(test.cluster.beginTurn(test.entry, "before", {}, budget).get().status == 200U);
    test.begin("during-");
    const bool isDuringWrite
        = GatewayCluster::eventually([&] { return test.cluster.platform.runsOf("during-0") == 1; });
    BOOST_TEST(isDuringWrite);
    test.cluster.turnTimeoutMs = syncMs / 2;
    const HttpResponse refused = test.cluster.beginTurn(test.entry, "impatient", {}, budget).get();
    BOOST_TEST(refused.status == 503U);
    BOOST_TEST(!refused.header("Retry-After").empty());
    BOOST_TEST(test.cluster.platform.runsOf("impatient") == 0U);
    test.checkAllAnswered();
}

// Guards against a leader that ends when turns without a maximum of tokens are committed one after the other.
BOOST_AUTO_TEST_CASE(turns_without_token_counts_that_begin_at_once_leave_the_leader_running)
{
    TurnsOnSlowDisks test;
    test.setSyncTime({0, 1, 2}, slowSyncMs);
    constexpr int turns = 4;
    for (int i = 0; i < turns; ++i) {
        HttpHeaders headers = GatewayCluster::headers("uncounted" + std::to_string(i));
        headers["Program"] = "uncounted";
        test.answers.push_back(
            test.cluster.platform.begin(test.entry, "POST", "/plans/1", headers, "in", Milliseconds(patientCallerMs)));
    }
    test.checkAllAnswered();
    BOOST_TEST(test.cluster.logCount("ledger.leadership_ended") == 0U);
}

// Guards against callers that get no answer, since their turn was relayed before its end could be stored.
BOOST_AUTO_TEST_CASE(every_turn_gets_a_final_status_before_its_deadline_while_disks_are_too_slow)
{
    TurnsOnSlowDisks test;
    test.cluster.turnTimeoutMs = 4000;
    for (const int syncMs : {900, 1200, 1500, 2000}) {
        BOOST_TEST_CONTEXT(syncMs << " ms a sync")
        {
            test.setSyncTime({0, 1, 2}, syncMs);
            test.begin("sync" + std::to_string(syncMs) + "-");
            for (auto &answer : test.answers) {
                BOOST_TEST(answer.get().status != 0U);
            }
            test.answers.clear();
        }
    }
    test.setSyncTime({0, 1, 2}, 0);
}

BOOST_AUTO_TEST_SUITE_END()
