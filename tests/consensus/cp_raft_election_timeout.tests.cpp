#include <cardamompost/consensus/cp_raft_node.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

constexpr Milliseconds heartbeat {30};
const TimePoint begun = TimePoint() + std::chrono::hours(1);

//! A follower of vm-1, whose election timeout may be 100 to 300 ms.
class Follower
{
public:
    Follower()
        : node(options(), {}, {{"vm-1", "vm-2", "vm-3"}, {}}, begun)
    {
    }
    //! Hears from the leader at a pace, the last time at now.
    void hear(Milliseconds pace, int times)
    {
        for (int i = 0; i < times; ++i) {
            now += pace;
            RaftMessage append;
            append.type = RaftMessageType::Append;
            append.from = "vm-1";
            append.to = "vm-2";
            append.term = 1;
            node.step(now, append);
            static_cast<void>(node.takeReady());
        }
    }
    //! \returns after how long without the leader it starts an election
    Milliseconds silenceUntilElection()
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
    TimePoint now = begun;

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

// The leader's VM freezes. All programs wait until another leads, so a follower that heard it every 30 ms until now
// must not wait for as long as one that knows nothing of it: that was 0.3 to 0.6 s.
BOOST_AUTO_TEST_CASE(a_leader_that_was_heard_often_is_missed_soon)
{
    Follower follower;
    follower.hear(heartbeat, 20);
    const Milliseconds silence = follower.silenceUntilElection();
    BOOST_TEST(silence.count() >= 100);
    BOOST_TEST(silence.count() <= 210);
}

// A leader with little processor time stands still for a tenth of a second, again and again. An election each time
// would stop all turns more often than a loss does.
BOOST_AUTO_TEST_CASE(a_leader_that_pauses_again_and_again_is_given_more_time)
{
    Follower follower;
    follower.hear(heartbeat, 10);
    follower.hear(Milliseconds(140), 3);
    BOOST_TEST(follower.silenceUntilElection().count() >= 210);
}

BOOST_AUTO_TEST_CASE(the_longest_election_timeout_is_never_exceeded)
{
    Follower follower;
    follower.hear(Milliseconds(900), 3);
    BOOST_TEST(follower.silenceUntilElection().count() <= 610);
}

BOOST_AUTO_TEST_SUITE_END()
