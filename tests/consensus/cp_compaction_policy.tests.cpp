#include <cardamompost/consensus/cp_compaction_policy.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

constexpr std::size_t megabyte = 1U << 20U;

//! Simulates, in steps of a millisecond, how a learner catches up with the log of a leader under load.
struct LearnerCatchUp {
    //! Bytes per second that the leader appends and that the learner receives.
    double appendedPerSecond = 2.0 * megabyte;
    double receivedPerSecond = 6.0 * megabyte;
    double snapshotBytes = 1.0 * megabyte;
    //! Size of the leader's log at the start.
    double initialLogBytes = 7.5 * megabyte;

    //! \returns snapshots sent until the learner has caught up; 0 if it has not within a minute
    int countSnapshots(bool hasLaggingLearner) const
    {
        constexpr int minuteMs = 60'000;
        double logEnd = initialLogBytes;
        double compactedUpTo = 0;
        double receivedUpTo = 0;
        double snapshotBytesLeft = snapshotBytes;
        int snapshotCount = 1;
        // The first snapshot is empty: the log still holds all entries.
        double snapshotEnd = compactedUpTo;
        for (int ms = 0; ms < minuteMs; ++ms) {
            logEnd += appendedPerSecond / 1000;
            const CompactionPolicy policy {static_cast<std::size_t>(logEnd - compactedUpTo),
                                           static_cast<std::size_t>(snapshotBytes), hasLaggingLearner, 0};
            compactedUpTo = policy.isDue() ? logEnd : compactedUpTo;
            if (snapshotBytesLeft > 0) {
                snapshotBytesLeft -= receivedPerSecond / 1000;
                receivedUpTo = snapshotBytesLeft <= 0 ? snapshotEnd : receivedUpTo;
                continue;
            }
            if (receivedUpTo < compactedUpTo) {
                ++snapshotCount;
                snapshotEnd = compactedUpTo;
                snapshotBytesLeft = snapshotBytes;
                continue;
            }
            receivedUpTo = receivedUpTo + receivedPerSecond / 1000;
            if (receivedUpTo >= logEnd) {
                return snapshotCount;
            }
        }
        return 0;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(compaction_policy)

// Guards against a log that is compacted before a learner has received the entries that follow its snapshot.
BOOST_AUTO_TEST_CASE(a_learner_of_a_group_under_load_needs_one_snapshot)
{
    const LearnerCatchUp catchUp;
    BOOST_TEST(catchUp.countSnapshots(false) > 1);
    BOOST_TEST(catchUp.countSnapshots(true) == 1);
}

BOOST_AUTO_TEST_CASE(a_log_is_compacted_at_its_limit_or_at_twice_the_limit_for_a_lagging_learner)
{
    const auto isDue = [](std::size_t bytes, std::size_t snapshotBytes, bool hasLaggingLearner) {
        return CompactionPolicy {bytes, snapshotBytes, hasLaggingLearner, 0}.isDue();
    };
    BOOST_TEST(!isDue(CompactionPolicy::minLogBytes - 1, 0, false));
    BOOST_TEST(isDue(CompactionPolicy::minLogBytes, 0, false));
    BOOST_TEST(!isDue(CompactionPolicy::minLogBytes, 0, true));
    BOOST_TEST(isDue(2 * CompactionPolicy::minLogBytes, 0, true));
    // The limit is the size of the snapshot if that is larger.
    BOOST_TEST(!isDue(CompactionPolicy::minLogBytes, 3 * CompactionPolicy::minLogBytes, false));
}

// Guards against compaction on all members at the same time, which delays heartbeats.
BOOST_AUTO_TEST_CASE(members_with_different_slots_compact_at_different_log_sizes)
{
    const CompactionPolicy first {CompactionPolicy::minLogBytes, 0, false, 0};
    const CompactionPolicy second {CompactionPolicy::minLogBytes, 0, false, 1};
    BOOST_TEST(first.isDue());
    BOOST_TEST(!second.isDue());
    BOOST_TEST(
        (CompactionPolicy {CompactionPolicy::minLogBytes + CompactionPolicy::staggerBytes, 0, false, 1}.isDue()));
}

BOOST_AUTO_TEST_SUITE_END()
