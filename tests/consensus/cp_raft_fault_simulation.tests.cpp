#include "support/cp_raft_fault_simulation.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

constexpr std::uint64_t seedsInCi = 30;
constexpr int steps = 600;
constexpr Milliseconds longestWrite {300};

} // namespace

BOOST_AUTO_TEST_SUITE(raft_fault_simulation)

// Faults: lost, delayed and duplicate messages, one-way partitions, crashes with torn writes, pauses and clock drift.
// Acknowledged commands must be applied exactly once, in the same order on every member, and be visible to reads.
BOOST_AUTO_TEST_CASE(acknowledged_commands_survive_random_failures)
{
    const ThrowingInvariants guard;
    std::size_t acknowledged = 0;
    std::size_t reads = 0;
    for (std::uint64_t seed = 1; seed <= seedsInCi; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            FaultSimulationResult result;
            BOOST_REQUIRE_NO_THROW(result = RaftFaultSimulation(seed, seed % 2 == 0 ? 3 : 5).run(steps));
            acknowledged += result.acknowledged;
            reads += result.reads;
        }
    }
    BOOST_TEST(acknowledged > 1000U);
    BOOST_TEST(reads > 1000U);
}

// Members also lose their disks, one at a time, and restart with an empty one.
BOOST_AUTO_TEST_CASE(acknowledged_commands_survive_lost_disks)
{
    const ThrowingInvariants guard;
    std::size_t wipes = 0;
    std::size_t acknowledged = 0;
    for (std::uint64_t seed = 1; seed <= seedsInCi; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            RaftFaultSimulation simulation(seed, 3);
            simulation.wipesDisks = true;
            FaultSimulationResult result;
            BOOST_REQUIRE_NO_THROW(result = simulation.run(steps));
            wipes += result.wipes;
            acknowledged += result.acknowledged;
        }
    }
    BOOST_TEST(wipes > 20U);
    BOOST_TEST(acknowledged > 1000U);
}

// Guards against two leaders that hold a lease at the same time, also while answers are late, disks are slow, members
// pause and leaders hand over. All members are asked after each event.
BOOST_AUTO_TEST_CASE(at_most_one_member_holds_a_lease)
{
    const ThrowingInvariants guard;
    constexpr std::int64_t longDelayMs = 1500;
    std::size_t leases = 0;
    std::size_t transfers = 0;
    for (std::uint64_t seed = 1; seed <= 2 * seedsInCi; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            RaftFaultSimulation simulation(seed, seed % 2 == 0 ? 3 : 5);
            simulation.transfersLeadership = true;
            if (seed % 3 != 0) {
                simulation.cluster().setLongestWrite(longestWrite);
            }
            if (seed % 4 == 0) {
                simulation.cluster().network.maxDelayMs = longDelayMs;
            }
            FaultSimulationResult result;
            BOOST_REQUIRE_NO_THROW(result = simulation.run(steps));
            leases += simulation.cluster().leasesSeen;
            transfers += result.transfers;
        }
    }
    BOOST_TEST(leases > 1000U);
    BOOST_TEST(transfers > 100U);
}

// Messages are sent during writes that take up to a third of a second, and crashes interrupt such writes.
BOOST_AUTO_TEST_CASE(acknowledged_commands_survive_random_failures_with_slow_disks)
{
    const ThrowingInvariants guard;
    std::size_t acknowledged = 0;
    std::size_t reads = 0;
    for (std::uint64_t seed = 1; seed <= seedsInCi; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            RaftFaultSimulation simulation(seed, seed % 2 == 0 ? 3 : 5);
            simulation.cluster().setLongestWrite(longestWrite);
            simulation.wipesDisks = seed % 2 == 0;
            FaultSimulationResult result;
            BOOST_REQUIRE_NO_THROW(result = simulation.run(steps));
            acknowledged += result.acknowledged;
            reads += result.reads;
        }
    }
    BOOST_TEST(acknowledged > 1000U);
    BOOST_TEST(reads > 1000U);
}

// Verifies the checks of the simulation: acknowledged entries are lost if members answer before they have stored.
BOOST_AUTO_TEST_CASE(the_simulation_detects_answers_that_are_sent_before_the_write)
{
    const ThrowingInvariants guard;
    bool isDetected = false;
    for (std::uint64_t seed = 1; seed <= 20 * seedsInCi && !isDetected; ++seed) {
        RaftFaultSimulation simulation(seed, 3);
        simulation.cluster().setLongestWrite(longestWrite);
        simulation.cluster().answersBeforeWriting = true;
        try {
            simulation.run(steps);
        } catch (const Violation &) {
            isDetected = true;
        }
    }
    BOOST_TEST(isDetected);
}

// Verifies the checks of the simulation: committed commands are lost if a member votes after it has lost its disk.
BOOST_AUTO_TEST_CASE(the_simulation_detects_votes_of_members_without_their_disk)
{
    const ThrowingInvariants guard;
    bool isDetected = false;
    for (std::uint64_t seed = 1; seed <= 20 * seedsInCi && !isDetected; ++seed) {
        RaftFaultSimulation simulation(seed, 3);
        simulation.wipesDisks = true;
        simulation.votesAfterDiskLoss = true;
        try {
            simulation.run(steps);
        } catch (const Violation &) {
            isDetected = true;
        }
    }
    BOOST_TEST(isDetected);
}

// Verifies the checks of the simulation: a deposed leader confirms stale reads if a member that has voted for its
// successor and then lost its disk follows it again.
BOOST_AUTO_TEST_CASE(the_simulation_detects_members_without_their_disk_that_follow_a_deposed_leader)
{
    // Few seeds produce the required schedule, and which ones do depends on the exact sequence of messages.
    constexpr std::uint64_t firstSeed = 1;
    const ThrowingInvariants guard;
    bool isDetected = false;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + 100 * seedsInCi && !isDetected; ++seed) {
        RaftFaultSimulation simulation(seed, 3);
        simulation.wipesDisks = true;
        simulation.forgetsTermAfterDiskLoss = true;
        try {
            simulation.run(steps);
        } catch (const Violation &) {
            isDetected = true;
        }
    }
    BOOST_TEST(isDetected);
}

// Verifies the checks of the simulation: acknowledged entries are lost if a disk reports success without syncing.
BOOST_AUTO_TEST_CASE(the_simulation_detects_disks_that_do_not_sync)
{
    const ThrowingInvariants guard;
    bool isDetected = false;
    for (std::uint64_t seed = 1; seed <= seedsInCi && !isDetected; ++seed) {
        RaftFaultSimulation simulation(seed, 3);
        for (auto &[name, member] : simulation.cluster().members) {
            member->files.ignoreSyncs = true;
        }
        try {
            simulation.run(steps);
        } catch (const Violation &) {
            isDetected = true;
        }
    }
    BOOST_TEST(isDetected);
}

BOOST_AUTO_TEST_SUITE_END()
