#include "support/cp_platform_system.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace cardamompost;
using namespace cardamompost::tests;

BOOST_AUTO_TEST_SUITE(platform_path)

// CI failed once: a process of this test could not listen on its port, though the port had been free a moment before.
// The port was one of those that outgoing connections are given, and a connection of an earlier process took it.
BOOST_AUTO_TEST_CASE(a_free_port_is_none_that_an_outgoing_connection_can_take)
{
    std::set<std::uint16_t> ports;
    constexpr std::size_t many = 64;
    for (std::size_t i = 0; i < many; ++i) {
        ports.insert(freePort());
    }
    BOOST_TEST(ports.size() == many);
    BOOST_TEST(*ports.begin() != 0);
    BOOST_TEST(*ports.rbegin() < firstEphemeralPort());
}

// A plan review goes on through two entries while the VM that leads the ledger is killed in between: the next turn must
// reach the engine with everything that was said before, and a turn that never was must be refused.
BOOST_AUTO_TEST_CASE(a_history_outlives_the_ledgers_leader_and_is_found_through_any_entry)
{
    System system;
    const std::size_t leader = system.putDocument(3);
    std::vector<Address> seeds;
    for (const GatewaySettings &ledger : system.ledgers) {
        seeds.push_back(ledger.peer);
    }
    const Address one = system.addEntry(seeds);
    const HttpResponse first = system.turn(one, "a1", {});
    BOOST_TEST(first.status == 200U);
    BOOST_TEST(first.header("Server-Signature") == "sig-a1");
    BOOST_TEST(first.body == "id: 1\ndata: a-a1\n\nid: 2\ndata: b-a1\n\n");
    BOOST_TEST(system.stage.bodyOf("a1") == "in-a1;");
    system.running[leader].reset();
    const Address two = system.addEntry(seeds);
    BOOST_TEST(system.turn(two, "a2", "a1").status == 200U);
    BOOST_TEST(system.stage.bodyOf("a2") == "in-a1;a-a1\nb-a1\nin-a2;");
    BOOST_TEST(system.turn(one, "a3", "a2").status == 200U);
    BOOST_TEST(system.stage.bodyOf("a3") == "in-a1;a-a1\nb-a1\nin-a2;a-a2\nb-a2\nin-a3;");
    BOOST_TEST(system.turn(two, "a4", "nobody").status == 404U);
    BOOST_TEST(system.stage.bodyOf("a4").empty());
}

// Two events of 10 tokens are handed out a turn. A loop that may spend 100 gets turns as long as another 50 fit, and a
// 402 for each one more, from whichever entry it asks.
BOOST_AUTO_TEST_CASE(a_budget_is_one_over_all_entries)
{
    System system;
    system.putDocument(3);
    const std::vector<Address> seeds {system.ledgers[0].peer, system.ledgers[1].peer, system.ledgers[2].peer};
    const Address one = system.addEntry(seeds);
    const Address two = system.addEntry(seeds);
    int served = 0;
    int refused = 0;
    for (int i = 0; i < 8; ++i) {
        const HttpResponse answer = system.turn(i % 2 == 0 ? one : two, "t" + std::to_string(i), {}, 100);
        served += answer.status == 200 ? 1 : 0;
        refused += answer.status == 402 ? 1 : 0;
    }
    BOOST_TEST(served == 3);
    BOOST_TEST(refused == 5);
    BOOST_TEST(system.stage.arrivals() == 3);
}

// The seeds were exchanged while the system ran, and an entry starts that is told of one VM only, which does not lead.
// It refused everything for good, though the ledger was sound (okpara-stow scale-1, 2026-12-02).
BOOST_AUTO_TEST_CASE(an_entry_finds_a_leader_that_is_none_of_its_seeds)
{
    System system;
    const std::size_t leader = system.putDocument(3);
    const std::size_t other = (leader + 1) % system.ledgers.size();
    const Address entry = system.addEntry({system.ledgers[other].peer});
    BOOST_TEST(system.turn(entry, "b1", {}).status == 200U);
}

BOOST_AUTO_TEST_CASE(operators_are_answered_truthfully)
{
    System system;
    const std::size_t leader = system.putDocument(5);
    const Address control = system.ledgers[leader].control;
    const std::string path = "/cardamompost/configuration";
    BOOST_TEST(system.stage.call(control, "GET", path).body == document(5));
    // The same again, or an older one, is acknowledged and changes nothing.
    BOOST_TEST(system.stage.call(control, "PUT", path, {}, document(5)).status == 200U);
    BOOST_TEST(system.stage.call(control, "PUT", path, {}, document(4)).status == 200U);
    BOOST_TEST(system.stage.call(control, "GET", path).body == document(5));
    BOOST_TEST(system.stage.call(control, "PUT", path, {}, document(6).substr(0, 300)).status == 400U);
    const std::size_t other = (leader + 1) % system.ledgers.size();
    const HttpResponse sent = system.stage.call(system.ledgers[other].control, "GET", path);
    BOOST_TEST(sent.status == 307U);
    BOOST_TEST(system.stage.call(control, "POST", "/cardamompost/retire/nobody").status == 404U);
    // With three VMs, none can be spared.
    const bool isRefused = System::eventually(
        [&] { return system.stage.call(control, "POST", "/cardamompost/retire/ledger-0").status == 409; });
    BOOST_TEST(isRefused);
}

