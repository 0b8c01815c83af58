#include "support/cp_gateway_cluster.hpp"

#include <cardamompost/accounts/cp_scoped_id.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

constexpr int timeoutMs = 90'000;

//! Routes for turns that may run for longer than their program is retained.
std::string longTurns(int version)
{
    std::string text = document(version);
    const std::string from = R"("timeout-ms":4000)";
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at)) {
        text.replace(at, from.size(), R"("timeout-ms":)" + std::to_string(timeoutMs));
    }
    return text;
}

struct LongTurnCluster : GatewayCluster {
    LongTurnCluster()
    {
        turnTimeoutMs = timeoutMs;
        put(longTurns(3));
        entry = addEntry(seeds());
    }
    //! Begins a turn that a server holds, and waits until the ledger has granted it.
    std::future<HttpResponse> beginHeldTurn(const std::string &id, const std::string &previous, int budget)
    {
        std::future<HttpResponse> answer = beginTurn(entry, id, previous, budget, "/plans/held");
        BOOST_REQUIRE(eventually([&] { return platform.runsOf(id) == 1; }));
        BOOST_REQUIRE(eventually([&] {
            double beginning = 0;
            for (const GatewaySettings &ledger : ledgerSettings) {
                beginning += metricValue(ledger.directory, "cardamompost_turns_beginning");
            }
            return beginning == 0;
        }));
        return answer;
    }
    Address entry;
};

} // namespace

// The ledger retains programs and turns for 60 s and a margin of 15 s.
BOOST_AUTO_TEST_SUITE(platform_retention)

// Guards against a history whose first turns expire while a later one runs, and that is sent without them.
BOOST_AUTO_TEST_CASE(a_history_is_retained_while_a_turn_that_continues_it_runs)
{
    LongTurnCluster cluster;
    BOOST_TEST(cluster.turn(cluster.entry, "a1", {}).status == 200U);
    cluster.advanceLedgerTime(Milliseconds(65'000));
    std::future<HttpResponse> second = cluster.beginHeldTurn("a2", "a1", 1000);
    cluster.advanceLedgerTime(Milliseconds(30'000));
    cluster.platform.releaseHeldStreams();
    BOOST_TEST(second.get().status == 200U);
    BOOST_TEST(cluster.turn(cluster.entry, "a3", "a2").status == 200U);
    BOOST_TEST(cluster.platform.bodyOf("a3") == "in-a1;a-a1\nb-a1\nin-a2;a-a2\nb-a2\nin-a3;");
}

// Guards against a program whose reservation expires while its turn runs, so that its tokens are not charged.
BOOST_AUTO_TEST_CASE(a_budget_is_retained_while_a_turn_of_its_program_runs)
{
    constexpr int budget = 60;
    LongTurnCluster cluster;
    std::future<HttpResponse> first = cluster.beginHeldTurn("b1", {}, budget);
    cluster.advanceLedgerTime(Milliseconds(80'000));
    // The first turn has reserved 50 tokens, as each turn does.
    BOOST_TEST(cluster.turn(cluster.entry, "b2", {}, budget).status == 402U);
    cluster.platform.releaseHeldStreams();
    BOOST_TEST(first.get().status == 200U);
    // It has used 20 tokens.
    BOOST_TEST(cluster.turn(cluster.entry, "b3", {}, budget).status == 402U);
}

// Guards against a part of a history that is sent as a complete one.
BOOST_AUTO_TEST_CASE(a_turn_whose_history_lacks_a_turn_is_refused_with_a_log_line)
{
    LongTurnCluster cluster;
    TurnFinish orphan;
    orphan.turn = scopedId({}, "c2");
    orphan.previous = scopedId({}, "c1");
    orphan.ending = TurnEnding::Complete;
    orphan.isRetained = true;
    orphan.retentionMs = timeoutMs;
    orphan.input = "in-c2;";
    cluster.restartLedgersAfter(orphan, Milliseconds(0));
    const HttpResponse refused = cluster.turn(cluster.entry, "c3", "c2");
    BOOST_TEST(refused.status == 503U);
    BOOST_TEST(!refused.header("Retry-After").empty());
    BOOST_TEST(cluster.platform.runsOf("c3") == 0U);
    BOOST_TEST(cluster.logCount("history.incomplete") == 1U);
    BOOST_TEST(cluster.turn(cluster.entry, "c4", {}).status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
