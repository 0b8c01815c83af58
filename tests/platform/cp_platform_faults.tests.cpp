#include "support/cp_gateway_cluster.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

BOOST_AUTO_TEST_SUITE(platform_faults)

// Guards against streams cut by the shutdown of an entry, and against refusing clients that still use a cached address.
BOOST_AUTO_TEST_CASE(a_draining_entry_leaves_the_directory_and_completes_open_streams)
{
    GatewayCluster cluster;
    cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    // While no other entry is ready, the directory goes on naming one that drains.
    cluster.addEntry(cluster.seeds());
    const std::string address = entry.toString();
    BOOST_TEST(GatewayCluster::eventually([&] { return cluster.directory().find(address) != std::string::npos; }));
    std::future<HttpResponse> slow = cluster.beginTurn(entry, "s1", {}, 1000, "/plans/slow");
    BOOST_TEST(GatewayCluster::eventually([&] { return cluster.platform.runsOf("s1") == 1; }));
    cluster.entryThreads.front()->deliver(SIGTERM);
    BOOST_TEST(GatewayCluster::eventually([&] { return cluster.readiness(0) != 200; }));
    BOOST_TEST(GatewayCluster::eventually([&] { return cluster.directory().find(address) == std::string::npos; }));
    const HttpResponse late = cluster.turn(entry, "s2", {});
    BOOST_TEST(late.status == 200U);
    BOOST_TEST(late.header("Connection") == "close");
    const HttpResponse completed = slow.get();
    BOOST_TEST(completed.status == 200U);
    BOOST_TEST(completed.body.ends_with("id: 4\ndata: s\n\n"));
    BOOST_TEST(GatewayCluster::eventually([&] { return cluster.entryThreads.front()->hasEnded(); }));
}

// Guards against streams that start late in the grace period, from clients with a cached address, and are cut at its
// end.
BOOST_AUTO_TEST_CASE(an_entry_stops_accepting_connections_before_its_grace_period_ends)
{
    GatewayCluster cluster;
    cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    std::future<HttpResponse> slow = cluster.beginTurn(entry, "s1", {}, 1000, "/plans/slow");
    BOOST_TEST(GatewayCluster::eventually([&] { return cluster.platform.runsOf("s1") == 1; }));
    cluster.entryThreads.front()->deliver(SIGTERM);
    bool wasRunning = false;
    BOOST_TEST(GatewayCluster::eventually([&] {
        wasRunning = !cluster.entryThreads.front()->hasEnded();
        return cluster.platform.call(entry, "POST", "/nowhere", GatewayCluster::headers("n1"), "x").status == 0;
    }));
    BOOST_TEST(wasRunning);
    BOOST_TEST(slow.get().status == 200U);
}

// Guards against entries that wait for a timeout on connections to a frozen leader. Pending requests are retried at the
// new one.
BOOST_AUTO_TEST_CASE(a_new_leader_notifies_entries_directly)
{
    constexpr int maxAttempts = 6;
    GatewayCluster cluster;
    cluster.putDocument(2);
    const Address entry = cluster.addEntry(cluster.seeds());
    const auto successorNotices = [&] {
        return cluster.metricValue(cluster.entrySettings[0].ready, "cardamompost_ledger_told_by_successor_total");
    };
    std::string last;
    for (int i = 0; i < maxAttempts && successorNotices() == 0; ++i) {
        const std::size_t leader = cluster.putDocument(3 + i);
        BOOST_REQUIRE(GatewayCluster::eventually([&] { return cluster.readiness(0) == 200; }));
        cluster.ledgerThreads[leader]->freeze();
        const std::string id = "n" + std::to_string(i);
        BOOST_TEST(GatewayCluster::eventually([&] { return cluster.turn(entry, id, last).status == 200; }));
        last = id;
        GatewayThread::thaw();
    }
    BOOST_TEST(successorNotices() > 0);
}

