#include "support/cp_platform_system.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

// Three members among two dozen ledger VMs, as where the fleet has outgrown its group.
constexpr std::size_t members = 3;
constexpr std::size_t fleet = 24;

//! A system most of whose ledger VMs are no members, with one turn served; each VM has heard of the leader.
class FleetSystem : public System
{
public:
    FleetSystem()
    {
        for (std::size_t i = members; i < fleet; ++i) {
            addLedger();
        }
        putDocument(3);
        const Address entry = addEntry(seeds());
        BOOST_TEST(turn(entry, "o1", {}).status == 200U);
        for (std::size_t i = 0; i < fleet; ++i) {
            BOOST_TEST(eventually([&] { return knowsLeader(i); }));
        }
    }
    void losePower()
    {
        entries.clear();
        entrySettings.clear();
        killLedgers();
    }
    //! Whatever the settings of an entry name, it finds the group, and the plan review goes on.
    void checkServed(const std::vector<std::size_t> &seedNumbers)
    {
        std::vector<Address> named;
        for (const std::size_t number : seedNumbers) {
            named.push_back(ledgers[number].peer);
        }
        const Address entry = addEntry(named);
        BOOST_TEST(turn(entry, "o2", "o1").status == 200U);
        BOOST_TEST(stage.bodyOf("o2") == "in-o1;a-o1\nb-o1\nin-o2;");
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_outages)

// Everything loses power, and a member its disk. The seeds had been exchanged: the member that is blank now, and two
// VMs that never were members. A quorum is back within a second and leads, and every caller got 503 until the end of
// the day: whoever asked the seeds heard of nobody else. The VMs outside of the group have to remember the way to it.
BOOST_AUTO_TEST_CASE(after_a_loss_of_power_the_group_is_found_whomever_the_seeds_name)
{
    const std::vector<std::size_t> seeds {0, 10, 11};
    FleetSystem system;
    system.losePower();
    system.changeLedgerSeeds(seeds);
    for (std::size_t i = 0; i < fleet; ++i) {
        system.restartLedger(i, i != seeds.front());
    }
    system.checkServed(seeds);
    for (std::size_t i = 0; i < fleet; ++i) {
        BOOST_TEST(System::eventually([&] { return system.knowsLeader(i); }));
    }
}

// The same, and the VMs outside of the group are all new and blank: no loss that counts, since none held anything.
// Nobody remembers anything there, and only the leader knows who they are.
BOOST_AUTO_TEST_CASE(a_leader_calls_blank_vms_that_know_strangers_only)
{
    const std::vector<std::size_t> seeds {10, 11, 12};
    FleetSystem system;
    system.losePower();
    system.changeLedgerSeeds(seeds);
    for (std::size_t i = 0; i < fleet; ++i) {
        system.restartLedger(i, i < members);
    }
    system.checkServed(seeds);
    BOOST_TEST(system.logged("ledger.called") > 0U);
}

// A VM outside of the group comes back first, alone, and an entry that has just started knows nobody else. It hears
// whom that VM remembers, and of no leader: what the VM knows is of another hour.
BOOST_AUTO_TEST_CASE(what_a_vm_outside_of_the_group_remembers_is_asked_and_not_obeyed)
{
    constexpr std::size_t outside = 10;
    FleetSystem system;
    const std::string name = '"' + system.ledgers[outside].vm + '"';
    BOOST_TEST(System::eventually([&] { return system.loggedWith("ledger.way_stored", name) > 0; }));
    system.losePower();
    system.changeLedgerSeeds({11, 12});
    system.running.resize(fleet);
    system.restartLedger(outside);
    BOOST_TEST(system.loggedWith("ledger.remembered", name) == 1U);
    system.startEntry({system.ledgers[outside].peer});
    const std::string member = system.ledgers[0].peer.toString();
    BOOST_TEST(System::eventually([&] { return system.loggedWith("ledger.searching", member) > 0; }));
    BOOST_TEST(!system.knowsLeader(outside));
    for (std::size_t i = 0; i < members; ++i) {
        system.restartLedger(i);
    }
    system.checkServed({outside});
}

// The leader is lost between the turns of twelve programs. Each engine holds the histories of those that ran there; a
// leader that did not know would send half of them to the other one, which reads all of it anew.
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
        return system.stage.call(entry, "POST", "/plans/1", headers, "in").status;
    };
    for (int i = 0; i < programs; ++i) {
        BOOST_TEST(turnOf(i, "before-" + std::to_string(i)) == 200U);
    }
    system.running[leader].reset();
    for (int i = 0; i < programs; ++i) {
        const std::string number = std::to_string(i);
        // Asked again where the first try meets the moment without a leader.
        BOOST_TEST(System::eventually([&] { return turnOf(i, "after-" + number) == 200; }));
        BOOST_TEST(system.stage.lastServerOf("after-" + number) == system.stage.lastServerOf("before-" + number));
    }
}

// On the first day a VM that is no seed has heard of the group. It restarts with settings that still say "first start"
// and name it among other seeds. Were it to found a group of these, there would be two systems, and each would take
// documents.
BOOST_AUTO_TEST_CASE(a_vm_that_remembers_a_group_founds_no_other_one)
{
    constexpr std::size_t outside = 10;
    FleetSystem system;
    const std::string name = '"' + system.ledgers[outside].vm + '"';
    BOOST_TEST(System::eventually([&] { return system.loggedWith("ledger.way_stored", name) > 0; }));
    // As it was when the platform restarts a process that never joined: it remembers, and holds nothing of the log.
    system.losePower();
    system.changeLedgerSeeds({outside, 11, 12});
    GatewaySettings settings = system.ledgers[outside];
    settings.isFirstStart = true;
    const GatewayThread restarted(settings);
    BOOST_TEST(restarted.isStarted());
    BOOST_TEST(system.loggedWith("ledger.founded", name) == 0U);
}

// Every append and vote waits for what is written before it. A log of 8 MB is cut in one write, turns stand still for a
// third of a second, and entries have given the leader up before it is through.
BOOST_AUTO_TEST_CASE(no_write_of_a_snapshot_is_so_large_that_appends_wait_for_it)
{
    constexpr int turns = 150;
    constexpr std::size_t turnBytes = 90'000;
    constexpr int budget = 100'000;
    constexpr std::size_t most = 1U << 20U;
    System system;
    system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    for (int i = 0; i < turns; ++i) {
        const std::string id = "bulk-" + std::to_string(i);
        const auto bulk = system.beginTurn(entry, id, {}, budget, "/plans/1", std::string(turnBytes, 'x')).get();
        BOOST_REQUIRE(bulk.status == 200U);
    }
    BOOST_TEST(System::eventually([&] { return system.logged("ledger.compacted") >= system.ledgers.size(); }));
    for (const auto &disk : system.disks) {
        BOOST_TEST(disk->largestSyncBytes.load() <= most);
    }
}

// An entry starts while all seeds of its settings are off for good, and the platform writes other ones without a
// signal.
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
