#ifndef CARDAMOMPOST_TESTS_CP_RAFT_FAULT_SIMULATION_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_RAFT_FAULT_SIMULATION_HPP_INCLUDED

#include "cp_raft_cluster.hpp"

namespace cardamompost::tests
{

//! Counters of a simulation run.
struct FaultSimulationResult {
    std::size_t acknowledged = 0;
    std::size_t crashes = 0;
    std::size_t cuts = 0;
    std::size_t pauses = 0;
    std::size_t wipes = 0;
    std::size_t transfers = 0;
    std::size_t reads = 0;
    Milliseconds virtualTime {0};
};

//! Injects random faults into a consensus group, then lets it recover and checks that no acknowledged command is lost.
//! Throws Violation.
class RaftFaultSimulation
{
public:
    RaftFaultSimulation(std::uint64_t seed, std::size_t memberCount)
        : cluster_(names(memberCount), seed)
    {
    }

    //! Members also lose their disks.
    bool wipesDisks = false;
    //! Leaders also ask other members to take over.
    bool transfersLeadership = false;
    //! Injected defect: a member that has lost its disk votes as if it were new.
    bool votesAfterDiskLoss = false;
    //! Injected defect: a member that has lost its disk follows any leader, also a deposed one.
    bool forgetsTermAfterDiskLoss = false;

    RaftCluster &cluster()
    {
        return cluster_;
    }

    FaultSimulationResult run(int steps)
    {
        for (int step = 0; step < steps; ++step) {
            injectRandomFault();
            proposeCommand(step);
            checkAndRequestReads(step);
            cluster_.run(Milliseconds(50));
            collectAcknowledged();
        }
        recoverAndVerify();
        return result_;
    }

private:
    static std::vector<VmName> names(std::size_t count)
    {
        std::vector<VmName> names;
        for (std::size_t i = 1; i <= count; ++i) {
            names.push_back("vm-" + std::to_string(i));
        }
        return names;
    }

    RaftCluster::Member &randomMember()
    {
        auto place = cluster_.members.begin();
        std::advance(place, static_cast<std::ptrdiff_t>(cluster_.network.random() % cluster_.members.size()));
        return *place->second;
    }

    void injectRandomFault()
    {
        FakeNetwork &network = cluster_.network;
        RaftCluster::Member &member = randomMember();
        if (network.chance(0.02)) {
            member.node ? cluster_.crash(member.name) : cluster_.restart(member.name);
            ++result_.crashes;
        } else if (wipesDisks && network.chance(0.01)) {
            wipe(member);
        } else if (network.chance(0.03)) {
            network.cuts.insert({member.name, randomMember().name});
            ++result_.cuts;
        } else if (network.chance(0.05)) {
            network.cuts.clear();
        } else if (network.chance(0.02)) {
            member.pausedUntil = network.now + Milliseconds(network.random() % 2000);
            ++result_.pauses;
        }
        for (auto &[name, other] : cluster_.members) {
            if (!other->node && network.chance(0.05)) {
                cluster_.restart(name);
            }
        }
        if (transfersLeadership && network.chance(0.02)) {
            transferLeadership();
        }
    }

    void transferLeadership()
    {
        RaftCluster::Member *leader = cluster_.leader();
        if (leader != nullptr && network().now >= leader->pausedUntil) {
            leader->node->transferLeadership(randomMember().name);
            cluster_.drive(*leader);
            ++result_.transfers;
            if (network().chance(0.3)) {
                // The former leader hears nothing of its successor.
                for (const auto &[name, other] : cluster_.members) {
                    network().cuts.insert({name, leader->name});
                }
            }
        }
    }

    //! Highest term among randomly chosen other members, as many as it takes to intersect every quorum.
    Term highestTermOfOthers(const VmName &self)
    {
        std::vector<Term> terms;
        for (const auto &[name, member] : cluster_.members) {
            if (name != self) {
                terms.push_back(member->node->term());
            }
        }
        std::shuffle(terms.begin(), terms.end(), network().random);
        terms.resize(cluster_.members.size() - cluster_.initialMembership.quorum() + 1);
        return *std::max_element(terms.begin(), terms.end());
    }