// Guards against an entry that can't find the ledger after all VMs that its settings named were replaced.
BOOST_AUTO_TEST_CASE(an_entry_finds_the_ledger_through_reloaded_seeds)
{
    GatewayCluster cluster;
    cluster.putDocument(3);
    GatewaySettings settings = cluster.startEntry({local(freePort())});
    BOOST_TEST(cluster.readiness(0) == 503U);
    settings.seeds = cluster.seeds();
    cluster.entryThreads.front()->reload(settings);
    BOOST_TEST(GatewayCluster::eventually([&] { return cluster.readiness(0) == 200; }));
    // Unreadable settings are ignored.
    cluster.entryThreads.front()->deliver(SIGHUP);
    BOOST_TEST(cluster.turn(settings.front, "h1", {}).status == 200U);
}

// Guards against data loss when a ledger VM is removed with its disk right after its retirement is reported as
// completed.
BOOST_AUTO_TEST_CASE(a_retirement_completes_only_after_another_vm_holds_the_data)
{
    GatewayCluster cluster;
    cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    BOOST_TEST(cluster.turn(entry, "r1", {}).status == 200U);
    cluster.addLedger();
    const std::string retirePath = "/cardamompost/retire/ledger-0";
    const auto request = [&](const std::string &method) {
        // Only the leader answers, and the retired VM may have been the leader.
        for (std::size_t i = 0; i < cluster.ledgerSettings.size(); ++i) {
            const HttpResponse answer = cluster.platform.call(cluster.ledgerSettings[i].control, method, retirePath);
            if (answer.status == 200) {
                return answer;
            }
        }
        return HttpResponse {0, {}, {}};
    };
    BOOST_TEST(GatewayCluster::eventually([&] { return request("POST").status == 200; }));
    BOOST_TEST(GatewayCluster::eventually([&] { return request("GET").body.find("completed") != std::string::npos; }));
    cluster.ledgerThreads[0].reset();
    BOOST_TEST(cluster.turn(entry, "r2", "r1").status == 200U);
    BOOST_TEST(cluster.platform.bodyOf("r2") == "in-r1;a-r1\nb-r1\nin-r2;");
}

// Guards against a VM that is never used because another one at its address was retired.
BOOST_AUTO_TEST_CASE(a_vm_at_the_address_of_a_retired_one_becomes_a_member)
{
    GatewayCluster cluster;
    cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    BOOST_TEST(cluster.turn(entry, "v1", {}).status == 200U);
    cluster.addLedger();
    constexpr std::size_t reused = 3;
    const VmName retiredVm = cluster.ledgerSettings[reused].vm;
    const auto retired = [&](const std::string &method) {
        const std::string path = "/cardamompost/retire/" + retiredVm;
        return std::any_of(cluster.ledgerSettings.begin(), cluster.ledgerSettings.end(), [&](const auto &ledger) {
            const HttpResponse answer = cluster.platform.call(ledger.control, method, path);
            return answer.status == 200 && (method == "POST" || answer.body.find("completed") != std::string::npos);
        });
    };
    BOOST_REQUIRE(GatewayCluster::eventually([&] { return retired("POST"); }));
    BOOST_REQUIRE(GatewayCluster::eventually([&] { return retired("GET"); }));
    cluster.ledgerThreads[reused].reset();
    cluster.ledgerThreads[0].reset();
    // Its name comes before the retired one's.
    cluster.ledgerSettings[reused].vm = "ledger-00";
    cluster.restartLedger(reused, false);
    // It is added as a learner, becomes a voter, and the lost voter is removed.
    constexpr std::size_t changes = 3;
    const std::string peer = cluster.ledgerSettings[reused].peer.toString();
    BOOST_REQUIRE(
        GatewayCluster::eventually([&] { return cluster.matchingLogCount("members.change", peer) >= changes; }));
    BOOST_TEST(GatewayCluster::eventually([&] { return retired("GET"); }));
    // Two of three members remain.
    cluster.ledgerThreads[1].reset();
    constexpr int maxTurns = 5;
    unsigned status = 0;
    for (int i = 0; i < maxTurns && status != 200; ++i) {
        status = cluster.turn(entry, "v2", "v1").status;
    }
    BOOST_TEST(status == 200U);
    BOOST_TEST(cluster.platform.bodyOf("v2") == "in-v1;a-v1\nb-v1\nin-v2;");
}

