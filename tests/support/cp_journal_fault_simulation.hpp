#ifndef CARDAMOMPOST_TESTS_CP_JOURNAL_FAULT_SIMULATION_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_JOURNAL_FAULT_SIMULATION_HPP_INCLUDED

#include "cp_journal_cluster.hpp"

namespace cardamompost::tests
{

//! Injects random faults into one partition's journal, then lets it recover and checks that a new owner recovers all
//! acknowledged entries. Throws Violation.
class JournalFaultSimulation
{
public:
    explicit JournalFaultSimulation(std::uint64_t seed)
        : cluster_(seed)
    {
        cluster_.addOwner();
    }

    JournalCluster &cluster()
    {
        return cluster_;
    }

    void run(int steps)
    {
        for (int step = 0; step < steps; ++step) {
            injectRandomFault();
            appendAndForget(step);
            cluster_.run(Milliseconds(30));
        }
        recoverAndVerify();
    }

    //! Keepers also lose their disks, one at a time.
    bool wipesDisks = false;

private:
    VmName randomKeeper()
    {
        return cluster_.names[cluster_.network.random() % cluster_.names.size()];
    }

    VmName newestOwnerName()
    {
        return "owner-" + std::to_string(cluster_.owners.rbegin()->first);
    }

    void injectRandomFault()
    {
        FakeNetwork &network = cluster_.network;
        if (network.chance(0.03)) {
            cluster_.addOwner();
        }
        if (network.chance(0.04)) {
            const VmName name = randomKeeper();
            cluster_.keepers.at(name).keeper ? cluster_.crash(name) : cluster_.start(name);
        } else if (network.chance(0.04)) {
            const VmName keeper = randomKeeper();
            network.chance(0.5) ? network.cuts.insert({keeper, newestOwnerName()})
                                : network.cuts.insert({newestOwnerName(), keeper});
        } else if (network.chance(0.08)) {
            network.cuts.clear();
        } else if (wipesDisks && network.chance(0.02)) {
            wipeDiskIfCaughtUp();
        }
        for (const VmName &name : cluster_.names) {
            if (!cluster_.keepers.at(name).keeper && network.chance(0.1)) {
                cluster_.start(name);
            }
        }
    }

    //! Wipes the disk of a keeper once the last wiped one has caught up: three replicas tolerate the loss of one disk
    //! at a time.
    void wipeDiskIfCaughtUp()
    {
        const JournalWriter &writer = *cluster_.owners.rbegin()->second->writer;
        const bool isOpen = writer.phase() == JournalPhase::Open;
        const bool isCaughtUp = lastWiped_.empty() || writer.matchIndexOf(lastWiped_) >= writer.commitIndex();
        const auto isInitialized
            = [](const auto &item) { return item.second.keeper != nullptr && !item.second.keeper->isUninitialized(0); };
        if (isOpen && isCaughtUp && std::all_of(cluster_.keepers.begin(), cluster_.keepers.end(), isInitialized)) {
            lastWiped_ = randomKeeper();
            cluster_.wipe(lastWiped_);
        }
    }

    void appendAndForget(int step)
    {
        for (auto &[epoch, owner] : cluster_.owners) {
            if (cluster_.network.chance(0.5)) {
                cluster_.append(*owner, fmt::format("{}:{}", epoch, step));
            }
        }
        JournalCluster::Owner &last = *cluster_.owners.rbegin()->second;
        if (last.writer->phase() == JournalPhase::Open && last.writer->commitIndex() > 5
            && cluster_.network.chance(0.2)) {
            cluster_.forget(last, 1 + cluster_.network.random() % (last.writer->commitIndex() - 3));
        }
    }

    void recoverAndVerify()
    {
        cluster_.network.cuts.clear();
        cluster_.network.lossShare = 0;
        for (const VmName &name : cluster_.names) {
            cluster_.start(name);
        }
        JournalCluster::Owner &last = cluster_.addOwner();
        if (!cluster_.waitUntilOpen(last, Milliseconds(30'000))) {
            throw Violation("the last owner cannot open the journal");
        }
    }

    JournalCluster cluster_;
    VmName lastWiped_;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_JOURNAL_FAULT_SIMULATION_HPP_INCLUDED
