#include "support/cp_journal_fault_simulation.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

constexpr std::uint64_t seedsInCi = 40;
constexpr int steps = 400;

bool isDetected(const InjectedJournalDefects &defects, bool ignoreSyncs, std::uint64_t seeds)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        JournalFaultSimulation simulation(seed);
        simulation.wipesDisks = defects.sealsAfterDiskLoss;
        simulation.cluster().defects = defects;
        for (auto &[name, vm] : simulation.cluster().keepers) {
            vm.files.ignoreSyncs = ignoreSyncs;
        }
        try {
            simulation.run(steps);
        } catch (const Violation &) {
            return true;
        }
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(journal)

BOOST_AUTO_TEST_CASE(a_new_owner_recovers_all_entries_of_the_previous_one)
{
    const ThrowingInvariants guard;
    JournalCluster cluster(1);
    JournalCluster::Owner &first = cluster.addOwner();
    BOOST_REQUIRE(cluster.waitUntilOpen(first));
    for (int i = 0; i < 50; ++i) {
        cluster.append(first, "record " + std::to_string(i));
    }
    cluster.run(Milliseconds(2000));
    BOOST_TEST(cluster.acknowledged.size() == 50U);
    JournalCluster::Owner &second = cluster.addOwner();
    BOOST_REQUIRE(cluster.waitUntilOpen(second));
    BOOST_TEST(second.recovered.size() == 51U);
}

// An owner that was paused past its lease resumes after a takeover and appends an intent. If that were committed, the
// old owner would send a call whose outcome the new owner has already reported as unknown.
BOOST_AUTO_TEST_CASE(a_deposed_owner_commits_no_entry)
{
    const ThrowingInvariants guard;
    JournalCluster cluster(2);
    JournalCluster::Owner &old = cluster.addOwner();
    BOOST_REQUIRE(cluster.waitUntilOpen(old));
    JournalCluster::Owner &next = cluster.addOwner();
    BOOST_REQUIRE(cluster.waitUntilOpen(next));
    const LogIndex before = old.writer->commitIndex();
    cluster.append(old, "intent");
    cluster.run(Milliseconds(2000));
    BOOST_TEST(old.writer->commitIndex() == before);
    BOOST_TEST((old.writer->phase() == JournalPhase::Deposed));
}