// Guards against refused turns while heartbeats detect dead connections; new connections work, as after a firewall
// restart.
BOOST_AUTO_TEST_CASE(a_turn_is_served_although_all_open_connections_are_blackholed)
{
    GatewayCluster cluster;
    cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    BOOST_TEST(cluster.turn(entry, "q1", {}).status == 200U);
    cluster.ledgerProxy.blackholeOpenConnections();
    BOOST_TEST(cluster.turn(entry, "q2", "q1").status == 200U);
    BOOST_TEST(cluster.platform.bodyOf("q2") == "in-q1;a-q1\nb-q1\nin-q2;");
}

// Guards against waiting for the full timeout when a safe request can be retried.
BOOST_AUTO_TEST_CASE(a_safe_request_without_a_response_is_retried_at_another_server)
{
    GatewayCluster cluster;
    cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    const HttpResponse answer
        = cluster.platform.call(entry, "GET", "/reads/silent-once", GatewayCluster::headers("l1"));
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(answer.header("Server-Signature") == "sig-l1");
    BOOST_TEST(cluster.platform.runsOf("l1") == 2U);
}

// Guards against a resume that repeats or drops events, and against a truncated response that looks complete.
BOOST_AUTO_TEST_CASE(a_broken_stream_is_resumed_only_on_a_resumable_route)
{
    GatewayCluster cluster;
    cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    const HttpResponse resumed
        = cluster.platform.call(entry, "POST", "/resumes/cut-once", GatewayCluster::headers("m1"), "in");
    BOOST_TEST(resumed.status == 200U);
    BOOST_TEST(resumed.body == "id: 1\ndata: a-m1\n\nid: 2\ndata: b-m1\n\n");
    BOOST_TEST(cluster.platform.runsOf("m1") == 2U);
    // A status if the stream broke off before anything was relayed, otherwise a response that is cut off.
    const unsigned cutOff = cluster.turn(entry, "m2", {}, 1000, "/plans/cut-once").status;
    BOOST_TEST((cutOff == 0U || cutOff == 502U));
    BOOST_TEST(cluster.platform.runsOf("m2") == 1U);
    BOOST_TEST(cluster.turn(entry, "m3", "m2").status == 404U);
}

// Guards against loss of histories and token budgets when all ledger VMs stop at once and one of them loses its disk.
BOOST_AUTO_TEST_CASE(histories_and_budgets_survive_a_power_loss_with_one_lost_disk)
{
    GatewayCluster cluster;
    cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    BOOST_TEST(cluster.turn(entry, "p1", {}, 60).status == 200U);
    BOOST_TEST(cluster.turn(entry, "p2", "p1", 60).status == 402U);
    cluster.killLedgers();
    cluster.restartLedger(0);
    cluster.restartLedger(1);
    cluster.restartLedger(2, false);
    const auto turnUntilServed = [&](const std::string &id, const std::string &previous, int budget) {
        unsigned status = 0;
        int tries = 0;
        BOOST_TEST(GatewayCluster::eventually([&] {
            status = cluster.turn(entry, id + std::to_string(++tries), previous, budget).status;
            return status != 503;
        }));
        return status;
    };
    BOOST_TEST(turnUntilServed("loop", "p1", 60) == 402U);
    BOOST_TEST(turnUntilServed("unknown", "nobody", 1000) == 404U);
    BOOST_TEST(cluster.turn(entry, "p3", "p1", 1000).status == 200U);
    BOOST_TEST(cluster.platform.bodyOf("p3") == "in-p1;a-p1\nb-p1\nin-p3;");
    BOOST_TEST(cluster.platform
                   .call(cluster.ledgerSettings[cluster.putDocument(3)].control, "GET", "/cardamompost/configuration")
                   .body
               == document(3));
}

