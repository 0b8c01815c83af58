#include <cardamompost/policy/cp_completion_times.hpp>

#include <algorithm>

namespace cardamompost
{

void CompletionTimes::observe(Milliseconds time, TimePoint now)
{
    const auto age = now - currentSince_;
    if (age >= window) {
        previous_ = age < 2 * window ? current_ : std::nullopt;
        current_.reset();
        currentSince_ = now;
    }
    current_ = std::max(current_.value_or(time), time);
}

std::optional<Milliseconds> CompletionTimes::longest(TimePoint now) const
{
    const auto age = now - currentSince_;
    if (age >= 2 * window) {
        return std::nullopt;
    }
    // An empty optional is less than any value.
    return age >= window ? current_ : std::max(current_, previous_);
}

} // namespace cardamompost
