#include "support/cp_gateway_cluster.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

// Most ledger VMs aren't members of the group.
constexpr std::size_t memberCount = 3;
constexpr std::size_t ledgerVmCount = 24;

//! A cluster with more ledger VMs than members. One turn has been served, and every VM knows the leader.
class ClusterWithNonMembers : public GatewayCluster
{
public:
    ClusterWithNonMembers()
    {
        for (std::size_t i = memberCount; i < ledgerVmCount; ++i) {
            addLedger();
        }
        putDocument(3);
        const Address entry = addEntry(seeds());
        BOOST_TEST(turn(entry, "o1", {}).status == 200U);
        for (std::size_t i = 0; i < ledgerVmCount; ++i) {
            BOOST_TEST(eventually([&] { return knowsLeader(i); }));
        }
    }
    void crashAll()
    {
        entryThreads.clear();
        entrySettings.clear();
        killLedgers();
    }
    //! Checks that an entry with these seeds finds the leader and continues the history.
    void checkTurnIsServed(const std::vector<std::size_t> &seedIndexes)
    {
        std::vector<Address> seedAddresses;
        for (const std::size_t number : seedIndexes) {
            seedAddresses.push_back(ledgerSettings[number].peer);
        }
        const Address entry = addEntry(seedAddresses);
        BOOST_TEST(turn(entry, "o2", "o1").status == 200U);
        BOOST_TEST(platform.bodyOf("o2") == "in-o1;a-o1\nb-o1\nin-o2;");
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_outages)

// Guards against seeds that lead to no member: one seed lost its disk, the others never were members. VMs outside of
// the group must persist the addresses of its members.
BOOST_AUTO_TEST_CASE(after_a_power_loss_entries_find_the_leader_through_any_seeds)
{
    const std::vector<std::size_t> seeds {0, 10, 11};
    ClusterWithNonMembers cluster;
    cluster.crashAll();
    cluster.changeLedgerSeeds(seeds);
    for (std::size_t i = 0; i < ledgerVmCount; ++i) {
        cluster.restartLedger(i, i != seeds.front());
    }
    cluster.checkTurnIsServed(seeds);
    for (std::size_t i = 0; i < ledgerVmCount; ++i) {
        BOOST_TEST(GatewayCluster::eventually([&] { return cluster.knowsLeader(i); }));
    }
}

// As above, but the VMs outside of the group lost their disks: they know no member, and only the leader knows their
// addresses.
BOOST_AUTO_TEST_CASE(the_leader_contacts_uninitialized_vms_that_know_no_member)
{
    const std::vector<std::size_t> seeds {10, 11, 12};
    ClusterWithNonMembers cluster;
    cluster.crashAll();
    cluster.changeLedgerSeeds(seeds);
    for (std::size_t i = 0; i < ledgerVmCount; ++i) {
        cluster.restartLedger(i, i < memberCount);
    }
    cluster.checkTurnIsServed(seeds);
    BOOST_TEST(cluster.logCount("ledger.called") > 0U);
}

// Guards against a leader taken from stored addresses, which may be stale; they only say which VMs to contact.
BOOST_AUTO_TEST_CASE(stored_member_addresses_are_contacted_but_name_no_leader)
{
    constexpr std::size_t outside = 10;
    ClusterWithNonMembers cluster;
    const std::string name = '"' + cluster.ledgerSettings[outside].vm + '"';
    BOOST_TEST(GatewayCluster::eventually([&] { return cluster.matchingLogCount("ledger.way_stored", name) > 0; }));
    cluster.crashAll();
    cluster.changeLedgerSeeds({11, 12});
    cluster.ledgerThreads.resize(ledgerVmCount);
    cluster.restartLedger(outside);
    BOOST_TEST(cluster.matchingLogCount("ledger.remembered", name) == 1U);
    cluster.startEntry({cluster.ledgerSettings[outside].peer});
    const std::string member = cluster.ledgerSettings[0].peer.toString();
    BOOST_TEST(GatewayCluster::eventually([&] { return cluster.matchingLogCount("ledger.searching", member) > 0; }));
    BOOST_TEST(!cluster.knowsLeader(outside));
    for (std::size_t i = 0; i < memberCount; ++i) {
        cluster.restartLedger(i);
    }
    cluster.checkTurnIsServed({outside});
}

// Guards against a new leader that ignores which engine has cached a history: another one would have to process it
// again.
BOOST_AUTO_TEST_CASE(programs_stay_with_their_engines_over_a_change_of_leader)
{
    constexpr int programs = 12;
    GatewayCluster cluster;
    const std::size_t leader = cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    const auto turnOf = [&](int program, const std::string &id) {
        HttpHeaders headers = GatewayCluster::headers(id);
        headers["Program"] = "program-" + std::to_string(program);
        headers["Token-Usage"] = "100,50";
        headers["Token-Budget"] = "1000";
        return cluster.platform.call(entry, "POST", "/plans/1", headers, "in").status;
    };
    for (int i = 0; i < programs; ++i) {
        BOOST_TEST(turnOf(i, "before-" + std::to_string(i)) == 200U);
    }
    cluster.ledgerThreads[leader].reset();
    for (int i = 0; i < programs; ++i) {
        const std::string number = std::to_string(i);
        // The first attempts may be refused until a new leader is elected.
        BOOST_TEST(GatewayCluster::eventually([&] { return turnOf(i, "after-" + number) == 200; }));
        BOOST_TEST(cluster.platform.lastServerOf("after-" + number)
                   == cluster.platform.lastServerOf("before-" + number));
    }
}

// Guards against a split brain: a VM outside of the group restarts with first_start still set and new seeds.
BOOST_AUTO_TEST_CASE(a_vm_with_stored_member_addresses_founds_no_second_group)
{
    constexpr std::size_t outside = 10;
    ClusterWithNonMembers cluster;
    const std::string name = '"' + cluster.ledgerSettings[outside].vm + '"';
    BOOST_TEST(GatewayCluster::eventually([&] { return cluster.matchingLogCount("ledger.way_stored", name) > 0; }));
    // This VM never joined the group: it has stored member addresses, but no log.
    cluster.crashAll();
    cluster.changeLedgerSeeds({outside, 11, 12});
    GatewaySettings settings = cluster.ledgerSettings[outside];
    settings.isFirstStart = true;
    const GatewayThread restarted(settings);
    BOOST_TEST(restarted.isStarted());
    BOOST_TEST(cluster.matchingLogCount("ledger.founded", name) == 0U);
}

// Guards against long stalls of appends and votes, which wait for earlier writes to finish.
BOOST_AUTO_TEST_CASE(snapshots_are_written_in_parts_that_do_not_block_appends)
{
    constexpr int turns = 150;
    constexpr std::size_t turnBytes = 90'000;
    constexpr int budget = 100'000;
    constexpr std::size_t maxSyncBytes = 1U << 20U;
    GatewayCluster cluster;
    cluster.putDocument(3);
    const Address entry = cluster.addEntry(cluster.seeds());
    for (int i = 0; i < turns; ++i) {
        const std::string id = "bulk-" + std::to_string(i);
        const auto bulk = cluster.beginTurn(entry, id, {}, budget, "/plans/1", std::string(turnBytes, 'x')).get();
        BOOST_REQUIRE(bulk.status == 200U);
    }
    BOOST_TEST(GatewayCluster::eventually(
        [&] { return cluster.logCount("ledger.compacted") >= cluster.ledgerSettings.size(); }));
    for (const auto &disk : cluster.ledgerDisks) {
        BOOST_TEST(disk->largestSyncBytes.load() <= maxSyncBytes);
    }
}

// Guards against an entry that keeps dead seeds although its settings file names new ones; no signal is sent.
BOOST_AUTO_TEST_CASE(an_entry_without_a_leader_reads_its_settings_again)
{
    GatewayCluster cluster;
    cluster.putDocument(3);
    GatewaySettings settings = cluster.startEntry({local(freePort())});
    BOOST_TEST(cluster.readiness(0) == 503U);
    settings.seeds = cluster.seeds();
    cluster.entryThreads.front()->changeSettingsFile(settings);
    BOOST_TEST(GatewayCluster::eventually([&] { return cluster.readiness(0) == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()
