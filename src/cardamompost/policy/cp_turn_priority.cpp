#include <cardamompost/policy/cp_turn_priority.hpp>

namespace cardamompost
{

namespace
{

constexpr int onTimePriority = 5;
constexpr int lateTopRankPriority = 8;
constexpr int latePriority = 9;

} // namespace

int turnPriority(const TurnUrgency &urgency)
{
    const bool isLate = urgency.timeLeft && urgency.timeLeft->count() <= 0;
    if (!isLate) {
        return onTimePriority;
    }
    return urgency.rank == 0 ? lateTopRankPriority : latePriority;
}

} // namespace cardamompost
