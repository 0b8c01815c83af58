#ifndef CARDAMOMPOST_CP_COMPACTION_POLICY_HPP_INCLUDED
#define CARDAMOMPOST_CP_COMPACTION_POLICY_HPP_INCLUDED

#include <algorithm>
#include <cstddef>

namespace cardamompost
{

//! Decides when a member replaces its log with a snapshot.
struct CompactionPolicy {
    //! Size of the entries that are applied and not yet in a snapshot.
    std::size_t bytesSinceSnapshot = 0;
    //! Size of the last snapshot.
    std::size_t snapshotBytes = 0;
    //! True on a leader while a learner lacks committed entries.
    bool hasLaggingLearner = false;
    //! Below staggerSlots; spreads the compactions of the members.
    unsigned staggerSlot = 0;

    //! Smallest log size that is compacted; the size of the last snapshot applies if it is larger.
    static constexpr std::size_t minLogBytes = 8U << 20U;
    //! Factor by which the limit grows while a learner catches up.
    static constexpr std::size_t learnerGrowthFactor = 2;
    //! Difference of the limit between two slots. A member pauses while it makes a snapshot, so a quorum must not do so
    //! at the same time.
    static constexpr std::size_t staggerBytes = 512U << 10U;
    static constexpr unsigned staggerSlots = 8;

    //! True when the log has reached its size limit. The limit is higher while a learner catches up: under load, the
    //! entries that follow a snapshot would otherwise be compacted before the learner has received it, and each
    //! snapshot would have to be followed by another one.
    [[nodiscard]] bool isDue() const
    {
        const std::size_t bytes = std::max(minLogBytes, snapshotBytes);
        return bytesSinceSnapshot
            >= (hasLaggingLearner ? learnerGrowthFactor * bytes : bytes) + staggerSlot * staggerBytes;
    }
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_COMPACTION_POLICY_HPP_INCLUDED