// Guards against loss of acknowledged turns when two disks are lost one after the other, the leader's first.
BOOST_AUTO_TEST_CASE(a_second_disk_may_be_lost_after_recovery_from_the_first_loss)
{
    GatewayCluster cluster;
    const std::size_t leader = cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    BOOST_TEST(cluster.turn(entry, "w1", {}).status == 200U);
    const auto isServed = [&](const std::string &id, const std::string &previous) {
        return GatewayCluster::eventually([&] { return cluster.turn(entry, id, previous).status == 200; });
    };
    const std::size_t other = (leader + 1) % cluster.ledgerSettings.size();
    for (const std::size_t lost : {leader, other}) {
        cluster.restartLedger(lost, false);
        BOOST_TEST(cluster.waitUntilRecovered(lost));
        BOOST_TEST(isServed("w2-" + std::to_string(lost), "w1"));
    }
    BOOST_TEST(cluster.platform.bodyOf("w2-" + std::to_string(other))
               == "in-w1;a-w1\nb-w1\nin-w2-" + std::to_string(other) + ";");
}

// Guards against routes that are missing at some entries, or after a restart, when a document grows in one step.
BOOST_AUTO_TEST_CASE(a_document_that_grows_by_350_routes_applies_at_every_entry)
{
    constexpr int moreRoutes = 350;
    GatewayCluster cluster;
    cluster.putDocument(3);
    const std::vector<Address> entries {cluster.addEntry(cluster.seeds()), cluster.addEntry(cluster.seeds())};
    cluster.putDocument(4, moreRoutes);
    const auto isServed = [&](const Address &entry, const std::string &path) {
        static int number = 0;
        const HttpHeaders headers = GatewayCluster::headers("m" + std::to_string(++number));
        return cluster.platform.call(entry, "POST", path, headers, "work").status == 200;
    };
    for (const Address &entry : entries) {
        BOOST_TEST(GatewayCluster::eventually([&] { return isServed(entry, "/more-350/x"); }));
        for (const std::string path : {"/more-1/x", "/more-175/x", "/tools/x"}) {
            BOOST_TEST(isServed(entry, path));
        }
    }
    cluster.killLedgers();
    for (std::size_t i = 0; i < cluster.ledgerSettings.size(); ++i) {
        cluster.restartLedger(i);
    }
    const Address late = cluster.addEntry(cluster.seeds());
    BOOST_TEST(isServed(late, "/more-350/x"));
}

// Guards against duplicate runs, lost histories and wrong budgets when chunks are delayed, as by retransmission.
BOOST_AUTO_TEST_CASE(a_program_continues_while_links_between_vms_lose_packets)
{
    constexpr int turns = 10;
    constexpr int tokensPerTurn = 20;
    constexpr int maxTokensPerTurn = 50;
    constexpr int ampleBudget = 10'000;
    GatewayCluster cluster;
    cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    cluster.ledgerProxy.delayChunks(Milliseconds(120));
    std::string previous;
    std::string history;
    int totalTries = 0;
    for (int i = 0; i < turns; ++i) {
        // A turn without a complete response is retried under a new id, as clients do.
        std::string id;
        int tries = 0;
        BOOST_REQUIRE(GatewayCluster::eventually([&] {
            id = "l" + std::to_string(i) + "-" + std::to_string(++tries);
            ++totalTries;
            const unsigned status = cluster.turn(entry, id, previous, ampleBudget).status;
            BOOST_TEST(status != 404U);
            BOOST_TEST(cluster.platform.runsOf(id) <= 1U);
            return status == 200;
        }));
        BOOST_TEST(cluster.platform.bodyOf(id) == history + "in-" + id + ";");
        history += "in-" + id + ";a-" + id + "\nb-" + id + "\n";
        previous = id;
    }
    cluster.ledgerProxy.delayChunks(Milliseconds(0));
    BOOST_TEST(cluster.turn(entry, "l-spent", previous, turns * tokensPerTurn).status == 402U);
    const int maxSpentTokens = totalTries * tokensPerTurn;
    BOOST_TEST(GatewayCluster::eventually(
        [&] { return cluster.turn(entry, "l-last", previous, maxSpentTokens + maxTokensPerTurn).status == 200; }));
}