BOOST_AUTO_TEST_CASE(a_restarted_keeper_catches_up)
{
    const ThrowingInvariants guard;
    JournalCluster cluster(3);
    JournalCluster::Owner &owner = cluster.addOwner();
    BOOST_REQUIRE(cluster.waitUntilOpen(owner));
    cluster.crash("keeper-2");
    for (int i = 0; i < 100; ++i) {
        cluster.append(owner, "record " + std::to_string(i));
        cluster.run(Milliseconds(20));
    }
    BOOST_TEST(cluster.acknowledged.size() > 90U);
    cluster.start("keeper-2");
    cluster.run(Milliseconds(10'000));
    BOOST_TEST(owner.writer->matchIndexOf("keeper-2") == owner.writer->lastIndex());
}

// The replaced replica has to catch up although nothing is appended between the two losses.
BOOST_AUTO_TEST_CASE(a_second_disk_loss_after_catch_up_loses_no_entry)
{
    const ThrowingInvariants guard;
    JournalCluster cluster(4);
    JournalCluster::Owner &owner = cluster.addOwner();
    BOOST_REQUIRE(cluster.waitUntilOpen(owner));
    for (int i = 0; i < 60; ++i) {
        cluster.append(owner, "record " + std::to_string(i));
    }
    cluster.run(Milliseconds(3000));
    BOOST_TEST(cluster.acknowledged.size() == 60U);
    cluster.wipe("keeper-1");
    cluster.run(Milliseconds(5000));
    BOOST_TEST(owner.writer->upToDateKeeperCount() == 3U);
    cluster.wipe("keeper-2");
    JournalCluster::Owner &next = cluster.addOwner();
    BOOST_REQUIRE(cluster.waitUntilOpen(next));
    BOOST_TEST(next.recovered.size() >= 61U);
}

// Guards against an outdated clock: an idle writer is not ticked, and its keepers would seem to be in retry backoff.
BOOST_AUTO_TEST_CASE(requests_after_an_idle_period_are_sent_without_delay)
{
    const ThrowingInvariants guard;
    JournalWriterOptions options;
    options.epoch = 1;
    options.self = "owner";
    options.keepers = {"keeper-1"};
    JournalWriter writer(options);
    TimePoint now {std::chrono::hours(1)};
    const std::uint64_t first = writer.takeRequests(now).at(0).id;
    writer.onFailure(now, "keeper-1", first);
    BOOST_TEST(writer.takeRequests(now + Milliseconds(10)).empty());
    BOOST_TEST(writer.takeRequests(now + Milliseconds(60)).size() == 1U);
}

// Counted in the quorum of a seal, an empty replica would hide committed entries from the new owner.
BOOST_AUTO_TEST_CASE(a_keeper_that_lost_its_disk_does_not_count_in_a_seal)
{
    const ThrowingInvariants guard;
    JournalCluster cluster(5);
    JournalCluster::Owner &owner = cluster.addOwner();
    BOOST_REQUIRE(cluster.waitUntilOpen(owner));
    cluster.append(owner, "kept");
    cluster.run(Milliseconds(1000));
    cluster.crash("keeper-2");
    cluster.crash("keeper-3");
    cluster.wipe("keeper-1");
    JournalCluster::Owner &next = cluster.addOwner();
    BOOST_TEST(!cluster.waitUntilOpen(next, Milliseconds(3000)));
    cluster.start("keeper-2");
    BOOST_TEST(!cluster.waitUntilOpen(next, Milliseconds(3000)));
    cluster.start("keeper-3");
    BOOST_TEST(cluster.waitUntilOpen(next));
}

// Entries missing from an uninitialized replica would look forgotten, and keepers caught up from it would drop them.
BOOST_AUTO_TEST_CASE(an_uninitialized_replica_rejects_reads_until_it_has_caught_up)
{
    const ThrowingInvariants guard;
    JournalCluster cluster(7);
    JournalCluster::Owner &owner = cluster.addOwner();
    BOOST_REQUIRE(cluster.waitUntilOpen(owner));
    cluster.append(owner, "kept");
    cluster.run(Milliseconds(1000));
    cluster.wipe("keeper-1");
    JournalKeeper &keeper = *cluster.keepers.at("keeper-1").keeper;
    const JournalRead request {0, 1, 1, 2, 1000};
    BOOST_TEST(!keeper.read(request).value().accepted);
    cluster.run(Milliseconds(5000));
    const JournalReadReply reply = keeper.read(request).value();
    BOOST_TEST(reply.accepted);
    BOOST_TEST(reply.entries.size() == 2U);
}

BOOST_AUTO_TEST_CASE(the_space_of_forgotten_entries_is_reclaimed)
{
    const ThrowingInvariants guard;
    JournalCluster cluster(6);
    JournalCluster::Owner &owner = cluster.addOwner();
    BOOST_REQUIRE(cluster.waitUntilOpen(owner));
    for (int i = 0; i < 400; ++i) {
        cluster.append(owner, std::string(100, 'x'));
        cluster.run(Milliseconds(30));
        if (i > 10) {
            cluster.forget(owner, static_cast<LogIndex>(i) - 8);
        }
    }
    cluster.run(Milliseconds(2000));
    BOOST_TEST(cluster.keepers.at("keeper-1").store->totalBytes() < 20'000U);
}

// Takeovers, keeper crashes with torn writes, disk losses, lost, delayed and duplicated messages, one-way partitions:
// every later owner recovers each acknowledged entry at its index.
BOOST_AUTO_TEST_CASE(acknowledged_entries_survive_random_failures)
{
    const ThrowingInvariants guard;
    std::size_t acknowledged = 0;
    std::size_t takeovers = 0;
    for (std::uint64_t seed = 1; seed <= seedsInCi; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            JournalFaultSimulation simulation(seed);
            simulation.wipesDisks = seed % 2 == 0;
            BOOST_REQUIRE_NO_THROW(simulation.run(steps));
            acknowledged += simulation.cluster().acknowledged.size();
            takeovers += simulation.cluster().openCount;
        }
    }
    BOOST_TEST(acknowledged > 1000U);
    BOOST_TEST(takeovers > 100U);
}

BOOST_AUTO_TEST_CASE(the_simulation_detects_keepers_that_accept_sealed_epochs)
{
    const ThrowingInvariants guard;
    InjectedJournalDefects defects;
    defects.acceptsSealedEpochs = true;
    BOOST_TEST(isDetected(defects, false, seedsInCi));
}

BOOST_AUTO_TEST_CASE(the_simulation_detects_keepers_that_seal_after_disk_loss)
{
    const ThrowingInvariants guard;
    InjectedJournalDefects defects;
    defects.sealsAfterDiskLoss = true;
    BOOST_TEST(isDetected(defects, false, 5 * seedsInCi));
}

// Without its promise, a keeper that lost its disk would accept appends of a deposed owner, which could then reach a
// quorum together with a keeper that was not sealed.
BOOST_AUTO_TEST_CASE(promises_survive_the_loss_of_a_disk)
{
    const ThrowingInvariants guard;
    for (const bool forgetsPromisesAfterDiskLoss : {false, true}) {
        JournalCluster cluster(8);
        cluster.network.lossShare = 0;
        cluster.defects.forgetsPromisesAfterDiskLoss = forgetsPromisesAfterDiskLoss;
        JournalCluster::Owner &old = cluster.addOwner();
        BOOST_REQUIRE(cluster.waitUntilOpen(old));
        cluster.run(Milliseconds(500));
        cluster.network.cuts.insert({"owner-2", "keeper-3"});
        JournalCluster::Owner &next = cluster.addOwner();
        BOOST_REQUIRE(cluster.waitUntilOpen(next));
        cluster.network.cuts.insert({"owner-2", "keeper-1"});
        cluster.network.cuts.insert({"owner-1", "keeper-2"});
        cluster.wipe("keeper-1");
        const LogIndex before = old.writer->commitIndex();
        cluster.append(old, "intent");
        cluster.run(Milliseconds(2000));
        const bool isCommitted = old.writer->commitIndex() > before;
        BOOST_TEST(isCommitted == forgetsPromisesAfterDiskLoss);
    }
}

BOOST_AUTO_TEST_CASE(the_simulation_detects_keepers_that_do_not_sync)
{
    const ThrowingInvariants guard;
    BOOST_TEST(isDetected({}, true, seedsInCi));
}

BOOST_AUTO_TEST_SUITE_END()