// A caller's library writes a budget in words, or asks for less than no tokens. The first ran without any bound, and
// the second gave back what other turns of the program had reserved. Neither may run; the refusal names the header.
BOOST_AUTO_TEST_CASE(a_budget_that_cannot_be_read_is_refused_by_the_name_of_its_header)
{
    System system;
    system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    const auto ask = [&](const std::string &id, const std::string &header, const std::string &value) {
        HttpHeaders headers = System::headers(id);
        headers["Program"] = "p1";
        headers["Token-Usage"] = "100,50";
        headers["Token-Budget"] = "1000";
        headers[header] = value;
        return system.stage.call(entry, "POST", "/plans/1", headers, "in");
    };
    const std::vector<std::pair<std::string, std::string>> faults {
        {"Token-Budget", "ten"}, {"Token-Budget", "-5"},  {"Token-Budget", "99999999999999999999"},
        {"Token-Usage", "100"},  {"Token-Usage", "1,-5"}, {"Deadline-Milliseconds", "4000x"},
    };
    int number = 0;
    for (const auto &[header, value] : faults) {
        const std::string id = "b" + std::to_string(++number);
        const HttpResponse refused = ask(id, header, value);
        BOOST_TEST(refused.status == 400U);
        BOOST_TEST(refused.body.find(header) != std::string::npos);
        BOOST_TEST(system.stage.runsOf(id) == 0U);
    }
    BOOST_TEST(ask("b-sound", "Deadline-Milliseconds", "4000.5").status == 200U);
}

// Three users complain: a plan review that was refused, a cargo declaration without an answer, a program that was
// stopped. All that is left are the logs; docs/OPERATIONS.md tells how to go from the request's id to the cause.
BOOST_AUTO_TEST_CASE(three_failed_requests_are_explained_by_their_logs)
{
    System system;
    const std::size_t leader = system.putDocument(3);
    const std::vector<Address> seeds {system.ledgers[0].peer, system.ledgers[1].peer, system.ledgers[2].peer};
    const Address entry = system.addEntry(seeds);

    const HttpHeaders tool {{"Host", "h.example"}, {"Request-Id", "c1"}, {"Deadline-Milliseconds", "3000"}};
    BOOST_TEST(system.stage.call(entry, "POST", "/tools/lost", tool, "declare").status == 502U);
    BOOST_TEST(system.explainEnd("c1").cause.find("may have run, so it was not sent again") != std::string::npos);
    BOOST_TEST(system.explainEnd("c1").cause.find("'" + system.stage.lastServerOf("c1") + "'") != std::string::npos);

    BOOST_TEST(system.turn(entry, "d1", {}, 60).status == 200U);
    BOOST_TEST(system.turn(entry, "d2", {}, 60).status == 402U);
    BOOST_TEST(
        system.explainEnd("d2").cause.find("spent 20 and reserved 0 for turns under way of its budget of 60 tokens")
        != std::string::npos);

    // Refused before a route was known: it was logged without its id.
    BOOST_TEST(system.stage.call(entry, "POST", "/nowhere", System::headers("g1"), "x").status == 404U);
    BOOST_TEST(system.explainEnd("g1").cause.find("no route for this host and path") != std::string::npos);

    system.running[leader].reset();
    system.running[(leader + 1) % system.running.size()].reset();
    BOOST_TEST(system.turn(entry, "e1", {}).status == 503U);
    const Explanation refused = system.explainEnd("e1");
    BOOST_TEST(refused.cause.find("found no leader of the ledger") != std::string::npos);
    BOOST_TEST(refused.missing.empty());
    const auto isLost = [](const ExplainedLine &line) { return line.event == "ledger.lost"; };
    BOOST_TEST(std::any_of(refused.surroundings.begin(), refused.surroundings.end(), isLost));
    BOOST_TEST(!system.explain("nobody").missing.empty());

    // No route is known either, but without the ledger nobody can know that there is none.
    BOOST_TEST(system.stage.call(entry, "POST", "/nowhere", System::headers("g2"), "x").status == 503U);
    BOOST_TEST(system.explainEnd("g2").cause.find("the document may be old") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(requests_for_one_object_go_to_one_server_on_a_sticky_route)
{
    System system;
    std::string text = document(3);
    const std::string facts = R"(,"engine":{"slots":16,"key-value-tokens":1000,"stride":10})";
    text.erase(text.find(facts), facts.size());
    const std::string tools = R"("path-prefix":"/tools/",)";
    text.insert(text.find(tools) + tools.size(), R"("sticky-sessions":true,)");
    system.put(text);
    const Address one = system.addEntry(system.seeds());
    const Address two = system.addEntry(system.seeds());
    std::set<std::string> all;
    for (int object = 0; object < 12; ++object) {
        std::set<std::string> servers;
        for (int i = 0; i < 4; ++i) {
            const std::string id = std::to_string(object) + "-" + std::to_string(i);
            HttpHeaders headers = System::headers(id);
            headers["Affinity-Key"] = std::to_string(object);
            BOOST_TEST(system.stage.call(i % 2 == 0 ? one : two, "POST", "/tools/1", headers, "in").status == 200U);
            servers.insert(system.stage.lastServerOf(id));
        }
        BOOST_TEST(servers.size() == 1U);
        all.insert(servers.begin(), servers.end());
    }
    BOOST_TEST(all.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