// Guards against control requests that VMs outside of the group refuse instead of redirecting them.
BOOST_AUTO_TEST_CASE(a_ledger_vm_outside_of_the_group_redirects_operators_to_the_leader)
{
    GatewayCluster cluster;
    cluster.putDocument(3);
    cluster.addLedger();
    const Address outside = cluster.ledgerSettings.back().control;
    HttpResponse answer;
    BOOST_TEST(GatewayCluster::eventually([&] {
        answer = cluster.platform.call(outside, "GET", "/cardamompost/configuration");
        return answer.status == 307;
    }));
    const std::string location(answer.header("Location"));
    BOOST_TEST(location.find("/cardamompost/configuration") != std::string::npos);
}

// Guards against turns whose times are not measured, or known to the leader alone, so that a new one knows no speeds.
BOOST_AUTO_TEST_CASE(all_ledger_vms_learn_how_long_turns_take_and_the_leader_predicts_them)
{
    GatewayCluster cluster;
    const std::size_t leader = cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    // A turn is not measured if the machine is too busy to tell when its events arrived.
    constexpr int maxTurns = 20;
    bool isLearned = false;
    for (int i = 0; i < maxTurns && !isLearned; ++i) {
        BOOST_REQUIRE(cluster.turn(entry, "p" + std::to_string(i), {}, 1000, "/plans/slow").status == 200U);
        isLearned = cluster.metricValue(cluster.ledgerSettings[leader].directory,
                                        "cardamompost_turn_prediction_error_seconds_count")
            >= 1;
        for (const GatewaySettings &ledger : cluster.ledgerSettings) {
            isLearned = cluster.metricValue(ledger.directory, "cardamompost_engines_measured") >= 1 && isLearned;
        }
    }
    BOOST_TEST(isLearned);
}

// Guards the metrics that explain an outage: leader changes and refused turns.
BOOST_AUTO_TEST_CASE(changes_of_leaders_and_refused_turns_are_counted)
{
    GatewayCluster cluster;
    const std::size_t leader = cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    const auto sum = [&](const std::string &series) {
        double all = 0;
        for (std::size_t i = 0; i < cluster.ledgerSettings.size(); ++i) {
            all += cluster.ledgerThreads[i] ? cluster.metricValue(cluster.ledgerSettings[i].directory, series) : 0;
        }
        return all;
    };
    BOOST_TEST(sum("cardamompost_ledger_takeovers_total") >= 1);
    BOOST_TEST(cluster.turn(entry, "n1", {}, 10).status == 402U);
    BOOST_TEST(cluster.turn(entry, "n2", "nobody").status == 404U);
    BOOST_TEST(sum("cardamompost_turns_refused_total{reason=\"spent\"}") == 1);
    BOOST_TEST(sum("cardamompost_turns_refused_total{reason=\"no-such-turn\"}") == 1);
    const double termBefore = cluster.metricValue(cluster.ledgerSettings[leader].directory, "cardamompost_ledger_term");
    cluster.ledgerThreads[leader].reset();
    BOOST_TEST(GatewayCluster::eventually([&] { return cluster.turn(entry, "n3", {}).status == 200; }));
    BOOST_TEST(sum("cardamompost_ledger_takeovers_total") >= 1);
    const std::size_t other = (leader + 1) % cluster.ledgerSettings.size();
    BOOST_TEST(cluster.metricValue(cluster.ledgerSettings[other].directory, "cardamompost_ledger_term") > termBefore);
    // The entry has noticed the change, by itself or from the successor.
    const Address &metrics = cluster.entrySettings.front().ready;
    BOOST_TEST(cluster.metricValue(metrics, "cardamompost_ledger_lost_total")
                   + cluster.metricValue(metrics, "cardamompost_ledger_told_by_successor_total")
               >= 1);
}

