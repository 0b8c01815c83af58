#ifndef CARDAMOMPOST_CP_COMPACTION_POLICY_HPP_INCLUDED
#define CARDAMOMPOST_CP_COMPACTION_POLICY_HPP_INCLUDED

#include <algorithm>
#include <cstddef>

namespace cardamompost
{

//! What decides when a member replaces its log by a snapshot.
struct CompactionPolicy {
    //! Of the entries that are applied and not yet in a snapshot.
    std::size_t bytesSinceSnapshot = 0;
    //! Of the last snapshot.
    std::size_t snapshotBytes = 0;
    //! This member leads, and a learner does not hold all that is committed.
    bool hasLaggingLearner = false;
    //! 0 to 7, another one at each member by chance.
    unsigned turn = 0;

    //! The log is cut once it is longer than this and than the state itself, which bounds memory and restarts.
    static constexpr std::size_t leastBytes = 8U << 20U;
    //! The log may grow to so many times that for a learner.
    static constexpr std::size_t growthForLearner = 2;
    //! Guards against members that all make a snapshot at once: each stands still for it, and with a quorum of them
    //! everything that waits for one. Their logs are cut so many bytes apart.
    static constexpr std::size_t bytesATurn = 512U << 10U;
    static constexpr unsigned turns = 8;

    //! Guards against a newcomer that chases snapshots. Under load the log is cut every few seconds; a learner that has
    //! just been given one snapshot lacks the entries after it by then, is sent the next, and so on, so that a member
    //! that is lost or to be emptied stays the longer the busier the group is. The entries after the snapshot that was
    //! sent are kept for it, up to a bound, since memory is small.
    [[nodiscard]] bool isDue() const
    {
        const std::size_t bytes = std::max(leastBytes, snapshotBytes);
        return bytesSinceSnapshot >= (hasLaggingLearner ? growthForLearner * bytes : bytes) + turn * bytesATurn;
    }
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_COMPACTION_POLICY_HPP_INCLUDED
