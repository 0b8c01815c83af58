#include <cardamompost/consensus/cp_raft_node.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <iterator>

using namespace cardamompost;

namespace
{

constexpr Milliseconds heartbeat {30};
const TimePoint startTime = TimePoint() + std::chrono::hours(1);

//! A follower of vm-1 with a base election timeout between 100 and 300 ms.
class Follower
{
public:
    Follower()
        : node(options(), {}, {{"vm-1", "vm-2", "vm-3"}, {}}, startTime)
    {
    }
    //! Delivers heartbeats of the leader at an interval, the last one at now.
    void receiveHeartbeats(Milliseconds interval, int times)
    {
        for (int i = 0; i < times; ++i) {
            now += interval;
            RaftMessage append;
            append.type = RaftMessageType::Append;
            append.from = "vm-1";
            append.to = "vm-2";
            append.term = 1;
            node.step(now, append);
            node.persisted(node.takeReady());
        }
    }
    //! \returns time without heartbeats after which the follower starts an election
    Milliseconds timeUntilElection()
    {
        constexpr Milliseconds step {10};
        for (Milliseconds silence = step;; silence += step) {
            node.tick(now + silence);
            if (node.role() != RaftRole::Follower) {
                return silence;
            }
        }
    }

    RaftNode node;
    TimePoint now = startTime;

private:
    static RaftOptions options()
    {
        RaftOptions options;
        options.self = "vm-2";
        options.electionTimeout = Milliseconds(300);
        options.shortestElectionTimeout = Milliseconds(100);
        options.seed = 7;
        return options;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(raft_election_timeout)

// Guards against a slow failover: with regular heartbeats, the timeout must be shorter than the configured maximum.
BOOST_AUTO_TEST_CASE(regular_heartbeats_shorten_the_election_timeout)
{
    Follower follower;
    follower.receiveHeartbeats(heartbeat, 20);
    const Milliseconds silence = follower.timeUntilElection();
    BOOST_TEST(silence.count() >= 100);
    BOOST_TEST(silence.count() <= 210);
}

// Guards against repeated elections when the leader is throttled and pauses regularly.
BOOST_AUTO_TEST_CASE(repeated_pauses_of_the_leader_extend_the_election_timeout)
{
    Follower follower;
    follower.receiveHeartbeats(heartbeat, 10);
    follower.receiveHeartbeats(Milliseconds(140), 3);
    BOOST_TEST(follower.timeUntilElection().count() >= 210);
}

BOOST_AUTO_TEST_CASE(the_longest_election_timeout_is_never_exceeded)
{
    Follower follower;
    follower.receiveHeartbeats(Milliseconds(900), 3);
    BOOST_TEST(follower.timeUntilElection().count() <= 610);
}

// Guards against a first election after a start that fails because the others, started at the same time, do not vote
// yet.
BOOST_AUTO_TEST_CASE(members_that_start_together_elect_a_leader_at_the_first_attempt)
{
    RaftOptions options;
    options.electionTimeout = Milliseconds(300);
    options.shortestElectionTimeout = Milliseconds(100);
    options.firstElectionTimeout = Milliseconds(60);
    const std::set<VmName> names {"vm-1", "vm-2", "vm-3"};
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::map<VmName, RaftNode> nodes;
        for (const VmName &name : names) {
            options.self = name;
            options.seed = 3 * seed + nodes.size();
            RaftStoredState stored;
            stored.hard.term = 1;
            nodes.emplace(name, RaftNode(options, std::move(stored), {names, {}}, startTime));
        }
        const Milliseconds latest = 2 * options.firstElectionTimeout + options.shortestElectionTimeout;
        for (Milliseconds passed {0}; passed <= latest; passed += Milliseconds(10)) {
            std::vector<RaftMessage> messages;
            for (auto &[name, node] : nodes) {
                node.tick(startTime + passed);
                RaftReady ready = node.takeReady();
                node.persisted(ready);
                std::move(ready.messages.begin(), ready.messages.end(), std::back_inserter(messages));
            }
            for (RaftMessage &message : messages) {
                nodes.at(message.to).step(startTime + passed, std::move(message));
            }
        }
        const auto leads = [](const auto &item) { return item.second.role() == RaftRole::Leader; };
        BOOST_TEST(std::count_if(nodes.begin(), nodes.end(), leads) == 1, "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
