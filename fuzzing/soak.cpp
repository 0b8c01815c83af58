#include "support/cp_journal_storm.hpp"
#include "support/cp_raft_fault_simulation.hpp"

#include <charconv>
#include <cstring>
#include <iostream>

// Runs the randomised failures of the tests with many more seeds: soak FROM TO. Prints a failing seed and ends with 1.

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

double hoursOf(cardamompost::Milliseconds time)
{
    return std::chrono::duration<double, std::ratio<3600>>(time).count();
}

void runRaft(std::uint64_t seed, Totals &totals)
{
    RaftFaultSimulation storm(seed, seed % 2 == 0 ? 3 : 5);
    storm.wipes = seed % 3 == 0;
    const FaultSimulationResult result = storm.run(raftSteps);
    totals.acknowledged += result.acknowledged;
    totals.wipes += result.wipes;
    totals.virtualHours += hoursOf(result.virtualTime);
}

void runJournal(std::uint64_t seed, Totals &totals)
{
    JournalStorm storm(seed);
    storm.wipes = seed % 2 == 0;
    const cardamompost::TimePoint start = storm.cluster().network.now;
    storm.run(journalSteps);
    totals.acknowledged += storm.cluster().acknowledged.size();
    totals.takeovers += storm.cluster().opened;
    totals.virtualHours
        += hoursOf(std::chrono::duration_cast<cardamompost::Milliseconds>(storm.cluster().network.now - start));
}

std::uint64_t parse(const char *text)
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
    const std::uint64_t last = parse(argv[2]);
    for (std::uint64_t seed = parse(argv[1]); seed <= last; ++seed) {
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
