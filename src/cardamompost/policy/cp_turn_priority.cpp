#include <cardamompost/policy/cp_turn_priority.hpp>

namespace cardamompost
{

namespace
{

constexpr int inTime = 5;
constexpr int lateFirstRank = 8;
constexpr int late = 9;

} // namespace

int turnPriority(const TurnUrgency &urgency)
{
    const bool isLate = urgency.timeLeft && urgency.timeLeft->count() <= 0;
    if (!isLate) {
        return inTime;
    }
    return urgency.rank == 0 ? lateFirstRank : late;
}

} // namespace cardamompost
