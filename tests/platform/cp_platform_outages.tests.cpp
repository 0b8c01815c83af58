#include "support/cp_platform_system.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

// Most ledger VMs are no members of the group.
constexpr std::size_t members = 3;
constexpr std::size_t ledgerVms = 24;

//! A system with more ledger VMs than members. One turn has been served, and every VM knows the leader.
class FleetSystem : public System
{
public:
    FleetSystem()
    {
        for (std::size_t i = members; i < ledgerVms; ++i) {
            addLedger();
        }
        putDocument(3);
        const Address entry = addEntry(seeds());
        BOOST_TEST(turn(entry, "o1", {}).status == 200U);
        for (std::size_t i = 0; i < ledgerVms; ++i) {
            BOOST_TEST(eventually([&] { return knowsLeader(i); }));
        }
    }
    void crashAll()
    {
        entries.clear();
        entrySettings.clear();
        killLedgers();
    }
    //! Checks that an entry with these seeds finds the leader and continues the history.
    void checkTurnIsServed(const std::vector<std::size_t> &seedIndexes)
    {
        std::vector<Address> seedAddresses;
        for (const std::size_t number : seedIndexes) {
            seedAddresses.push_back(ledgers[number].peer);
        }
        const Address entry = addEntry(seedAddresses);
        BOOST_TEST(turn(entry, "o2", "o1").status == 200U);
        BOOST_TEST(platform.bodyOf("o2") == "in-o1;a-o1\nb-o1\nin-o2;");
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_outages)

// Guards against seeds that lead to no member: one seed lost its disk, the others never were members. VMs outside of
// the group must persist its addresses.
BOOST_AUTO_TEST_CASE(after_a_power_loss_entries_find_the_leader_through_any_seeds)
{
    const std::vector<std::size_t> seeds {0, 10, 11};
    FleetSystem system;
    system.crashAll();
    system.changeLedgerSeeds(seeds);
    for (std::size_t i = 0; i < ledgerVms; ++i) {
        system.restartLedger(i, i != seeds.front());
    }
    system.checkTurnIsServed(seeds);
    for (std::size_t i = 0; i < ledgerVms; ++i) {
        BOOST_TEST(System::eventually([&] { return system.knowsLeader(i); }));
    }
}

// As above, with all VMs outside of the group uninitialized: only the leader knows their addresses.
BOOST_AUTO_TEST_CASE(the_leader_contacts_uninitialized_vms_that_know_no_member)
{
    const std::vector<std::size_t> seeds {10, 11, 12};
    FleetSystem system;
    system.crashAll();
    system.changeLedgerSeeds(seeds);
    for (std::size_t i = 0; i < ledgerVms; ++i) {
        system.restartLedger(i, i < members);
    }
    system.checkTurnIsServed(seeds);
    BOOST_TEST(system.logCount("ledger.called") > 0U);
}

// Guards against a leader taken from stored addresses, which may be stale; they only say which VMs to contact.
BOOST_AUTO_TEST_CASE(stored_member_addresses_are_contacted_but_name_no_leader)
{
    constexpr std::size_t outside = 10;
    FleetSystem system;
    const std::string name = '"' + system.ledgers[outside].vm + '"';
    BOOST_TEST(System::eventually([&] { return system.matchingLogCount("ledger.way_stored", name) > 0; }));
    system.crashAll();
    system.changeLedgerSeeds({11, 12});
    system.running.resize(ledgerVms);
    system.restartLedger(outside);
    BOOST_TEST(system.matchingLogCount("ledger.remembered", name) == 1U);
    system.startEntry({system.ledgers[outside].peer});
    const std::string member = system.ledgers[0].peer.toString();
    BOOST_TEST(System::eventually([&] { return system.matchingLogCount("ledger.searching", member) > 0; }));
    BOOST_TEST(!system.knowsLeader(outside));
    for (std::size_t i = 0; i < members; ++i) {
        system.restartLedger(i);
    }
    system.checkTurnIsServed({outside});
}

// Guards against a new leader that ignores which engines hold the histories: those would be read again elsewhere.
BOOST_AUTO_TEST_CASE(programs_stay_with_their_engines_over_a_change_of_leader)
{
    constexpr int programs = 12;
    System system;
    const std::size_t leader = system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    const auto turnOf = [&](int program, const std::string &id) {
        HttpHeaders headers = System::headers(id);
        headers["Program"] = "program-" + std::to_string(program);
        headers["Token-Usage"] = "100,50";
        headers["Token-Budget"] = "1000";
        return system.platform.call(entry, "POST", "/plans/1", headers, "in").status;
    };
    for (int i = 0; i < programs; ++i) {
        BOOST_TEST(turnOf(i, "before-" + std::to_string(i)) == 200U);
    }
    system.running[leader].reset();
    for (int i = 0; i < programs; ++i) {
        const std::string number = std::to_string(i);
        // The first attempts may be refused until a new leader is elected.
        BOOST_TEST(System::eventually([&] { return turnOf(i, "after-" + number) == 200; }));
        BOOST_TEST(system.platform.lastServerOf("after-" + number) == system.platform.lastServerOf("before-" + number));
    }
}

// Guards against a split brain: a VM outside of the group restarts with first_start still set and new seeds.
BOOST_AUTO_TEST_CASE(a_vm_with_stored_member_addresses_founds_no_second_group)
{
    constexpr std::size_t outside = 10;
    FleetSystem system;
    const std::string name = '"' + system.ledgers[outside].vm + '"';
    BOOST_TEST(System::eventually([&] { return system.matchingLogCount("ledger.way_stored", name) > 0; }));
    // This VM never joined the group: it has stored member addresses, but no log.
    system.crashAll();
    system.changeLedgerSeeds({outside, 11, 12});
    GatewaySettings settings = system.ledgers[outside];
    settings.isFirstStart = true;
    const GatewayThread restarted(settings);
    BOOST_TEST(restarted.isStarted());
    BOOST_TEST(system.matchingLogCount("ledger.founded", name) == 0U);
}

// Guards against long stalls of appends and votes, which wait for earlier writes to finish.
BOOST_AUTO_TEST_CASE(snapshots_are_written_in_parts_that_do_not_block_appends)
{
    constexpr int turns = 150;
    constexpr std::size_t turnBytes = 90'000;
    constexpr int budget = 100'000;
    constexpr std::size_t maxSyncBytes = 1U << 20U;
    System system;
    system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    for (int i = 0; i < turns; ++i) {
        const std::string id = "bulk-" + std::to_string(i);
        const auto bulk = system.beginTurn(entry, id, {}, budget, "/plans/1", std::string(turnBytes, 'x')).get();
        BOOST_REQUIRE(bulk.status == 200U);
    }
    BOOST_TEST(System::eventually([&] { return system.logCount("ledger.compacted") >= system.ledgers.size(); }));
    for (const auto &disk : system.disks) {
        BOOST_TEST(disk->largestSyncBytes.load() <= maxSyncBytes);
    }
}

// Guards against an entry that keeps dead seeds although its settings file names new ones; no signal is sent.
BOOST_AUTO_TEST_CASE(an_entry_without_a_leader_reads_its_settings_again)
{
    System system;
    system.putDocument(3);
    GatewaySettings settings = system.startEntry({local(freePort())});
    BOOST_TEST(system.readiness(0) == 503U);
    settings.seeds = system.seeds();
    system.entries.front()->changeSettingsFile(settings);
    BOOST_TEST(System::eventually([&] { return system.readiness(0) == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()