    //! Restarts a member with an empty disk. Skipped while another one recovers, since a group of three tolerates the
    //! loss of one disk only.
    void wipe(RaftCluster::Member &member)
    {
        const auto isInitialized
            = [](const auto &item) { return item.second->node && !item.second->node->isUninitialized(); };
        if (!std::all_of(cluster_.members.begin(), cluster_.members.end(), isInitialized)) {
            return;
        }
        cluster_.crash(member.name);
        member.files = MemoryFiles();
        LogStore store = LogStore::open(member.files).value();
        LogBatch batch;
        batch.putHardState(controlGroup,
                           {forgetsTermAfterDiskLoss ? 0 : highestTermOfOthers(member.name),
                            std::string(votesAfterDiskLoss ? std::string_view {} : unknownVotedFor)});
        if (!store.write(batch)) {
            throw Violation("writing to the new disk failed");
        }
        cluster_.restart(member.name);
        ++result_.wipes;
    }

    void proposeCommand(int step)
    {
        RaftCluster::Member &member = randomMember();
        const std::string command = std::to_string(step);
        if (member.node && network().now >= member.pausedUntil && member.node->role() == RaftRole::Leader
            && cluster_.propose(member, command)) {
            proposed_[command] = member.name;
        }
    }

    //! A command is acknowledged once the member that accepted it has applied it.
    void collectAcknowledged()
    {
        for (auto item = proposed_.begin(); item != proposed_.end();) {
            const std::vector<std::string> &applied = cluster_.members.at(item->second)->applied;
            if (std::find(applied.begin(), applied.end(), item->first) == applied.end()) {
                ++item;
                continue;
            }
            acknowledged_.push_back(item->first);
            item = proposed_.erase(item);
        }
    }

    //! A read has to see every command that was acknowledged before it was requested.
    void checkAndRequestReads(int step)
    {
        for (auto &[name, member] : cluster_.members) {
            for (const auto &[id, index] : member->reads) {
                const auto expected = readExpectations_.find(id);
                if (expected != readExpectations_.end() && index < expected->second) {
                    throw Violation("a confirmed read missed an acknowledged command");
                }
                result_.reads += expected != readExpectations_.end() ? 1 : 0;
                readExpectations_.erase(id);
            }
            member->reads.clear();
            const auto id = static_cast<std::uint64_t>(step) * 100 + std::hash<std::string> {}(name) % 100;
            if (member->node && network().now >= member->pausedUntil && member->node->requestRead(id)) {
                readExpectations_[id] = lastAcknowledgedIndex();
                cluster_.drive(*member);
            }
        }
    }

    LogIndex lastAcknowledgedIndex()
    {
        LogIndex index = 0;
        for (const auto &[name, member] : cluster_.members) {
            index = std::max(index, member->appliedIndex);
        }
        return acknowledged_.empty() ? 0 : index;
    }

    //! A leader has applied all that is committed, and the other members have applied the same.
    bool hasRecovered()
    {
        const RaftCluster::Member *leader = cluster_.waitForLeader();
        return leader != nullptr && leader->appliedIndex == leader->node->commitIndex() && cluster_.hasConverged();
    }

    void recoverAndVerify()
    {
        FakeNetwork &net = network();
        net.cuts.clear();
        net.lossShare = 0;
        net.maxDelayMs = FakeNetwork::usualMaxDelayMs;
        for (auto &[name, member] : cluster_.members) {
            member->pausedUntil = {};
            cluster_.restart(name);
        }
        const TimePoint end = net.now + Milliseconds(60'000);
        do {
            cluster_.run(Milliseconds(500));
        } while (net.now < end && !hasRecovered());
        collectAcknowledged();
        if (!hasRecovered()) {
            throw Violation("the members do not converge to the same state");
        }
        const std::vector<std::string> &state = cluster_.leader()->applied;
        for (const std::string &command : acknowledged_) {
            if (std::count(state.begin(), state.end(), command) != 1) {
                throw Violation("acknowledged command " + command + " is not applied exactly once");
            }
        }
        result_.acknowledged = acknowledged_.size();
        result_.virtualTime = std::chrono::duration_cast<Milliseconds>(net.now - cluster_.startedAt);
    }

    FakeNetwork &network()
    {
        return cluster_.network;
    }

    RaftCluster cluster_;
    FaultSimulationResult result_;
    std::map<std::string, VmName> proposed_;
    std::vector<std::string> acknowledged_;
    std::map<std::uint64_t, LogIndex> readExpectations_;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_RAFT_FAULT_SIMULATION_HPP_INCLUDED
