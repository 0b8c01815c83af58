#ifndef CARDAMOMPOST_TESTS_CP_RAFT_CLUSTER_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_RAFT_CLUSTER_HPP_INCLUDED

#include "cp_fake_network.hpp"
#include "cp_memory_files.hpp"

#include <cardamompost/consensus/cp_raft_node.hpp>
#include <cardamompost/core/cp_invariant.hpp>
#include <cardamompost/storage/cp_log_store.hpp>

#include <fmt/format.h>

#include <memory>
#include <stdexcept>

namespace cardamompost::tests
{

//! Thrown for a violated invariant of the program or of a checker.
struct Violation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline void throwViolation(std::string_view text)
{
    throw Violation(std::string(text));
}

//! Makes violated invariants throw during its lifetime.
class ThrowingInvariants
{
public:
    ThrowingInvariants()
    {
        setInvariantHandler(&throwViolation);
    }
    ~ThrowingInvariants()
    {
        setInvariantHandler(nullptr);
    }
    ThrowingInvariants(const ThrowingInvariants &) = delete;
    ThrowingInvariants &operator=(const ThrowingInvariants &) = delete;
};

//! Simulates a consensus group in virtual time, each member with its own clock rate and disk, and checks that all
//! members apply the same commands.
class RaftCluster
{
public:
    struct Member {
        VmName name;
        MemoryFiles files;
        std::unique_ptr<LogStore> store;
        std::unique_ptr<RaftNode> node;
        double clockRate = 1.0;
        TimePoint pausedUntil {};
        //! Writes take between shortestWriteShare and all of this, in virtual time.
        Milliseconds longestWrite {0};
        bool isWriting = false;
        //! Incremented by each start.
        std::uint64_t process = 0;
        std::vector<std::string> applied;
        LogIndex appliedIndex = 0;
        std::map<std::uint64_t, LogIndex> reads;
    };

    RaftCluster(std::vector<VmName> names, std::uint64_t seed)
        : network(seed)
        , startedAt(network.now)
    {
        for (const VmName &name : names) {
            initialMembership.voters.insert(name);
        }
        for (const VmName &name : names) {
            addMember(name);
        }
    }

    Member &addMember(const VmName &name)
    {
        auto &member = members[name];
        member = std::make_unique<Member>();
        member->name = name;
        member->clockRate = 0.9 + 0.2 * std::uniform_real_distribution<>(0.0, 1.0)(network.random);
        start(*member);
        scheduleTick(name);
        return *member;
    }

    TimePoint localTime(const Member &member) const
    {
        const auto passed = std::chrono::duration_cast<std::chrono::microseconds>(network.now - startedAt);
        return startedAt
            + std::chrono::microseconds(
                   static_cast<std::int64_t>(static_cast<double>(passed.count()) * member.clockRate));
    }

    void start(Member &member)
    {
        Result<LogStore> opened = LogStore::open(member.files, {4096, 0.5});
        if (!opened) {
            throw Violation("cannot open the store: " + opened.error().message);
        }
        member.store = std::make_unique<LogStore>(std::move(opened.value()));
        RaftStoredState stored = member.store->loadRaft(controlGroup).value();
        member.appliedIndex = stored.snapshot.index;
        member.applied = decodeState(stored.snapshot.state);
        RaftOptions options;
        options.self = member.name;
        options.seed = network.random();
        options.snapshotChunkBytes = 64;
        member.isWriting = false;
        ++member.process;
        member.node = std::make_unique<RaftNode>(options, std::move(stored), initialMembership, localTime(member));
    }

    void crash(const VmName &name)
    {
        Member &member = *members.at(name);
        member.node.reset();
        member.store.reset();
        member.files.crash(network.random);
    }

    void restart(const VmName &name)
    {
        if (!members.at(name)->node) {
            start(*members.at(name));
        }
    }

    void setLongestWrite(Milliseconds time)
    {
        for (auto &[name, member] : members) {
            member->longestWrite = time;
        }
    }

    void run(Milliseconds time)
    {
        network.runUntil(network.now + time);
    }