// Guards against a member that stays silent after a failed write, so that the next lost disk costs the quorum.
BOOST_AUTO_TEST_CASE(a_ledger_vm_recovers_after_its_disk_was_full)
{
    GatewayCluster cluster;
    const std::size_t leader = cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    BOOST_TEST(cluster.turn(entry, "f1", {}).status == 200U);
    cluster.ledgerDisks[leader]->failWrites = true;
    BOOST_TEST(GatewayCluster::eventually([&] { return cluster.turn(entry, "f2", "f1").status == 200; }));
    BOOST_TEST(GatewayCluster::eventually([&] { return cluster.ledgerThreads[leader]->hasEnded(); }));
    BOOST_TEST(cluster.ledgerThreads[leader]->exitCode() == Gateway::exitDiskFailed);
    // A restart while the disk is still full waits for space instead of exiting.
    cluster.restartLedger(leader);
    BOOST_TEST(GatewayCluster::eventually([&] { return cluster.logCount("disk.failed") >= 3; }));
    BOOST_TEST(!cluster.ledgerThreads[leader]->hasEnded());
    cluster.ledgerDisks[leader]->failWrites = false;
    BOOST_TEST(GatewayCluster::eventually(
        [&] { return cluster.logCount("ledger.started") >= cluster.ledgerSettings.size() + 1; }));
    cluster.restartLedger((leader + 1) % cluster.ledgerSettings.size(), false);
    BOOST_TEST(GatewayCluster::eventually([&] { return cluster.turn(entry, "f3", "f1").status == 200; }));
    BOOST_TEST(cluster.platform.bodyOf("f3") == "in-f1;a-f1\nb-f1\nin-f3;");
}

// Guards against loss of histories that are on disk only, behind a compacted log, when each VM loses its disk in turn.
BOOST_AUTO_TEST_CASE(a_history_evicted_from_memory_survives_the_loss_of_each_disk_in_turn)
{
    constexpr int bulkTurns = 150;
    constexpr std::size_t bulkBytes = 90'000;
    constexpr int budget = 100'000;
    GatewayCluster cluster;
    cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    BOOST_TEST(cluster.turn(entry, "d1", {}).status == 200U);
    BOOST_TEST(cluster.turn(entry, "d2", "d1").status == 200U);
    for (int i = 0; i < bulkTurns; ++i) {
        const std::string id = "bulk-" + std::to_string(i);
        const auto bulk = cluster.beginTurn(entry, id, {}, budget, "/plans/1", std::string(bulkBytes, 'x')).get();
        BOOST_REQUIRE(bulk.status == 200U);
    }
    BOOST_TEST(GatewayCluster::eventually(
        [&] { return cluster.logCount("ledger.compacted") >= cluster.ledgerSettings.size(); }));
    std::size_t restoredVms = 0;
    for (std::size_t lost = 0; lost < cluster.ledgerSettings.size(); ++lost) {
        cluster.restartLedger(lost, false);
        ++restoredVms;
        BOOST_TEST(GatewayCluster::eventually([&] { return cluster.logCount("texts.whole") >= restoredVms; }));
        // Until this VM may vote again, the next loss would be a second one at the same time.
        BOOST_REQUIRE(cluster.waitUntilRecovered(lost));
        const std::string id = "d3-" + std::to_string(lost);
        BOOST_TEST(GatewayCluster::eventually([&] { return cluster.turn(entry, id, "d2", budget).status == 200; }));
        BOOST_TEST(cluster.platform.bodyOf(id) == "in-d1;a-d1\nb-d1\nin-d2;a-d2\nb-d2\nin-" + id + ";");
    }
}

