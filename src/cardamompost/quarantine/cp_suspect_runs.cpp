#include <cardamompost/quarantine/cp_suspect_runs.hpp>

#include <algorithm>

namespace cardamompost
{

bool SuspectRuns::start(SuspectRun run, std::size_t maxAtOnce, TimePoint now)
{
    std::erase_if(runs_, [&](const auto &item) { return item.second.until <= now; });
    runs_.erase(run.id);
    std::size_t atOnce = 0;
    for (const auto &[id, other] : runs_) {
        if (other.request == run.request) {
            ++atOnce;
        } else if (other.backend == run.backend && std::max(other.ends, run.ends) >= endsUntilIsolation) {
            return false;
        }
    }
    if (atOnce >= maxAtOnce) {
        return false;
    }
    const std::uint64_t id = run.id;
    runs_.emplace(id, std::move(run));
    return true;
}

} // namespace cardamompost
