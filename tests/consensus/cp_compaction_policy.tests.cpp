#include <cardamompost/consensus/cp_compaction_policy.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

constexpr std::size_t megabyte = 1U << 20U;

//! A busy leader and a learner, in steps of a millisecond: bytes that are written, cut, sent and taken in.
struct CatchUp {
    //! What the group writes a second, and what the learner takes in a second of either kind.
    double written = 2.0 * megabyte;
    double taken = 6.0 * megabyte;
    double snapshotBytes = 1.0 * megabyte;
    //! What the leader writes before it has cut its log first, and since.
    double firstLog = 7.5 * megabyte;

    //! \returns snapshots that the learner was sent until it held everything; 0 if it did not within a minute
    int snapshots(bool hasLaggingLearner) const
    {
        constexpr int minute = 60'000;
        double end = firstLog;
        double cutAt = 0;
        double held = 0;
        double left = snapshotBytes;
        int sent = 1;
        // The first snapshot holds nothing that the log does not.
        double sentAt = cutAt;
        for (int ms = 0; ms < minute; ++ms) {
            end += written / 1000;
            const CompactionPolicy cut {static_cast<std::size_t>(end - cutAt), static_cast<std::size_t>(snapshotBytes),
                                        hasLaggingLearner, 0};
            cutAt = cut.isDue() ? end : cutAt;
            if (left > 0) {
                left -= taken / 1000;
                held = left <= 0 ? sentAt : held;
                continue;
            }
            if (held < cutAt) {
                ++sent;
                sentAt = cutAt;
                left = snapshotBytes;
                continue;
            }
            held = held + taken / 1000;
            if (held >= end) {
                return sent;
            }
        }
        return 0;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(log_cut)

// An operator empties a ledger VM in a busy hour. Its successor was sent a snapshot, and the log behind that was cut
// before it had read on; it was sent the next one, and the next, and the order took 13 s instead of the 9 s there were.
BOOST_AUTO_TEST_CASE(a_newcomer_to_a_busy_group_needs_one_snapshot)
{
    const CatchUp busy;
    BOOST_TEST(busy.snapshots(false) > 1);
    BOOST_TEST(busy.snapshots(true) == 1);
}

BOOST_AUTO_TEST_CASE(a_log_is_cut_at_its_bound_and_for_a_learner_at_twice_that)
{
    const auto isDue = [](std::size_t bytes, std::size_t snapshotBytes, bool hasLaggingLearner) {
        return CompactionPolicy {bytes, snapshotBytes, hasLaggingLearner, 0}.isDue();
    };
    BOOST_TEST(!isDue(CompactionPolicy::leastBytes - 1, 0, false));
    BOOST_TEST(isDue(CompactionPolicy::leastBytes, 0, false));
    BOOST_TEST(!isDue(CompactionPolicy::leastBytes, 0, true));
    BOOST_TEST(isDue(2 * CompactionPolicy::leastBytes, 0, true));
    // A state that is larger than that bounds the log by its own size.
    BOOST_TEST(!isDue(CompactionPolicy::leastBytes, 3 * CompactionPolicy::leastBytes, false));
}

// Entries lost their leader within 0.05 s of the moment in which all five members cut their logs.
BOOST_AUTO_TEST_CASE(members_whose_turns_differ_cut_at_different_lengths)
{
    const CompactionPolicy first {CompactionPolicy::leastBytes, 0, false, 0};
    const CompactionPolicy second {CompactionPolicy::leastBytes, 0, false, 1};
    BOOST_TEST(first.isDue());
    BOOST_TEST(!second.isDue());
    BOOST_TEST((CompactionPolicy {CompactionPolicy::leastBytes + CompactionPolicy::bytesATurn, 0, false, 1}.isDue()));
}

BOOST_AUTO_TEST_SUITE_END()
