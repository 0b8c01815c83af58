#include "support/cp_gateway_cluster.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace cardamompost;
using namespace cardamompost::tests;

BOOST_AUTO_TEST_SUITE(platform_path)

// Guards against a listener's port that an outgoing connection takes before the listener opens.
BOOST_AUTO_TEST_CASE(a_free_port_is_outside_of_the_ephemeral_range)
{
    std::set<std::uint16_t> ports;
    constexpr std::size_t portCount = 64;
    for (std::size_t i = 0; i < portCount; ++i) {
        ports.insert(freePort());
    }
    BOOST_TEST(ports.size() == portCount);
    BOOST_TEST(*ports.begin() != 0);
    BOOST_TEST(*ports.rbegin() < firstEphemeralPort());
}

// Guards against turns that reach the engine without their history after a change of leader or entry; unknown turns are
// refused.
BOOST_AUTO_TEST_CASE(a_history_survives_the_loss_of_the_leader_and_is_found_through_any_entry)
{
    GatewayCluster cluster;
    const std::size_t leader = cluster.putDocument(3);
    std::vector<Address> seeds;
    for (const GatewaySettings &ledger : cluster.ledgerSettings) {
        seeds.push_back(ledger.peer);
    }
    const Address firstEntry = cluster.addEntry(seeds);
    const HttpResponse first = cluster.turn(firstEntry, "a1", {});
    BOOST_TEST(first.status == 200U);
    BOOST_TEST(first.header("Server-Signature") == "sig-a1");
    BOOST_TEST(first.body == "id: 1\ndata: a-a1\n\nid: 2\ndata: b-a1\n\n");
    BOOST_TEST(cluster.platform.bodyOf("a1") == "in-a1;");
    cluster.ledgerThreads[leader].reset();
    const Address secondEntry = cluster.addEntry(seeds);
    BOOST_TEST(cluster.turn(secondEntry, "a2", "a1").status == 200U);
    BOOST_TEST(cluster.platform.bodyOf("a2") == "in-a1;a-a1\nb-a1\nin-a2;");
    BOOST_TEST(cluster.turn(firstEntry, "a3", "a2").status == 200U);
    BOOST_TEST(cluster.platform.bodyOf("a3") == "in-a1;a-a1\nb-a1\nin-a2;a-a2\nb-a2\nin-a3;");
    BOOST_TEST(cluster.turn(secondEntry, "a4", "nobody").status == 404U);
    BOOST_TEST(cluster.platform.bodyOf("a4").empty());
}

// Each turn uses 20 tokens and reserves 50: a budget of 100 admits three turns; the others get 402 at either entry.
BOOST_AUTO_TEST_CASE(a_token_budget_is_shared_by_all_entries)
{
    GatewayCluster cluster;
    cluster.putDocument(3);
    const std::vector<Address> seeds {cluster.ledgerSettings[0].peer, cluster.ledgerSettings[1].peer,
                                      cluster.ledgerSettings[2].peer};
    const Address firstEntry = cluster.addEntry(seeds);
    const Address secondEntry = cluster.addEntry(seeds);
    int served = 0;
    int refused = 0;
    for (int i = 0; i < 8; ++i) {
        const HttpResponse answer
            = cluster.turn(i % 2 == 0 ? firstEntry : secondEntry, "t" + std::to_string(i), {}, 100);
        served += answer.status == 200 ? 1 : 0;
        refused += answer.status == 402 ? 1 : 0;
    }
    BOOST_TEST(served == 3);
    BOOST_TEST(refused == 5);
    BOOST_TEST(cluster.platform.arrivals() == 3);
}

// Guards against an entry that refuses everything because its only seed is a follower.
BOOST_AUTO_TEST_CASE(an_entry_finds_a_leader_that_is_not_among_its_seeds)
{
    GatewayCluster cluster;
    const std::size_t leader = cluster.putDocument(3);
    const std::size_t other = (leader + 1) % cluster.ledgerSettings.size();
    const Address entry = cluster.addEntry({cluster.ledgerSettings[other].peer});
    BOOST_TEST(cluster.turn(entry, "b1", {}).status == 200U);
}

BOOST_AUTO_TEST_CASE(control_requests_report_the_actual_state)
{
    GatewayCluster cluster;
    const std::size_t leader = cluster.putDocument(5);
    const Address control = cluster.ledgerSettings[leader].control;
    const std::string path = "/cardamompost/configuration";
    BOOST_TEST(cluster.platform.call(control, "GET", path).body == document(5));
    // The same or an older version is acknowledged and ignored.
    BOOST_TEST(cluster.platform.call(control, "PUT", path, {}, document(5)).status == 200U);
    BOOST_TEST(cluster.platform.call(control, "PUT", path, {}, document(4)).status == 200U);
    BOOST_TEST(cluster.platform.call(control, "GET", path).body == document(5));
    BOOST_TEST(cluster.platform.call(control, "PUT", path, {}, document(6).substr(0, 300)).status == 400U);
    const std::size_t other = (leader + 1) % cluster.ledgerSettings.size();
    const HttpResponse redirected = cluster.platform.call(cluster.ledgerSettings[other].control, "GET", path);
    BOOST_TEST(redirected.status == 307U);
    BOOST_TEST(cluster.platform.call(control, "POST", "/cardamompost/retire/nobody").status == 404U);
    // With three VMs no retirement is possible.
    const bool isRefused = GatewayCluster::eventually(
        [&] { return cluster.platform.call(control, "POST", "/cardamompost/retire/ledger-0").status == 409; });
    BOOST_TEST(isRefused);
}

