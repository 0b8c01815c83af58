#include "support/cp_raft_cluster.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

const std::vector<VmName> threeVms {"vm-1", "vm-2", "vm-3"};

void isolate(RaftCluster &cluster, const VmName &name)
{
    for (const auto &[other, member] : cluster.members) {
        cluster.network.cuts.insert({name, other});
        cluster.network.cuts.insert({other, name});
    }
}

bool isIn(const std::vector<std::string> &list, const std::string &item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

//! Delivers a member's answer that its log matches up to an index.
void acknowledge(RaftNode &node, TimePoint now, const VmName &member, LogIndex index)
{
    RaftMessage reply;
    reply.type = RaftMessageType::AppendReply;
    reply.from = member;
    reply.to = "vm-1";
    reply.term = node.term();
    reply.granted = true;
    reply.index = index;
    node.step(now, reply);
}

//! Answers all requests to vm-2 positively and drops all messages to vm-3.
void exchangeWithVm2(RaftNode &node, TimePoint now)
{
    while (node.hasReady()) {
        const RaftReady ready = node.takeReady();
        node.persisted(ready);
        for (const RaftMessage &message : ready.messages) {
            if (message.to != "vm-2") {
                continue;
            }
            RaftMessage reply;
            reply.from = message.to;
            reply.to = message.from;
            reply.term = message.term;
            reply.granted = true;
            reply.index = message.index + message.entries.size();
            switch (message.type) {
            case RaftMessageType::PreVote:
                reply.type = RaftMessageType::PreVoteReply;
                break;
            case RaftMessageType::Vote:
                reply.type = RaftMessageType::VoteReply;
                break;
            default:
                reply.type = RaftMessageType::AppendReply;
                break;
            }
            node.step(now, reply);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(raft_node)

BOOST_AUTO_TEST_CASE(a_command_is_applied_by_every_member_in_the_same_order)
{
    const ThrowingInvariants guard;
    RaftCluster cluster(threeVms, 1);
    RaftCluster::Member *leader = cluster.waitForLeader();
    BOOST_REQUIRE(leader != nullptr);
    BOOST_TEST(cluster.propose(*leader, "a"));
    BOOST_TEST(cluster.propose(*leader, "b"));
    cluster.run(Milliseconds(1000));
    for (const auto &[name, member] : cluster.members) {
        BOOST_TEST(member->applied == (std::vector<std::string> {"a", "b"}), boost::test_tools::per_element());
    }
}

// Guards against a partitioned leader that keeps its role, or later commits an entry that was never acknowledged.
BOOST_AUTO_TEST_CASE(a_partitioned_leader_steps_down_and_its_uncommitted_entry_is_dropped)
{
    const ThrowingInvariants guard;
    RaftCluster cluster(threeVms, 2);
    RaftCluster::Member *deposed = cluster.waitForLeader();
    BOOST_REQUIRE(deposed != nullptr);
    isolate(cluster, deposed->name);
    BOOST_TEST(cluster.propose(*deposed, "lost"));
    cluster.run(Milliseconds(3000));
    BOOST_TEST((deposed->node->role() != RaftRole::Leader));
    RaftCluster::Member *next = cluster.waitForLeader();
    BOOST_REQUIRE(next != nullptr);
    BOOST_TEST(next->name != deposed->name);
    BOOST_TEST(cluster.propose(*next, "kept"));
    cluster.network.cuts.clear();
    cluster.run(Milliseconds(3000));
    BOOST_TEST(deposed->applied == (std::vector<std::string> {"kept"}), boost::test_tools::per_element());
}

// Guards against an outage whenever a member returns from a partition: without pre-vote, it would have a higher term.
BOOST_AUTO_TEST_CASE(a_member_that_returns_from_a_partition_does_not_depose_the_leader)
{
    const ThrowingInvariants guard;
    RaftCluster cluster(threeVms, 3);
    RaftCluster::Member *leader = cluster.waitForLeader();
    BOOST_REQUIRE(leader != nullptr);
    const Term term = leader->node->term();
    const VmName isolated = leader->name == "vm-1" ? "vm-2" : "vm-1";
    isolate(cluster, isolated);
    cluster.run(Milliseconds(30'000));
    cluster.network.cuts.clear();
    cluster.run(Milliseconds(3000));
    BOOST_TEST((leader->node->role() == RaftRole::Leader));
    BOOST_TEST(leader->node->term() == term);
}

// Guards against stale reads from a leader that has been replaced without noticing it.
BOOST_AUTO_TEST_CASE(a_deposed_leader_confirms_no_read)
{
    const ThrowingInvariants guard;
    RaftCluster cluster(threeVms, 4);
    RaftCluster::Member *deposed = cluster.waitForLeader();
    BOOST_REQUIRE(deposed != nullptr);
    BOOST_TEST(deposed->node->requestRead(7).has_value());
    cluster.drive(*deposed);
    cluster.run(Milliseconds(300));
    BOOST_TEST(deposed->reads.contains(7));
    isolate(cluster, deposed->name);
    const bool isAccepted = deposed->node->requestRead(8).has_value();
    cluster.drive(*deposed);
    cluster.run(Milliseconds(3000));
    BOOST_TEST(isAccepted);
    BOOST_TEST(!deposed->reads.contains(8));
}

// Guards against losing a committed entry when a VM fails right after another one was replaced.
BOOST_AUTO_TEST_CASE(a_learner_becomes_a_voter_only_when_it_has_caught_up)
{
    const ThrowingInvariants guard;
    RaftCluster cluster(threeVms, 5);
    RaftCluster::Member *leader = cluster.waitForLeader();
    BOOST_REQUIRE(leader != nullptr);
    for (int i = 0; i < 100; ++i) {
        cluster.propose(*leader, "c" + std::to_string(i));
        cluster.run(Milliseconds(20));
    }
    cluster.addMember("vm-4");
    isolate(cluster, "vm-4");
    Membership next = leader->node->membership();
    next.learners.insert("vm-4");
    BOOST_REQUIRE(leader->node->proposeMembership(next).has_value());
    cluster.drive(*leader);
    cluster.run(Milliseconds(1000));
    next.learners.clear();
    next.voters.insert("vm-4");
    const Result<LogIndex> early = leader->node->proposeMembership(next);
    BOOST_REQUIRE(early.has_error());
    BOOST_TEST((early.error().kind == ErrorKind::NotReady));
    cluster.network.cuts.clear();
    cluster.run(Milliseconds(5000));
    BOOST_TEST(leader->node->proposeMembership(next).has_value());
    cluster.drive(*leader);
    cluster.run(Milliseconds(2000));
    BOOST_TEST(cluster.members.at("vm-4")->applied.size() == 100U);
    BOOST_TEST(leader->node->membership().voters.size() == 4U);
}

BOOST_AUTO_TEST_CASE(a_membership_change_of_more_than_one_voter_is_rejected)
{
    const ThrowingInvariants guard;
    RaftCluster cluster(threeVms, 6);
    RaftCluster::Member *leader = cluster.waitForLeader();
    BOOST_REQUIRE(leader != nullptr);
    Membership next = leader->node->membership();
    next.voters = {"vm-1"};
    const Result<LogIndex> refused = leader->node->proposeMembership(next);
    BOOST_REQUIRE(refused.has_error());
    BOOST_TEST((refused.error().kind == ErrorKind::InvalidRequest));
}

// The snapshot transfer has to tolerate lost and duplicate chunks.
BOOST_AUTO_TEST_CASE(a_member_that_is_hundreds_of_entries_behind_gets_a_snapshot_in_chunks)
{
    const ThrowingInvariants guard;
    RaftCluster cluster(threeVms, 7);
    RaftCluster::Member *leader = cluster.waitForLeader();
    BOOST_REQUIRE(leader != nullptr);
    const VmName crashed = leader->name == "vm-1" ? "vm-2" : "vm-1";
    cluster.crash(crashed);
    for (int i = 0; i < 300; ++i) {
        cluster.propose(*leader, "change-" + std::to_string(i));
        cluster.run(Milliseconds(25));
    }
    BOOST_TEST(leader->node->log().snapshot().index > 0U);
    cluster.network.lossShare = 0.1;
    cluster.network.duplicateShare = 0.1;
    cluster.restart(crashed);
    cluster.run(Milliseconds(30'000));
    BOOST_TEST(cluster.members.at(crashed)->applied.size() == 300U);
}

BOOST_AUTO_TEST_CASE(leadership_moves_to_a_member_that_is_asked_to_take_over)
{
    const ThrowingInvariants guard;
    RaftCluster cluster(threeVms, 8);
    cluster.network.lossShare = 0;
    RaftCluster::Member *leader = cluster.waitForLeader();
    BOOST_REQUIRE(leader != nullptr);
    cluster.run(Milliseconds(500));
    const VmName target = leader->name == "vm-3" ? "vm-2" : "vm-3";
    leader->node->transferLeadership(target);
    cluster.drive(*leader);
    cluster.run(Milliseconds(500));
    RaftCluster::Member *next = cluster.waitForLeader();
    BOOST_REQUIRE(next != nullptr);
    BOOST_TEST(next->name == target);
}

BOOST_AUTO_TEST_CASE(a_member_whose_disk_is_full_stops_and_the_others_continue)
{
    const ThrowingInvariants guard;
    RaftCluster cluster(threeVms, 9);
    RaftCluster::Member *leader = cluster.waitForLeader();
    BOOST_REQUIRE(leader != nullptr);
    leader->files.writesUntilFull = 0;
    cluster.propose(*leader, "never");
    BOOST_TEST(!leader->node);
    RaftCluster::Member *next = cluster.waitForLeader();
    BOOST_REQUIRE(next != nullptr);
    BOOST_TEST(cluster.propose(*next, "after"));
    cluster.run(Milliseconds(1000));
    BOOST_TEST(isIn(next->applied, "after"));
    BOOST_TEST(!isIn(next->applied, "never"));
}

// Guards against leaders that step down, and followers that start elections, because messages wait for slow disks.
BOOST_AUTO_TEST_CASE(a_leader_stays_while_writes_take_longer_than_the_election_timeout)
{
    const ThrowingInvariants guard;
    constexpr std::uint64_t seeds = 20;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            RaftCluster cluster(threeVms, seed);
            RaftCluster::Member *leader = cluster.waitForLeader();
            BOOST_REQUIRE(leader != nullptr);
            const Term term = leader->node->term();
            const Milliseconds longestWrite = 3 * RaftOptions {}.electionTimeout / 2;
            cluster.setLongestWrite(longestWrite);
            constexpr int commands = 100;
            for (int i = 0; i < commands; ++i) {
                BOOST_REQUIRE(cluster.propose(*leader, std::to_string(i)));
                cluster.run(Milliseconds(70));
            }
            cluster.run(5 * longestWrite);
            for (const auto &[name, member] : cluster.members) {
                BOOST_TEST(member->node->term() == term);
                BOOST_TEST(member->applied.size() == static_cast<std::size_t>(commands));
            }
        }
    }
}

// Guards against a leader that loses its quorum, or hands over, although no other quorum has faster disks.
BOOST_AUTO_TEST_CASE(a_leader_stays_while_writes_of_others_take_seconds)
{
    const ThrowingInvariants guard;
    constexpr std::uint64_t seeds = 10;
    const std::vector<std::vector<std::size_t>> slowMembers {{0, 1, 2}, {1}, {1, 2}, {0, 1}};
    for (const Milliseconds longestWrite : {Milliseconds(700), Milliseconds(1200), Milliseconds(2000)}) {
        for (const std::vector<std::size_t> &slow : slowMembers) {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                BOOST_TEST_CONTEXT(longestWrite.count() << " ms at " << slow.size() << " members from number "
                                                        << slow.front() << " on, seed " << seed)
                {
                    RaftCluster cluster(threeVms, seed);
                    RaftCluster::Member *leader = cluster.waitForLeader();
                    BOOST_REQUIRE(leader != nullptr);
                    cluster.run(Milliseconds(500));
                    const Term term = leader->node->term();
                    // The leader is number 0.
                    std::vector<RaftCluster::Member *> members {leader};
                    for (const auto &[name, member] : cluster.members) {
                        if (member.get() != leader) {
                            members.push_back(member.get());
                        }
                    }
                    for (const std::size_t number : slow) {
                        members[number]->longestWrite = longestWrite;
                    }
                    constexpr std::size_t commands = 40;
                    for (std::size_t i = 0; i < commands; ++i) {
                        BOOST_REQUIRE(cluster.propose(*leader, std::to_string(i)));
                        cluster.run(Milliseconds(150));
                    }
                    cluster.run(4 * longestWrite);
                    for (const auto &[name, member] : cluster.members) {
                        BOOST_TEST(member->node->term() == term);
                        BOOST_TEST(member->applied.size() == commands);
                    }
                }
            }
        }
    }
}

// Guards against commands that wait for a write of later ones although a quorum has stored them.
BOOST_AUTO_TEST_CASE(a_command_waits_for_the_write_in_progress_and_its_own)
{
    const ThrowingInvariants guard;
    RaftCluster cluster(threeVms, 5);
    cluster.shortestWriteShare = 1;
    RaftCluster::Member *leader = cluster.waitForLeader();
    BOOST_REQUIRE(leader != nullptr);
    cluster.run(Milliseconds(500));
    const Milliseconds writeTime(600);
    cluster.setLongestWrite(writeTime);
    constexpr std::size_t commands = 8;
    for (std::size_t i = 0; i < commands; ++i) {
        BOOST_REQUIRE(cluster.propose(*leader, std::to_string(i)));
        cluster.run(Milliseconds(1));
    }
    // Ticks and messages add some time to the writes.
    const Milliseconds others(100);
    cluster.run(writeTime + others);
    BOOST_TEST(leader->applied.size() == 1U);
    cluster.run(writeTime);
    BOOST_TEST(leader->applied.size() == commands);
    // The next command begins a write that the commands before do not wait for.
    BOOST_REQUIRE(cluster.propose(*leader, "first of a series"));
    cluster.run(writeTime - others);
    BOOST_REQUIRE(cluster.propose(*leader, "during its write"));
    cluster.run(2 * others);
    BOOST_TEST(isIn(leader->applied, "first of a series"));
    BOOST_TEST(!isIn(leader->applied, "during its write"));
}

// Guards against commands under way that are lost when a leader with a stalled disk hands over.
BOOST_AUTO_TEST_CASE(a_successor_of_a_leader_with_a_slow_disk_has_all_commands_that_it_stored)
{
    const ThrowingInvariants guard;
    constexpr std::uint64_t seeds = 20;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const Milliseconds longestWrite : {Milliseconds(1200), Milliseconds(2000), Milliseconds(60'000)}) {
            BOOST_TEST_CONTEXT("seed " << seed << ", " << longestWrite.count() << " ms")
            {
                RaftCluster cluster(threeVms, seed);
                RaftCluster::Member *leader = cluster.waitForLeader();
                BOOST_REQUIRE(leader != nullptr);
                cluster.run(Milliseconds(500));
                leader->longestWrite = longestWrite;
                constexpr std::size_t commands = 8;
                for (std::size_t i = 0; i < commands; ++i) {
                    BOOST_REQUIRE(cluster.propose(*leader, std::to_string(i)));
                }
                cluster.run(Milliseconds(4000));
                const RaftCluster::Member *last = cluster.waitForLeader();
                BOOST_REQUIRE(last != nullptr);
                BOOST_TEST(last->applied.size() == commands);
            }
        }
    }
}

// Guards against a leader that steps down after a standstill of its own, before it has read the answers that arrived
// meanwhile.
BOOST_AUTO_TEST_CASE(a_standstill_of_the_leader_is_not_taken_for_silence_of_the_others)
{
    RaftOptions options;
    options.self = "vm-1";
    RaftNode node(options, {}, {{threeVms.begin(), threeVms.end()}, {}}, TimePoint() + std::chrono::hours(1));
    TimePoint now = TimePoint() + std::chrono::hours(2);
    node.tick(now);
    exchangeWithVm2(node, now);
    BOOST_REQUIRE(node.role() == RaftRole::Leader);
    for (int standstills = 0; standstills < 10; ++standstills) {
        now += 4 * options.electionTimeout;
        node.tick(now);
        BOOST_TEST((node.role() == RaftRole::Leader));
        BOOST_TEST(!node.hasLease(now));
        acknowledge(node, now, "vm-2", node.log().lastIndex());
    }
    // The others' silence while this member runs ends its leadership.
    for (Milliseconds passed {0}; passed <= 2 * options.electionTimeout; passed += options.heartbeatInterval) {
        now += options.heartbeatInterval;
        node.tick(now);
    }
    BOOST_TEST((node.role() != RaftRole::Leader));
    const std::optional<RaftLeadershipReport> report = node.takeLeadershipReport();
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST((report->end == LeadershipEnd::QuorumLost));
    BOOST_TEST(report->peers.size() == 2U);
}

// Guards against a follower that starts an election after a standstill of its own, before it has read the heartbeats
// that arrived meanwhile.
BOOST_AUTO_TEST_CASE(a_standstill_of_a_follower_is_not_taken_for_silence_of_the_leader)
{
    RaftOptions options;
    options.self = "vm-2";
    RaftNode node(options, {}, {{threeVms.begin(), threeVms.end()}, {}}, TimePoint() + std::chrono::hours(1));
    TimePoint now = TimePoint() + std::chrono::hours(1);
    for (int standstills = 0; standstills < 10; ++standstills) {
        RaftMessage heartbeat;
        heartbeat.type = RaftMessageType::Append;
        heartbeat.from = "vm-1";
        heartbeat.to = "vm-2";
        heartbeat.term = 1;
        node.step(now, heartbeat);
        node.persisted(node.takeReady());
        now += 4 * options.electionTimeout;
        node.tick(now);
        BOOST_TEST((node.role() == RaftRole::Follower));
    }
    for (Milliseconds passed {0}; passed <= 2 * options.electionTimeout; passed += options.heartbeatInterval) {
        now += options.heartbeatInterval;
        node.tick(now);
    }
    BOOST_TEST((node.role() == RaftRole::PreCandidate));
}

// Guards against a deposed leader that believes in its lease because an answer was late.
BOOST_AUTO_TEST_CASE(a_lease_counts_from_the_sending_of_the_message_that_a_quorum_has_answered)
{
    RaftOptions options;
    options.self = "vm-1";
    RaftNode node(options, {}, {{threeVms.begin(), threeVms.end()}, {}}, TimePoint() + std::chrono::hours(1));
    TimePoint now = TimePoint() + std::chrono::hours(2);
    node.tick(now);
    exchangeWithVm2(node, now);
    now += 2 * options.electionTimeout;
    BOOST_TEST(!node.hasLease(now));
    node.tick(now);
    const TimePoint sentAt = now;
    const RaftReady ready = node.takeReady();
    BOOST_REQUIRE(!ready.messages.empty());
    RaftMessage reply;
    reply.type = RaftMessageType::AppendReply;
    reply.from = "vm-2";
    reply.to = "vm-1";
    reply.term = node.term();
    reply.round = ready.messages.front().round;
    reply.granted = true;
    now += options.electionTimeout / 2;
    node.step(now, reply);
    BOOST_TEST(node.hasLease(now));
    BOOST_TEST(!node.hasLease(sentAt + options.electionTimeout));
    node.transferLeadership("vm-2");
    BOOST_TEST(!node.hasLease(now));
}

// Guards against a member that elects another leader while its answer to the present one still carries a lease.
BOOST_AUTO_TEST_CASE(a_member_disregards_votes_while_a_lease_may_rest_on_its_answer)
{
    RaftOptions options;
    options.self = "vm-2";
    RaftStoredState stored;
    stored.hard.term = 1;
    const TimePoint start = TimePoint() + std::chrono::hours(1);
    RaftNode node(options, std::move(stored), {{threeVms.begin(), threeVms.end()}, {}}, start);
    Term term = 1;
    const auto isGranted = [&](TimePoint now, bool isTransfer) {
        RaftMessage vote;
        vote.type = RaftMessageType::Vote;
        vote.from = "vm-3";
        vote.to = "vm-2";
        vote.term = ++term;
        vote.isTransfer = isTransfer;
        node.step(now, vote);
        const RaftReady ready = node.takeReady();
        node.persisted(ready);
        return std::any_of(ready.messages.begin(), ready.messages.end(),
                           [](const RaftMessage &message) { return message.granted; });
    };
    // It may have answered a leader just before its start.
    BOOST_TEST(!isGranted(start + options.electionTimeout / 2, false));
    const TimePoint contact = start + options.electionTimeout;
    RaftMessage heartbeat;
    heartbeat.type = RaftMessageType::Append;
    heartbeat.from = "vm-1";
    heartbeat.to = "vm-2";
    heartbeat.term = 1;
    node.step(contact, heartbeat);
    node.persisted(node.takeReady());
    BOOST_TEST(!isGranted(contact + options.heartbeatInterval, false));
    BOOST_TEST(isGranted(contact + options.heartbeatInterval, true));
    BOOST_TEST(!isGranted(contact + options.heartbeatInterval, false));
    TimePoint later = contact + options.heartbeatInterval;
    for (; later < contact + 2 * options.electionTimeout; later += options.heartbeatInterval) {
        node.tick(later);
        node.persisted(node.takeReady());
    }
    BOOST_TEST(isGranted(later, false));
}

// Guards against an outage that lasts as long as the disk of a leader, which keeps leading, stores nothing.
BOOST_AUTO_TEST_CASE(a_leader_whose_disk_stalls_hands_over)
{
    const ThrowingInvariants guard;
    RaftCluster cluster(threeVms, 31);
    RaftCluster::Member *stalled = cluster.waitForLeader();
    BOOST_REQUIRE(stalled != nullptr);
    stalled->longestWrite = std::chrono::hours(2);
    BOOST_TEST(cluster.propose(*stalled, "during the stall"));
    cluster.run(4 * RaftOptions {}.electionTimeout);
    RaftCluster::Member *successor = cluster.waitForLeader();
    BOOST_REQUIRE(successor != nullptr);
    BOOST_TEST(successor->name != stalled->name);
    BOOST_TEST(cluster.propose(*successor, "after"));
    cluster.run(Milliseconds(500));
    BOOST_TEST(isIn(successor->applied, "during the stall"));
    BOOST_TEST(isIn(successor->applied, "after"));
}

// Guards against a member that counts as recovered before it has stored what it received, and loses it again.
BOOST_AUTO_TEST_CASE(a_member_without_its_disk_is_uninitialized_until_it_has_stored_all_entries)
{
    RaftOptions options;
    options.self = "vm-2";
    RaftStoredState lost;
    lost.hard = {1, std::string(unknownVotedFor)};
    const TimePoint now = TimePoint() + std::chrono::hours(1);
    RaftNode node(options, std::move(lost), {{threeVms.begin(), threeVms.end()}, {}}, now);
    RaftMessage append;
    append.type = RaftMessageType::Append;
    append.from = "vm-1";
    append.to = "vm-2";
    append.term = 1;
    append.commit = 1;
    append.entries = {{1, 1, EntryKind::Barrier, {}}};
    node.step(now, append);
    const RaftReady ready = node.takeReady();
    BOOST_TEST(node.isUninitialized());
    node.persisted(ready);
    BOOST_TEST(!node.isUninitialized());
}

// Guards against a leader that hands over while its slow disk is busy with other work.
BOOST_AUTO_TEST_CASE(a_disk_that_finishes_other_work_is_not_stalled)
{
    RaftOptions options;
    options.self = "vm-1";
    RaftNode node(options, {}, {{threeVms.begin(), threeVms.end()}, {}}, TimePoint() + std::chrono::hours(1));
    TimePoint now = TimePoint() + std::chrono::hours(2);
    node.tick(now);
    exchangeWithVm2(node, now);
    BOOST_REQUIRE(node.propose("command").has_value());
    static_cast<void>(node.takeReady());
    const auto passTime = [&](Milliseconds time) {
        for (Milliseconds passed {0}; passed < time; passed += options.heartbeatInterval) {
            now += options.heartbeatInterval;
            acknowledge(node, now, "vm-2", node.log().lastIndex());
            acknowledge(node, now, "vm-3", node.log().lastIndex());
            node.tick(now);
        }
    };
    for (int i = 0; i < 10; ++i) {
        passTime(options.electionTimeout);
        node.noteDiskProgress(now);
    }
    BOOST_TEST(!node.isDiskStalled());
    BOOST_TEST((node.role() == RaftRole::Leader));
    passTime(3 * options.electionTimeout);
    BOOST_TEST(node.isDiskStalled());
    BOOST_TEST((node.role() != RaftRole::Leader));
}

// Guards against a leader that hands over, and fails its turns, while all disks are equally slow.
BOOST_AUTO_TEST_CASE(a_leader_with_a_stalled_disk_stays_until_a_quorum_of_others_has_stored_more)
{
    RaftOptions options;
    options.self = "vm-1";
    RaftNode node(options, {}, {{threeVms.begin(), threeVms.end()}, {}}, TimePoint() + std::chrono::hours(1));
    TimePoint now = TimePoint() + std::chrono::hours(2);
    node.tick(now);
    exchangeWithVm2(node, now);
    const LogIndex stored = node.log().lastIndex();
    BOOST_REQUIRE(node.propose("command").has_value());
    static_cast<void>(node.takeReady());
    const auto passTime = [&](LogIndex storedByVm2, LogIndex storedByVm3) {
        for (Milliseconds passed {0}; passed < 5 * options.electionTimeout; passed += options.heartbeatInterval) {
            now += options.heartbeatInterval;
            acknowledge(node, now, "vm-2", storedByVm2);
            acknowledge(node, now, "vm-3", storedByVm3);
            node.tick(now);
            static_cast<void>(node.takeUnblockedMessages());
        }
    };
    passTime(stored, stored);
    BOOST_TEST(node.isDiskStalled());
    BOOST_TEST((node.role() == RaftRole::Leader));
    passTime(stored + 1, stored);
    BOOST_TEST((node.role() == RaftRole::Leader));
    passTime(stored + 1, stored + 1);
    BOOST_TEST((node.role() != RaftRole::Leader));
}

// Guards against elections that never end because a vote takes longer to store than the candidate waits for it.
BOOST_AUTO_TEST_CASE(members_with_slow_disks_elect_a_successor_of_a_lost_leader)
{
    const ThrowingInvariants guard;
    constexpr std::uint64_t seeds = 20;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            RaftCluster cluster(threeVms, seed);
            RaftCluster::Member *leader = cluster.waitForLeader();
            BOOST_REQUIRE(leader != nullptr);
            cluster.setLongestWrite(3 * RaftOptions {}.electionTimeout / 2);
            cluster.crash(leader->name);
            BOOST_TEST(cluster.waitForLeader() != nullptr);
        }
    }
}

// Guards against a leader and a member without its log that exchange probes and rejections as fast as the network does.
BOOST_AUTO_TEST_CASE(repeated_rejections_are_answered_once)
{
    RaftOptions options;
    options.self = "vm-1";
    RaftNode node(options, {}, {{threeVms.begin(), threeVms.end()}, {}}, TimePoint() + std::chrono::hours(1));
    TimePoint now = TimePoint() + std::chrono::hours(2);
    node.tick(now);
    exchangeWithVm2(node, now);
    BOOST_REQUIRE(node.role() == RaftRole::Leader);
    std::size_t probes = 0;
    constexpr int rejections = 100;
    for (int i = 0; i < rejections; ++i) {
        RaftMessage rejection;
        rejection.type = RaftMessageType::AppendReply;
        rejection.from = "vm-2";
        rejection.to = "vm-1";
        rejection.term = node.term();
        node.step(now, rejection);
        const RaftReady ready = node.takeReady();
        node.persisted(ready);
        probes += ready.messages.size();
    }
    BOOST_TEST(probes == 1U);
}

// Guards against a follower with a slow disk that is sent more and more entries, since its answers to heartbeats come
// before it has stored any.
BOOST_AUTO_TEST_CASE(answers_to_heartbeats_do_not_release_unacknowledged_appends)
{
    RaftOptions options;
    options.self = "vm-1";
    RaftNode node(options, {}, {{threeVms.begin(), threeVms.end()}, {}}, TimePoint() + std::chrono::hours(1));
    TimePoint now = TimePoint() + std::chrono::hours(2);
    node.tick(now);
    exchangeWithVm2(node, now);
    BOOST_REQUIRE(node.role() == RaftRole::Leader);
    const LogIndex acknowledged = node.matchIndexOf("vm-2");
    std::size_t appends = 0;
    const std::size_t proposals = 3 * options.maxInFlight;
    for (std::size_t i = 0; i < proposals; ++i) {
        BOOST_REQUIRE(node.propose("command").has_value());
        const RaftReady ready = node.takeReady();
        node.persisted(ready);
        appends += static_cast<std::size_t>(
            std::count_if(ready.messages.begin(), ready.messages.end(),
                          [](const RaftMessage &message) { return message.to == "vm-2" && !message.entries.empty(); }));
        RaftMessage reply;
        reply.type = RaftMessageType::AppendReply;
        reply.from = "vm-2";
        reply.to = "vm-1";
        reply.term = node.term();
        reply.granted = true;
        reply.index = acknowledged;
        node.step(now, reply);
    }
    BOOST_TEST(appends <= options.maxInFlight);
}

// Guards against unbounded memory use of a leader that answers each rejected heartbeat with the same entries.
BOOST_AUTO_TEST_CASE(a_member_is_sent_no_entries_until_a_probe_has_found_its_last_matching_entry)
{
    RaftOptions options;
    options.self = "vm-1";
    TimePoint now {};
    RaftNode node(options, {}, {{threeVms.begin(), threeVms.end()}, {}}, now);
    now += Milliseconds(2000);
    node.tick(now);
    exchangeWithVm2(node, now);
    BOOST_REQUIRE((node.role() == RaftRole::Leader));
    for (int i = 0; i < 50; ++i) {
        BOOST_REQUIRE(node.propose(std::string(10'000, 'x')).has_value());
    }
    exchangeWithVm2(node, now);
    RaftMessage rejection;
    rejection.type = RaftMessageType::AppendReply;
    rejection.from = "vm-3";
    rejection.to = "vm-1";
    rejection.term = node.term();
    std::size_t bytesToVm3 = 0;
    for (int i = 0; i < 30; ++i) {
        node.step(now, rejection);
        for (const RaftMessage &message : node.takeReady().messages) {
            for (const LogEntry &item : message.entries) {
                bytesToVm3 += message.to == "vm-3" ? item.payload.size() : 0;
            }
        }
    }
    BOOST_TEST(bytesToVm3 == 0U);
}

// Guards against unbounded memory use of a leader that sends the same chunk with every proposal and read.
BOOST_AUTO_TEST_CASE(a_snapshot_chunk_is_not_sent_again_while_its_reply_is_pending)
{
    RaftOptions options;
    options.self = "vm-1";
    TimePoint now {};
    RaftNode node(options, {}, {{threeVms.begin(), threeVms.end()}, {}}, now);
    now += Milliseconds(2000);
    node.tick(now);
    exchangeWithVm2(node, now);
    BOOST_REQUIRE(node.propose("x").has_value());
    exchangeWithVm2(node, now);
    node.compact(node.commitIndex(), std::string(300'000, 's'));
    BOOST_REQUIRE(node.log().snapshot().index == node.commitIndex());
    BOOST_REQUIRE(node.commitIndex() > 0);
    RaftMessage rejection;
    rejection.type = RaftMessageType::AppendReply;
    rejection.from = "vm-3";
    rejection.to = "vm-1";
    rejection.term = node.term();
    rejection.isUninitialized = true;
    node.step(now, rejection);
    std::size_t chunks = 0;
    const auto countChunks = [&] {
        for (const RaftMessage &message : node.takeReady().messages) {
            chunks += message.type == RaftMessageType::SnapshotChunk ? 1 : 0;
        }
    };
    countChunks();
    for (int i = 0; i < 50; ++i) {
        BOOST_REQUIRE(node.propose("y").has_value());
        countChunks();
    }
    BOOST_TEST(chunks == 1U);
    // A lost chunk is sent again.
    now += Milliseconds(250);
    node.tick(now);
    countChunks();
    BOOST_TEST(chunks == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