// Guards against a stale backend list: another instance now listens at a listed address.
BOOST_AUTO_TEST_CASE(a_request_never_runs_at_a_server_that_reuses_an_address)
{
    GatewayCluster cluster;
    cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    cluster.platform.reuseFirstAddress();
    for (int i = 0; i < 12; ++i) {
        const std::string id = "u" + std::to_string(i);
        const HttpResponse answer
            = cluster.platform.call(entry, "POST", "/tools/x", GatewayCluster::headers(id), "work");
        BOOST_TEST(answer.status == 200U);
        BOOST_TEST(cluster.platform.runsOf(id) == 1U);
        BOOST_TEST(cluster.platform.lastServerOf(id) == "i-2");
    }
}

// Guards against response desynchronization: a surplus response must not answer the next request on a kept connection.
BOOST_AUTO_TEST_CASE(an_unsolicited_second_response_is_discarded)
{
    GatewayCluster cluster;
    cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    for (int i = 0; i < 8; ++i) {
        const std::string id = "v" + std::to_string(i);
        const std::string path = i % 2 == 0 ? "/tools/twice" : "/tools/x";
        const HttpResponse answer = cluster.platform.call(entry, "POST", path, GatewayCluster::headers(id), "work");
        BOOST_TEST(answer.status == 200U);
        BOOST_TEST(answer.header("Server-Signature") == "sig-" + id);
        BOOST_TEST(answer.body == "id: 1\ndata: a-" + id + "\n\nid: 2\ndata: b-" + id + "\n\n");
    }
}

// Guards against request smuggling through a body that holds a second request.
BOOST_AUTO_TEST_CASE(a_request_inside_a_body_is_not_executed)
{
    GatewayCluster cluster;
    cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    const std::string hidden
        = "POST /tools/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: hidden\r\nContent-Length: 0\r\n\r\n";
    BOOST_TEST(cluster.platform.call(entry, "POST", "/tools/x", GatewayCluster::headers("x1"), hidden).status == 200U);
    BOOST_TEST(cluster.platform.bodyOf("x1") == hidden);
    BOOST_TEST(cluster.platform.runsOf("hidden") == 0U);
}

// Guards against engines that go on generating after the client has disconnected.
BOOST_AUTO_TEST_CASE(a_client_disconnect_cancels_the_request_at_its_engine)
{
    GatewayCluster cluster;
    cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    HttpHeaders headers = GatewayCluster::headers("y1");
    headers["Token-Usage"] = "100,50";
    const HttpResponse none
        = cluster.platform.begin(entry, "POST", "/drafts/slow", headers, "in", Milliseconds(200)).get();
    BOOST_TEST(none.status == 0U);
    BOOST_TEST(GatewayCluster::eventually([&] { return cluster.platform.wasDisconnected("y1"); }));
}

// Guards against a server that accepts requests and passes health checks, but lets every client time out.
BOOST_AUTO_TEST_CASE(a_server_that_never_responds_is_ejected)
{
    GatewayCluster cluster;
    cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    for (int i = 0; i < 8 && cluster.logCount("backend.left_out") == 0; ++i) {
        const HttpResponse none
            = cluster.platform
                  .begin(entry, "POST", "/tools/never", GatewayCluster::headers("m" + std::to_string(i)), "declare",
                         Milliseconds(1000))
                  .get();
        BOOST_TEST(none.status == 0U);
    }
    BOOST_TEST(GatewayCluster::eventually([&] { return cluster.logCount("backend.left_out") > 0; }));
}

BOOST_AUTO_TEST_SUITE_END()