// Guards against invalid or negative budgets that lift the limit or release reservations of other turns.
BOOST_AUTO_TEST_CASE(an_invalid_budget_header_is_rejected_by_name)
{
    GatewayCluster cluster;
    cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    const auto callWith = [&](const std::string &id, const std::string &header, const std::string &value) {
        HttpHeaders headers = GatewayCluster::headers(id);
        headers["Program"] = "p1";
        headers["Token-Usage"] = "100,50";
        headers["Token-Budget"] = "1000";
        headers[header] = value;
        return cluster.platform.call(entry, "POST", "/plans/1", headers, "in");
    };
    const std::vector<std::pair<std::string, std::string>> invalidHeaders {
        {"Token-Budget", "ten"}, {"Token-Budget", "-5"},  {"Token-Budget", "99999999999999999999"},
        {"Token-Usage", "100"},  {"Token-Usage", "1,-5"}, {"Deadline-Milliseconds", "4000x"},
    };
    int number = 0;
    for (const auto &[header, value] : invalidHeaders) {
        const std::string id = "b" + std::to_string(++number);
        const HttpResponse refused = callWith(id, header, value);
        BOOST_TEST(refused.status == 400U);
        BOOST_TEST(refused.body.find(header) != std::string::npos);
        BOOST_TEST(cluster.platform.runsOf(id) == 0U);
    }
    BOOST_TEST(callWith("b-sound", "Deadline-Milliseconds", "4000.5").status == 200U);
}

// Checks that the logs alone lead from a request id to its cause, as docs/OPERATIONS.md describes.
BOOST_AUTO_TEST_CASE(failed_requests_are_explained_by_their_logs)
{
    GatewayCluster cluster;
    const std::size_t leader = cluster.putDocument(3);
    const std::vector<Address> seeds {cluster.ledgerSettings[0].peer, cluster.ledgerSettings[1].peer,
                                      cluster.ledgerSettings[2].peer};
    const Address entry = cluster.addEntry(seeds);

    const HttpHeaders toolHeaders {{"Host", "h.example"}, {"Request-Id", "c1"}, {"Deadline-Milliseconds", "3000"}};
    BOOST_TEST(cluster.platform.call(entry, "POST", "/tools/lost", toolHeaders, "declare").status == 502U);
    BOOST_TEST(cluster.explainEnd("c1").cause.find("may have run, so it was not sent again") != std::string::npos);
    BOOST_TEST(cluster.explainEnd("c1").cause.find("'" + cluster.platform.lastServerOf("c1") + "'")
               != std::string::npos);

    BOOST_TEST(cluster.turn(entry, "d1", {}, 60).status == 200U);
    BOOST_TEST(cluster.turn(entry, "d2", {}, 60).status == 402U);
    BOOST_TEST(
        cluster.explainEnd("d2").cause.find("spent 20 and reserved 0 for turns under way of its budget of 60 tokens")
        != std::string::npos);

    // No route matches.
    BOOST_TEST(cluster.platform.call(entry, "POST", "/nowhere", GatewayCluster::headers("g1"), "x").status == 404U);
    BOOST_TEST(cluster.explainEnd("g1").cause.find("no route for this host and path") != std::string::npos);

    cluster.ledgerThreads[leader].reset();
    cluster.ledgerThreads[(leader + 1) % cluster.ledgerThreads.size()].reset();
    BOOST_TEST(cluster.turn(entry, "e1", {}).status == 503U);
    const Explanation refused = cluster.explainEnd("e1");
    BOOST_TEST(refused.cause.find("found no leader of the ledger") != std::string::npos);
    BOOST_TEST(refused.missing.empty());
    const auto isLeaderLost = [](const ExplainedLine &line) { return line.event == "ledger.lost"; };
    BOOST_TEST(std::any_of(refused.contextLines.begin(), refused.contextLines.end(), isLeaderLost));
    BOOST_TEST(!cluster.explain("nobody").missing.empty());

    // No route matches either, but without the ledger the document may be stale.
    BOOST_TEST(cluster.platform.call(entry, "POST", "/nowhere", GatewayCluster::headers("g2"), "x").status == 503U);
    BOOST_TEST(cluster.explainEnd("g2").cause.find("the document may be old") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(requests_with_one_affinity_key_reach_one_server_on_a_sticky_route)
{
    GatewayCluster cluster;
    std::string text = document(3);
    const std::string engineProperties = R"(,"engine":{"slots":16,"key-value-tokens":1000,"stride":10})";
    text.erase(text.find(engineProperties), engineProperties.size());
    const std::string tools = R"("path-prefix":"/tools/",)";
    text.insert(text.find(tools) + tools.size(), R"("sticky-sessions":true,)");
    cluster.put(text);
    const Address firstEntry = cluster.addEntry(cluster.seeds());
    const Address secondEntry = cluster.addEntry(cluster.seeds());
    std::set<std::string> allServers;
    for (int object = 0; object < 12; ++object) {
        std::set<std::string> servers;
        for (int i = 0; i < 4; ++i) {
            const std::string id = std::to_string(object) + "-" + std::to_string(i);
            HttpHeaders headers = GatewayCluster::headers(id);
            headers["Affinity-Key"] = std::to_string(object);
            BOOST_TEST(
                cluster.platform.call(i % 2 == 0 ? firstEntry : secondEntry, "POST", "/tools/1", headers, "in").status
                == 200U);
            servers.insert(cluster.platform.lastServerOf(id));
        }
        BOOST_TEST(servers.size() == 1U);
        allServers.insert(servers.begin(), servers.end());
    }
    BOOST_TEST(allServers.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
