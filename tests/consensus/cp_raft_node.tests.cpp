#include "support/cp_raft_cluster.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

const std::vector<VmName> threeVms {"vm-1", "vm-2", "vm-3"};

void cutOff(RaftCluster &cluster, const VmName &name)
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

//! Runs a leader-to-be whose vm-2 agrees to all, and whose vm-3 is silent.
void exchangeWithSecond(RaftNode &node, TimePoint now)
{
    while (node.hasReady()) {
        const RaftReady ready = node.takeReady();
        if (!ready.entries.empty()) {
            node.persisted(ready.entries.back().index, ready.entries.back().term);
        }
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

// An operator's change is accepted by a leader that is cut off from the others without any connection closing. It
// answers nothing, the others elect a new leader, and the operator sends the change there. When the first leader is
// back, its own copy must be gone, and it must have stopped leading long before.
BOOST_AUTO_TEST_CASE(a_leader_behind_a_silent_partition_steps_down_and_its_uncommitted_entry_is_dropped)
{
    const ThrowingInvariants guard;
    RaftCluster cluster(threeVms, 2);
    RaftCluster::Member *old = cluster.waitForLeader();
    BOOST_REQUIRE(old != nullptr);
    cutOff(cluster, old->name);
    BOOST_TEST(cluster.propose(*old, "lost"));
    cluster.run(Milliseconds(3000));
    BOOST_TEST((old->node->role() != RaftRole::Leader));
    RaftCluster::Member *next = cluster.waitForLeader();
    BOOST_REQUIRE(next != nullptr);
    BOOST_TEST(next->name != old->name);
    BOOST_TEST(cluster.propose(*next, "kept"));
    cluster.network.cuts.clear();
    cluster.run(Milliseconds(3000));
    BOOST_TEST(old->applied == (std::vector<std::string> {"kept"}), boost::test_tools::per_element());
}

// A VM that was cut off for minutes has started elections all the while. When it is back, a higher term of its own
// would depose the leader that everybody follows, and operators would see an outage for each VM that returns.
BOOST_AUTO_TEST_CASE(a_member_that_returns_does_not_depose_the_leader)
{
    const ThrowingInvariants guard;
    RaftCluster cluster(threeVms, 3);
    RaftCluster::Member *leader = cluster.waitForLeader();
    BOOST_REQUIRE(leader != nullptr);
    const Term term = leader->node->term();
    const VmName away = leader->name == "vm-1" ? "vm-2" : "vm-1";
    cutOff(cluster, away);
    cluster.run(Milliseconds(30'000));
    cluster.network.cuts.clear();
    cluster.run(Milliseconds(3000));
    BOOST_TEST((leader->node->role() == RaftRole::Leader));
    BOOST_TEST(leader->node->term() == term);
}

// An operator reads the configuration from a leader that has been replaced without knowing it, and sees a version
// from before a change that another operator was already told of.
BOOST_AUTO_TEST_CASE(a_deposed_leader_confirms_no_read)
{
    const ThrowingInvariants guard;
    RaftCluster cluster(threeVms, 4);
    RaftCluster::Member *old = cluster.waitForLeader();
    BOOST_REQUIRE(old != nullptr);
    BOOST_TEST(old->node->requestRead(7).has_value());
    cluster.drive(*old);
    cluster.run(Milliseconds(300));
    BOOST_TEST(old->reads.contains(7));
    cutOff(cluster, old->name);
    const bool isTaken = old->node->requestRead(8).has_value();
    cluster.drive(*old);
    cluster.run(Milliseconds(3000));
    BOOST_TEST(isTaken);
    BOOST_TEST(!old->reads.contains(8));
}

// A VM is replaced, and another one is lost right after. If the new VM had counted towards the quorum before it held
// the log, a committed entry could now be on no VM that is left.
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
    cutOff(cluster, "vm-4");
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

BOOST_AUTO_TEST_CASE(members_change_by_one_voter_at_a_time)
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

// A keeper was down while hundreds of changes passed and the others have compacted their logs. It gets the state in
// pieces, of which some are lost or come twice.
BOOST_AUTO_TEST_CASE(a_member_that_is_hundreds_of_entries_behind_gets_a_snapshot_in_pieces)
{
    const ThrowingInvariants guard;
    RaftCluster cluster(threeVms, 7);
    RaftCluster::Member *leader = cluster.waitForLeader();
    BOOST_REQUIRE(leader != nullptr);
    const VmName away = leader->name == "vm-1" ? "vm-2" : "vm-1";
    cluster.crash(away);
    for (int i = 0; i < 300; ++i) {
        cluster.propose(*leader, "change-" + std::to_string(i));
        cluster.run(Milliseconds(25));
    }
    BOOST_TEST(leader->node->log().snapshot().index > 0U);
    cluster.network.lossShare = 0.1;
    cluster.network.doubleShare = 0.1;
    cluster.restart(away);
    cluster.run(Milliseconds(30'000));
    BOOST_TEST(cluster.members.at(away)->applied.size() == 300U);
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

// A keeper's disk is full: it must stop answering, and the others go on without it.
BOOST_AUTO_TEST_CASE(a_member_whose_disk_is_full_stops_and_the_others_go_on)
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

// A ledger VM freezes for three seconds while others write a lot. When it is back, it rejects each heartbeat that had
// queued up for it. The leader answered every rejection, and every confirmed read, with the same megabyte of entries
// once more, and was killed for its memory.
BOOST_AUTO_TEST_CASE(a_member_that_has_to_be_probed_is_sent_no_entries_until_its_end_is_known)
{
    RaftOptions options;
    options.self = "vm-1";
    TimePoint now {};
    RaftNode node(options, {}, {{threeVms.begin(), threeVms.end()}, {}}, now);
    now += Milliseconds(2000);
    node.tick(now);
    exchangeWithSecond(node, now);
    BOOST_REQUIRE((node.role() == RaftRole::Leader));
    for (int i = 0; i < 50; ++i) {
        BOOST_REQUIRE(node.propose(std::string(10'000, 'x')).has_value());
    }
    exchangeWithSecond(node, now);
    RaftMessage rejection;
    rejection.type = RaftMessageType::AppendReply;
    rejection.from = "vm-3";
    rejection.to = "vm-1";
    rejection.term = node.term();
    std::size_t bytesToSilent = 0;
    for (int i = 0; i < 30; ++i) {
        node.step(now, rejection);
        for (const RaftMessage &message : node.takeReady().messages) {
            for (const LogEntry &item : message.entries) {
                bytesToSilent += message.to == "vm-3" ? item.payload.size() : 0;
            }
        }
    }
    BOOST_TEST(bytesToSilent == 0U);
}

// A ledger VM comes back without its disk and needs the snapshot. While its answer is on the way, the leader sent the
// same piece of 256 KB again with every proposal and every confirmed read, a thousand times a second, and was killed
// for its memory; the next leader did the same.
BOOST_AUTO_TEST_CASE(a_piece_of_a_snapshot_is_not_sent_again_before_it_can_have_been_answered)
{
    RaftOptions options;
    options.self = "vm-1";
    TimePoint now {};
    RaftNode node(options, {}, {{threeVms.begin(), threeVms.end()}, {}}, now);
    now += Milliseconds(2000);
    node.tick(now);
    exchangeWithSecond(node, now);
    BOOST_REQUIRE(node.propose("x").has_value());
    exchangeWithSecond(node, now);
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
    std::size_t pieces = 0;
    const auto countPieces = [&] {
        for (const RaftMessage &message : node.takeReady().messages) {
            pieces += message.type == RaftMessageType::SnapshotPiece ? 1 : 0;
        }
    };
    countPieces();
    for (int i = 0; i < 50; ++i) {
        BOOST_REQUIRE(node.propose("y").has_value());
        countPieces();
    }
    BOOST_TEST(pieces == 1U);
    // Lost on the way, it comes again.
    now += Milliseconds(250);
    node.tick(now);
    countPieces();
    BOOST_TEST(pieces == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
