#include "support/cp_platform_system.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

BOOST_AUTO_TEST_SUITE(platform_faults)

// An entry VM is replaced in the middle of the day. Officers keep the directory's answer for a while and their streams
// run: a stream under way ends whole, whoever still comes is served and told to go, and the process ends by itself.
BOOST_AUTO_TEST_CASE(an_entry_that_is_asked_to_end_cuts_nothing_and_leaves_the_directory)
{
    System system;
    system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    const std::string address = entry.toString();
    BOOST_TEST(System::eventually([&] { return system.directory().find(address) != std::string::npos; }));
    std::future<HttpResponse> slow = system.beginTurn(entry, "s1", {}, 1000, "/plans/slow");
    BOOST_TEST(System::eventually([&] { return system.stage.runsOf("s1") == 1; }));
    system.entries.front()->deliver(SIGTERM);
    BOOST_TEST(System::eventually([&] { return system.readiness(0) != 200; }));
    BOOST_TEST(System::eventually([&] { return system.directory().find(address) == std::string::npos; }));
    const HttpResponse late = system.turn(entry, "s2", {});
    BOOST_TEST(late.status == 200U);
    BOOST_TEST(late.header("Connection") == "close");
    const HttpResponse whole = slow.get();
    BOOST_TEST(whole.status == 200U);
    BOOST_TEST(whole.body.ends_with("id: 4\ndata: s\n\n"));
    BOOST_TEST(System::eventually([&] { return system.entries.front()->hasEnded(); }));
}

// The seeds in an entry's settings are all gone, and the settings are changed under it, as when the VMs that they named
// were replaced. Without the new ones it would never find the ledger.
BOOST_AUTO_TEST_CASE(an_entry_takes_new_seeds_from_its_settings_and_goes_on)
{
    System system;
    system.putDocument(3);
    GatewaySettings settings = system.startEntry({local(freePort())});
    BOOST_TEST(system.readiness(0) == 503U);
    settings.seeds = system.seeds();
    system.entries.front()->reload(settings);
    BOOST_TEST(System::eventually([&] { return system.readiness(0) == 200; }));
    // Settings that can't be read change nothing.
    system.entries.front()->deliver(SIGHUP);
    BOOST_TEST(system.turn(settings.front, "h1", {}).status == 200U);
}

// An operator empties a ledger VM: another takes its place, holds everything, and only then is it said to be done. The
// VM is taken away with its disk at once, and a plan review goes on from what it held.
BOOST_AUTO_TEST_CASE(a_retired_ledger_vm_is_emptied_before_it_is_said_to_be_and_nothing_is_lost)
{
    System system;
    system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    BOOST_TEST(system.turn(entry, "r1", {}).status == 200U);
    system.addLedger();
    const std::string order = "/cardamompost/retire/ledger-0";
    const auto ask = [&](const std::string &method) {
        // Whoever leads answers, and the retired VM may have been the one.
        for (std::size_t i = 0; i < system.ledgers.size(); ++i) {
            const HttpResponse answer = system.stage.call(system.ledgers[i].control, method, order);
            if (answer.status == 200) {
                return answer;
            }
        }
        return HttpResponse {0, {}, {}};
    };
    BOOST_TEST(System::eventually([&] { return ask("POST").status == 200; }));
    BOOST_TEST(System::eventually([&] { return ask("GET").body.find("completed") != std::string::npos; }));
    system.running[0].reset();
    BOOST_TEST(system.turn(entry, "r2", "r1").status == 200U);
    BOOST_TEST(system.stage.bodyOf("r2") == "in-r1;a-r1\nb-r1\nin-r2;");
}

// A firewall between the failure domains forgets all open connections: they stay open, nothing passes, new ones work.
// An entry waited 1.5 s for its pings to show that and refused every turn meanwhile.
BOOST_AUTO_TEST_CASE(a_turn_is_served_though_all_connections_between_the_vms_went_silent)
{
    System system;
    system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    BOOST_TEST(system.turn(entry, "q1", {}).status == 200U);
    system.link.forget();
    BOOST_TEST(system.turn(entry, "q2", "q1").status == 200U);
    BOOST_TEST(system.stage.bodyOf("q2") == "in-q1;a-q1\nb-q1\nin-q2;");
}

// A server runs a read and its answer is lost. The foreman's program would fail after his whole patience; reads may be
// repeated, so another server is asked in time.
BOOST_AUTO_TEST_CASE(a_read_whose_answer_is_lost_is_answered_by_another_server)
{
    System system;
    system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    const HttpResponse answer = system.stage.call(entry, "GET", "/reads/silent-once", System::headers("l1"));
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(answer.header("Server-Signature") == "sig-l1");
    BOOST_TEST(system.stage.runsOf("l1") == 2U);
}

// A model engine breaks off within an event. Where the stream may be resumed, it goes on at another engine after the
// last whole event, in the same answer; where it may not, it is cut, and a cut answer does not look whole.
BOOST_AUTO_TEST_CASE(a_stream_that_breaks_off_goes_on_elsewhere_only_where_it_may)
{
    System system;
    system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    const HttpResponse resumed = system.stage.call(entry, "POST", "/resumes/cut-once", System::headers("m1"), "in");
    BOOST_TEST(resumed.status == 200U);
    BOOST_TEST(resumed.body == "id: 1\ndata: a-m1\n\nid: 2\ndata: b-m1\n\n");
    BOOST_TEST(system.stage.runsOf("m1") == 2U);
    BOOST_TEST(system.turn(entry, "m2", {}, 1000, "/plans/cut-once").status == 0U);
    BOOST_TEST(system.stage.runsOf("m2") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
