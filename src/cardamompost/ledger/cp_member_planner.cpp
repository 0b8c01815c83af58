#include <cardamompost/ledger/cp_member_planner.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

const MemberCandidate &find(const MemberCandidates &candidates, const VmName &name)
{
    static const MemberCandidate unknown;
    const auto found = candidates.find(name);
    return found == candidates.end() ? unknown : found->second;
}

bool isSound(const MemberCandidate &candidate)
{
    return candidate.isLive && !candidate.isRetiring;
}

//! A voter that could be done without: a lost one first, then one that is to be emptied.
std::optional<VmName> findDispensable(const Membership &current, const MemberCandidates &candidates)
{
    std::optional<VmName> retiring;
    for (const VmName &voter : current.voters) {
        const MemberCandidate &candidate = find(candidates, voter);
        if (!candidate.isLive) {
            return voter;
        }
        if (candidate.isRetiring) {
            retiring = voter;
        }
    }
    return retiring;
}

} // namespace

std::optional<Membership> planMembership(const Membership &current, const MemberCandidates &candidates,
                                         std::size_t desiredVoters)
{
    Membership next = current;
    const std::optional<VmName> dispensable = findDispensable(current, candidates);
    if (current.voters.size() > desiredVoters && dispensable) {
        next.voters.erase(*dispensable);
        return next;
    }
    const bool needsVoter = current.voters.size() < desiredVoters || dispensable.has_value();
    for (const VmName &learner : current.learners) {
        const MemberCandidate &candidate = find(candidates, learner);
        if (!isSound(candidate) || !needsVoter) {
            next.learners.erase(learner);
            return next;
        }
        if (candidate.isCaughtUp) {
            next.learners.erase(learner);
            next.voters.insert(learner);
            return next;
        }
    }
    if (!needsVoter || !current.learners.empty()) {
        return std::nullopt;
    }
    const auto isNewcomer
        = [&](const auto &item) { return isSound(item.second) && !current.voters.contains(item.first); };
    const auto newcomer = std::find_if(candidates.begin(), candidates.end(), isNewcomer);
    if (newcomer == candidates.end()) {
        return std::nullopt;
    }
    next.learners.insert(newcomer->first);
    return next;
}

} // namespace cardamompost
