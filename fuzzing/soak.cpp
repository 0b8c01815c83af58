#include "support/cp_journal_fault_simulation.hpp"
#include "support/cp_raft_fault_simulation.hpp"

#include <charconv>
#include <cstring>
#include <iostream>

// Runs the randomized fault simulations of the tests for a range of seeds. On the first violation, prints its seed and
// exits with status 1.

namespace
{

using namespace cardamompost::tests;

constexpr int raftSteps = 1500;
constexpr int journalSteps = 1000;

struct Totals {
    std::size_t runs = 0;
    std::size_t acknowledged = 0;
    std::size_t takeovers = 0;
    std::size_t wipes = 0;
    double virtualHours = 0;
};

double toHours(cardamompost::Milliseconds time)
{
    return std::chrono::duration<double, std::ratio<3600>>(time).count();
}

void runRaft(std::uint64_t seed, Totals &totals)
{
    RaftFaultSimulation simulation(seed, seed % 2 == 0 ? 3 : 5);
    simulation.wipesDisks = seed % 3 == 0;
    // Some disks take longer than an election timeout.
    simulation.cluster().setLongestWrite(cardamompost::Milliseconds(seed % 5 * 150));
    const FaultSimulationResult result = simulation.run(raftSteps);
    totals.acknowledged += result.acknowledged;
    totals.wipes += result.wipes;
    totals.virtualHours += toHours(result.virtualTime);
}

void runJournal(std::uint64_t seed, Totals &totals)
{
    JournalFaultSimulation simulation(seed);
    simulation.wipesDisks = seed % 2 == 0;
    const cardamompost::TimePoint start = simulation.cluster().network.now;
    simulation.run(journalSteps);
    totals.acknowledged += simulation.cluster().acknowledged.size();
    totals.takeovers += simulation.cluster().openCount;
    totals.virtualHours
        += toHours(std::chrono::duration_cast<cardamompost::Milliseconds>(simulation.cluster().network.now - start));
}

std::uint64_t parseSeed(const char *text)
{
    std::uint64_t value = 0;
    std::from_chars(text, text + std::strlen(text), value);
    return value;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: soak FROM TO\n";
        return 2;
    }
    const ThrowingInvariants guard;
    Totals totals;
    const std::uint64_t last = parseSeed(argv[2]);
    for (std::uint64_t seed = parseSeed(argv[1]); seed <= last; ++seed) {
        for (const auto &[name, run] : {std::pair("control log", &runRaft), std::pair("journal", &runJournal)}) {
            try {
                run(seed, totals);
                ++totals.runs;
            } catch (const Violation &violation) {
                std::cout << name << ", seed " << seed << ": " << violation.what() << "\n";
                return 1;
            }
        }
    }
    std::cout << "runs " << totals.runs << ", virtual hours " << totals.virtualHours << ", acknowledged "
              << totals.acknowledged << ", takeovers " << totals.takeovers << ", lost disks of the control log "
              << totals.wipes << ", violations 0\n";
    return 0;
}
