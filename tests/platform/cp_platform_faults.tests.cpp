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

// Callers whose answer of the directory lives for seconds still connect to an entry that has long been asked to end,
// and their streams were cut at the end of the grace period. It refuses them in time, which costs them a moment, and
// closes connections that wait for their next request, while a stream that runs ends whole.
BOOST_AUTO_TEST_CASE(an_entry_that_is_about_to_end_takes_no_more_connections)
{
    System system;
    system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    std::future<HttpResponse> slow = system.beginTurn(entry, "s1", {}, 1000, "/plans/slow");
    BOOST_TEST(System::eventually([&] { return system.stage.runsOf("s1") == 1; }));
    system.entries.front()->deliver(SIGTERM);
    bool wasAlive = false;
    BOOST_TEST(System::eventually([&] {
        wasAlive = !system.entries.front()->hasEnded();
        return system.stage.call(entry, "POST", "/nowhere", System::headers("n1"), "x").status == 0;
    }));
    BOOST_TEST(wasAlive);
    BOOST_TEST(slow.get().status == 200U);
}

// The leader's VM stands still: its connections stay open and say nothing, and all programs wait. The one that replaces
// it tells the entries itself, and turns that the old one was asked for are asked for again there at once.
BOOST_AUTO_TEST_CASE(entries_hear_from_a_new_leader_itself)
{
    constexpr int most = 6;
    System system;
    system.putDocument(2);
    const Address entry = system.addEntry(system.seeds());
    const auto told
        = [&] { return system.counted(system.entrySettings[0].ready, "cardamompost_ledger_told_by_successor_total"); };
    std::string last;
    for (int i = 0; i < most && told() == 0; ++i) {
        const std::size_t leader = system.putDocument(3 + i);
        BOOST_REQUIRE(System::eventually([&] { return system.readiness(0) == 200; }));
        system.running[leader]->freeze();
        const std::string id = "n" + std::to_string(i);
        BOOST_TEST(System::eventually([&] { return system.turn(entry, id, last).status == 200; }));
        last = id;
        GatewayThread::thaw();
    }
    BOOST_TEST(told() > 0);
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
    system.link.blackholeOpenConnections();
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

// All VMs lose their power at once, and one comes back without its disk. Officers go on where they were, and a loop
// that had spent its budget before is still stopped.
BOOST_AUTO_TEST_CASE(histories_and_budgets_outlive_a_loss_of_all_power_with_one_disk_gone)
{
    System system;
    system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    BOOST_TEST(system.turn(entry, "p1", {}, 60).status == 200U);
    BOOST_TEST(system.turn(entry, "p2", "p1", 60).status == 402U);
    system.killLedgers();
    system.restartLedger(0);
    system.restartLedger(1);
    system.restartLedger(2, false);
    const auto turnUntilServed = [&](const std::string &id, const std::string &previous, int budget) {
        unsigned status = 0;
        int tries = 0;
        BOOST_TEST(System::eventually([&] {
            status = system.turn(entry, id + std::to_string(++tries), previous, budget).status;
            return status != 503;
        }));
        return status;
    };
    BOOST_TEST(turnUntilServed("loop", "p1", 60) == 402U);
    BOOST_TEST(turnUntilServed("unknown", "nobody", 1000) == 404U);
    BOOST_TEST(system.turn(entry, "p3", "p1", 1000).status == 200U);
    BOOST_TEST(system.stage.bodyOf("p3") == "in-p1;a-p1\nb-p1\nin-p3;");
    BOOST_TEST(
        system.stage.call(system.ledgers[system.putDocument(3)].control, "GET", "/cardamompost/configuration").body
        == document(3));
}

// The VM that acknowledged a turn last loses its disk right after, and then one of the others goes too, once the first
// is back: two disks in a row, never two at once.
BOOST_AUTO_TEST_CASE(a_second_disk_may_go_once_the_first_one_is_made_good)
{
    System system;
    const std::size_t leader = system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    BOOST_TEST(system.turn(entry, "w1", {}).status == 200U);
    const auto isServed = [&](const std::string &id, const std::string &previous) {
        return System::eventually([&] { return system.turn(entry, id, previous).status == 200; });
    };
    const std::size_t other = (leader + 1) % system.ledgers.size();
    for (const std::size_t lost : {leader, other}) {
        system.restartLedger(lost, false);
        BOOST_TEST(system.isMadeGood(lost));
        BOOST_TEST(isServed("w2-" + std::to_string(lost), "w1"));
    }
    BOOST_TEST(system.stage.bodyOf("w2-" + std::to_string(other))
               == "in-w1;a-w1\nb-w1\nin-w2-" + std::to_string(other) + ";");
}

// The operator's document grows by 350 routes in one step, as when a second firm moves in. Each has to be there at
// every entry, the first ones too, and after a restart.
BOOST_AUTO_TEST_CASE(a_document_with_350_routes_more_is_in_force_everywhere)
{
    constexpr int moreRoutes = 350;
    System system;
    system.putDocument(3);
    const std::vector<Address> entries {system.addEntry(system.seeds()), system.addEntry(system.seeds())};
    system.putDocument(4, moreRoutes);
    const auto isServed = [&](const Address &entry, const std::string &path) {
        static int number = 0;
        const HttpHeaders headers = System::headers("m" + std::to_string(++number));
        return system.stage.call(entry, "POST", path, headers, "work").status == 200;
    };
    for (const Address &entry : entries) {
        BOOST_TEST(System::eventually([&] { return isServed(entry, "/more-350/x"); }));
        for (const std::string path : {"/more-1/x", "/more-175/x", "/tools/x"}) {
            BOOST_TEST(isServed(entry, path));
        }
    }
    system.killLedgers();
    for (std::size_t i = 0; i < system.ledgers.size(); ++i) {
        system.restartLedger(i);
    }
    const Address late = system.addEntry(system.seeds());
    BOOST_TEST(isServed(late, "/more-350/x"));
}

// The links between the VMs lose packets, or a ledger VM runs slowly: every third piece comes 120 ms late. Elections
// may come and go, begins and ends are sent again. A program of ten turns goes on meanwhile: each turn runs at most
// once, with its whole history, and the budget holds over all that was sent again.
BOOST_AUTO_TEST_CASE(a_program_goes_on_while_links_between_vms_lose_packets)
{
    constexpr int turns = 10;
    constexpr int tokensOfTurn = 20;
    constexpr int mostOfTurn = 50;
    constexpr int amply = 10'000;
    System system;
    system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    system.link.delayChunks(Milliseconds(120));
    std::string previous;
    std::string history;
    int allTries = 0;
    for (int i = 0; i < turns; ++i) {
        // A turn that got no whole answer is sent again under another id, as callers do.
        std::string id;
        int tries = 0;
        BOOST_REQUIRE(System::eventually([&] {
            id = "l" + std::to_string(i) + "-" + std::to_string(++tries);
            ++allTries;
            const unsigned status = system.turn(entry, id, previous, amply).status;
            BOOST_TEST(status != 404U);
            BOOST_TEST(system.stage.runsOf(id) <= 1U);
            return status == 200;
        }));
        BOOST_TEST(system.stage.bodyOf(id) == history + "in-" + id + ";");
        history += "in-" + id + ";a-" + id + "\nb-" + id + "\n";
        previous = id;
    }
    system.link.delayChunks(Milliseconds(0));
    BOOST_TEST(system.turn(entry, "l-spent", previous, turns * tokensOfTurn).status == 402U);
    const int spentAtMost = allTries * tokensOfTurn;
    BOOST_TEST(System::eventually(
        [&] { return system.turn(entry, "l-last", previous, spentAtMost + mostOfTurn).status == 200; }));
}

// Of three hundred VMs only a few hold the ledger, and operators ask any of those that serve control. One that never
// became a member knew no leader and refused for good: configurations took seconds to be acknowledged, and at the end
// of a day nobody could read back the one in force.
BOOST_AUTO_TEST_CASE(a_ledger_vm_outside_of_the_group_shows_operators_the_way)
{
    System system;
    system.putDocument(3);
    system.addLedger();
    const Address outside = system.ledgers.back().control;
    HttpResponse answer;
    BOOST_TEST(System::eventually([&] {
        answer = system.stage.call(outside, "GET", "/cardamompost/configuration");
        return answer.status == 307;
    }));
    const std::string to(answer.header("Location"));
    BOOST_TEST(to.find("/cardamompost/configuration") != std::string::npos);
}

// Whoever looks at the numbers of a bad minute has to find the change of leaders, and the turns that were refused.
BOOST_AUTO_TEST_CASE(changes_of_leaders_and_refused_turns_are_counted)
{
    System system;
    const std::size_t leader = system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    const auto sum = [&](const std::string &series) {
        double all = 0;
        for (std::size_t i = 0; i < system.ledgers.size(); ++i) {
            all += system.running[i] ? system.counted(system.ledgers[i].directory, series) : 0;
        }
        return all;
    };
    BOOST_TEST(sum("cardamompost_ledger_takeovers_total") >= 1);
    BOOST_TEST(system.turn(entry, "n1", {}, 10).status == 402U);
    BOOST_TEST(system.turn(entry, "n2", "nobody").status == 404U);
    BOOST_TEST(sum("cardamompost_turns_refused_total{reason=\"spent\"}") == 1);
    BOOST_TEST(sum("cardamompost_turns_refused_total{reason=\"no-such-turn\"}") == 1);
    const double termBefore = system.counted(system.ledgers[leader].directory, "cardamompost_ledger_term");
    system.running[leader].reset();
    BOOST_TEST(System::eventually([&] { return system.turn(entry, "n3", {}).status == 200; }));
    BOOST_TEST(sum("cardamompost_ledger_takeovers_total") >= 1);
    const std::size_t other = (leader + 1) % system.ledgers.size();
    BOOST_TEST(system.counted(system.ledgers[other].directory, "cardamompost_ledger_term") > termBefore);
    BOOST_TEST(system.counted(system.entrySettings.front().ready, "cardamompost_ledger_lost_total") >= 1);
}

// A ledger VM's disk is full for some seconds. The VM stayed silent for good afterwards, so a second one that lost its
// disk much later took the whole system along: no turn was served and no configuration could be read any more.
BOOST_AUTO_TEST_CASE(a_ledger_vm_whose_disk_was_full_holds_everything_again)
{
    System system;
    const std::size_t leader = system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    BOOST_TEST(system.turn(entry, "f1", {}).status == 200U);
    system.disks[leader]->failWrites = true;
    BOOST_TEST(System::eventually([&] { return system.turn(entry, "f2", "f1").status == 200; }));
    BOOST_TEST(System::eventually([&] { return system.running[leader]->hasEnded(); }));
    BOOST_TEST(system.running[leader]->exitCode() == Gateway::exitDiskFailed);
    // Started again while the disk is still full, it waits instead of ending again.
    system.restartLedger(leader);
    BOOST_TEST(System::eventually([&] { return system.logged("disk.failed") >= 3; }));
    BOOST_TEST(!system.running[leader]->hasEnded());
    system.disks[leader]->failWrites = false;
    BOOST_TEST(System::eventually([&] { return system.logged("ledger.started") >= system.ledgers.size() + 1; }));
    system.restartLedger((leader + 1) % system.ledgers.size(), false);
    BOOST_TEST(System::eventually([&] { return system.turn(entry, "f3", "f1").status == 200; }));
    BOOST_TEST(system.stage.bodyOf("f3") == "in-f1;a-f1\nb-f1\nin-f3;");
}

// A plan review of the morning goes on when its turns have long left the ledger VMs' memory and the log was cut behind
// them. Then one VM after the other loses its disk, the leader too; each fills up from the others before the next.
BOOST_AUTO_TEST_CASE(a_history_that_only_disks_hold_outlives_every_disk_in_turn)
{
    constexpr int bulkTurns = 150;
    constexpr std::size_t bulkBytes = 90'000;
    constexpr int budget = 100'000;
    System system;
    system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    BOOST_TEST(system.turn(entry, "d1", {}).status == 200U);
    BOOST_TEST(system.turn(entry, "d2", "d1").status == 200U);
    for (int i = 0; i < bulkTurns; ++i) {
        const std::string id = "bulk-" + std::to_string(i);
        const auto bulk = system.beginTurn(entry, id, {}, budget, "/plans/1", std::string(bulkBytes, 'x')).get();
        BOOST_REQUIRE(bulk.status == 200U);
    }
    BOOST_TEST(System::eventually([&] { return system.logged("ledger.compacted") >= system.ledgers.size(); }));
    std::size_t wholeAgain = 0;
    for (std::size_t lost = 0; lost < system.ledgers.size(); ++lost) {
        system.restartLedger(lost, false);
        ++wholeAgain;
        BOOST_TEST(System::eventually([&] { return system.logged("texts.whole") >= wholeAgain; }));
        // The texts are only a part: before it may vote again, the next loss is a second one at once.
        BOOST_REQUIRE(system.isMadeGood(lost));
        const std::string id = "d3-" + std::to_string(lost);
        BOOST_TEST(System::eventually([&] { return system.turn(entry, id, "d2", budget).status == 200; }));
        BOOST_TEST(system.stage.bodyOf(id) == "in-d1;a-d1\nb-d1\nin-d2;a-d2\nb-d2\nin-" + id + ";");
    }
}

// A server ends and its address is given to one of another service. The list is behind; what is sent there must not
// run.
BOOST_AUTO_TEST_CASE(a_request_never_runs_at_a_server_that_took_over_an_address)
{
    System system;
    system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    system.stage.reuseFirstAddress();
    for (int i = 0; i < 12; ++i) {
        const std::string id = "u" + std::to_string(i);
        const HttpResponse answer = system.stage.call(entry, "POST", "/tools/x", System::headers(id), "work");
        BOOST_TEST(answer.status == 200U);
        BOOST_TEST(system.stage.runsOf(id) == 1U);
        BOOST_TEST(system.stage.lastServerOf(id) == "i-2");
    }
}

// A faulty server answers a second time. On a kept connection that answer would go to whoever comes next.
BOOST_AUTO_TEST_CASE(a_second_answer_reaches_nobody)
{
    System system;
    system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    for (int i = 0; i < 8; ++i) {
        const std::string id = "v" + std::to_string(i);
        const std::string path = i % 2 == 0 ? "/tools/twice" : "/tools/x";
        const HttpResponse answer = system.stage.call(entry, "POST", path, System::headers(id), "work");
        BOOST_TEST(answer.status == 200U);
        BOOST_TEST(answer.header("Server-Signature") == "sig-" + id);
        BOOST_TEST(answer.body == "id: 1\ndata: a-" + id + "\n\nid: 2\ndata: b-" + id + "\n\n");
    }
}

// A caller hides a second request in the body of its first. Passed on as bytes of another length, it would run with
// nobody's leave.
BOOST_AUTO_TEST_CASE(a_request_inside_a_body_stays_a_body)
{
    System system;
    system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    const std::string hidden
        = "POST /tools/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: hidden\r\nContent-Length: 0\r\n\r\n";
    BOOST_TEST(system.stage.call(entry, "POST", "/tools/x", System::headers("x1"), hidden).status == 200U);
    BOOST_TEST(system.stage.bodyOf("x1") == hidden);
    BOOST_TEST(system.stage.runsOf("hidden") == 0U);
}

// An officer closes the page while a plan is written. The engine goes on for nobody unless its connection is closed.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_ends_the_work_of_its_engine)
{
    System system;
    system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    HttpHeaders headers = System::headers("y1");
    headers["Token-Usage"] = "100,50";
    const HttpResponse none = system.stage.begin(entry, "POST", "/drafts/slow", headers, "in", Milliseconds(200)).get();
    BOOST_TEST(none.status == 0U);
    BOOST_TEST(System::eventually([&] { return system.stage.wasLeft("y1"); }));
}

// A server takes requests and answers none of them, while its health is good. Callers give up one after the other, and
// the entry went on sending there, since none of these requests ended with an error.
BOOST_AUTO_TEST_CASE(a_server_that_lets_callers_give_up_is_left_out)
{
    System system;
    system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    for (int i = 0; i < 8 && system.logged("backend.left_out") == 0; ++i) {
        const HttpResponse none = system.stage
                                      .begin(entry, "POST", "/tools/never", System::headers("m" + std::to_string(i)),
                                             "declare", Milliseconds(1000))
                                      .get();
        BOOST_TEST(none.status == 0U);
    }
    BOOST_TEST(System::eventually([&] { return system.logged("backend.left_out") > 0; }));
}

BOOST_AUTO_TEST_SUITE_END()