    //! The leader with the highest term; null if there is none.
    Member *leader()
    {
        Member *found = nullptr;
        for (auto &[name, member] : members) {
            const bool isLeader = member->node && member->node->role() == RaftRole::Leader;
            if (isLeader && (found == nullptr || member->node->term() > found->node->term())) {
                found = member.get();
            }
        }
        return found;
    }

    Member *waitForLeader(Milliseconds limit = Milliseconds(10'000))
    {
        const TimePoint end = network.now + limit;
        while (network.now < end) {
            Member *found = leader();
            if (found != nullptr && found->node->isEstablishedLeader()) {
                return found;
            }
            run(Milliseconds(20));
        }
        return nullptr;
    }

    bool propose(Member &member, const std::string &command)
    {
        const bool isAccepted = member.node && member.node->propose(command).has_value();
        if (isAccepted) {
            drive(member);
        }
        return isAccepted;
    }

    //! Does the pending work of a member: stores, sends, applies and compacts.
    void drive(Member &member)
    {
        while (member.node && !member.isWriting && member.node->hasReady()) {
            RaftReady ready = member.node->takeReady();
            if (!ready.snapshot) {
                applyCommitted(member, ready);
                ready.committed.clear();
                ready.reads.clear();
            }
            const bool needsDisk = ready.hard || ready.snapshot || !ready.entries.empty();
            if (!needsDisk || member.longestWrite.count() == 0) {
                complete(member, ready);
            } else {
                startWrite(member, std::move(ready));
            }
        }
    }

    //! True when all running members have applied the same commands.
    bool hasConverged() const
    {
        const std::vector<std::string> *first = nullptr;
        for (const auto &[name, member] : members) {
            if (!member->node) {
                continue;
            }
            first = first == nullptr ? &member->applied : first;
            if (member->applied != *first) {
                return false;
            }
        }
        return true;
    }

    FakeNetwork network;
    TimePoint startedAt;
    Membership initialMembership;
    std::map<VmName, std::unique_ptr<Member>> members;
    //! The longest sequence of commands that any member has applied.
    std::vector<std::string> longestApplied;
    //! Injected defect: members answer before they have stored.
    bool answersBeforeWriting = false;
    double shortestWriteShare = 0.5;
    //! Number of applied entries after which a member replaces its log with a snapshot.
    LogIndex compactAfter = 40;
    std::map<Term, VmName> leaderByTerm;
    //! How often a member held a lease when all of them were asked.
    std::size_t leasesSeen = 0;

private:
    void sendAll(std::vector<RaftMessage> messages)
    {
        for (RaftMessage &message : messages) {
            sendMessage(std::move(message));
        }
    }

    void startWrite(Member &member, RaftReady ready)
    {
        member.isWriting = true;
        if (answersBeforeWriting || (!ready.hard && member.node->role() == RaftRole::Leader)) {
            sendAll(std::exchange(ready.messages, {}));
        }
        const auto longest = member.longestWrite.count();
        const auto shortest = static_cast<std::int64_t>(static_cast<double>(longest) * shortestWriteShare);
        std::uniform_int_distribution<std::int64_t> spread(shortest, longest);
        const Milliseconds duration(spread(network.random));
        const auto pending = std::make_shared<RaftReady>(std::move(ready));
        network.at(network.now + duration, [this, &member, pending, process = member.process] {
            // The unfinished write of a process that has ended is lost.
            if (member.node && member.process == process) {
                member.isWriting = false;
                complete(member, *pending);
                drive(member);
            }
        });
    }

    void complete(Member &member, RaftReady &ready)
    {
        if (!storeReady(member, ready)) {
            member.node.reset();
            return;
        }
        sendAll(std::move(ready.messages));
        applyCommitted(member, ready);
        if (member.node->log().lastIndex() > compactAfter
            && member.appliedIndex >= member.node->log().snapshot().index + compactAfter) {
            compact(member);
        }
    }

    void applyCommitted(Member &member, const RaftReady &ready)
    {
        for (const LogEntry &entry : ready.committed) {
            apply(member, entry);
        }
        for (const RaftReadyRead &read : ready.reads) {
            member.reads[read.id] = read.index;
        }
    }

    bool storeReady(Member &member, const RaftReady &ready)
    {
        LogBatch batch;
        if (ready.hard) {
            batch.putHardState(controlGroup, *ready.hard);
        }
        if (ready.snapshot) {
            batch.putSnapshot(controlGroup, *ready.snapshot);
        }
        for (const LogEntry &entry : ready.entries) {
            batch.putEntry(controlGroup, entry);
        }
        if (!member.store->write(batch)) {
            return false;
        }
        if (ready.snapshot) {
            member.appliedIndex = ready.snapshot->index;
            member.applied = decodeState(ready.snapshot->state);
            checkApplied(member);
        }
        member.node->persisted(ready);
        return true;
    }

    void sendMessage(RaftMessage message)
    {
        const VmName from = message.from;
        const VmName to = message.to;
        network.send(from, to, [this, to, message = std::move(message)] {
            const auto found = members.find(to);
            if (found == members.end() || !found->second->node || network.now < found->second->pausedUntil) {
                return;
            }
            Member &member = *found->second;
            member.node->step(localTime(member), message);
            drive(member);
            deliverWhileWriting(member);
            checkLeader(member);
            checkLeases();
        });
    }

    void scheduleTick(const VmName &name)
    {
        network.at(network.now + Milliseconds(20), [this, name] {
            Member &member = *members.at(name);
            if (member.node && network.now >= member.pausedUntil) {
                member.node->tick(localTime(member));
                drive(member);
                if (member.node && member.isWriting) {
                    sendAll(member.node->takeUnblockedMessages());
                }
                deliverWhileWriting(member);
                checkLeader(member);
                checkLeases();
            }
            scheduleTick(name);
        });
    }

    void deliverWhileWriting(Member &member)
    {
        if (member.node && member.isWriting) {
            applyCommitted(member, member.node->takeCommitted());
        }
    }

    void checkLeader(const Member &member)
    {
        if (!member.node || member.node->role() != RaftRole::Leader) {
            return;
        }
        const auto [place, isNew] = leaderByTerm.emplace(member.node->term(), member.name);
        if (!isNew && place->second != member.name) {
            throw Violation(
                fmt::format("{} and {} are both leaders in term {}", place->second, member.name, member.node->term()));
        }
    }

    //! Also asks paused members, which continue with what they believe.
    void checkLeases()
    {
        const Member *holder = nullptr;
        for (const auto &[name, member] : members) {
            if (!member->node || !member->node->hasLease(localTime(*member))) {
                continue;
            }
            ++leasesSeen;
            if (holder != nullptr) {
                throw Violation(fmt::format("{} in term {} and {} in term {} both hold a lease", holder->name,
                                            holder->node->term(), name, member->node->term()));
            }
            holder = member.get();
        }
    }

    void apply(Member &member, const LogEntry &entry)
    {
        if (entry.index != member.appliedIndex + 1) {
            throw Violation("an entry is applied out of order");
        }
        member.appliedIndex = entry.index;
        if (entry.kind == EntryKind::Command) {
            member.applied.push_back(entry.payload);
            checkApplied(member);
        }
    }

    void checkApplied(const Member &member)
    {
        for (std::size_t i = longestApplied.size(); i < member.applied.size(); ++i) {
            longestApplied.push_back(member.applied[i]);
        }
        if (!std::equal(member.applied.begin(), member.applied.end(), longestApplied.begin())) {
            throw Violation(member.name + " applied other commands than the other members");
        }
    }

    void compact(Member &member)
    {
        std::string state;
        for (const std::string &command : member.applied) {
            state += command + "\n";
        }
        member.node->compact(member.appliedIndex, state);
        LogBatch batch;
        batch.putSnapshot(controlGroup, member.node->log().snapshot());
        if (!member.store->write(batch) || !member.store->clean()) {
            member.node.reset();
        }
    }

    static std::vector<std::string> decodeState(const std::string &state)
    {
        std::vector<std::string> commands;
        std::size_t start = 0;
        for (auto end = state.find('\n'); end != std::string::npos; end = state.find('\n', start)) {
            commands.push_back(state.substr(start, end - start));
            start = end + 1;
        }
        return commands;
    }
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_RAFT_CLUSTER_HPP_INCLUDED
