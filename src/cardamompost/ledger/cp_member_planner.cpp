#include <cardamompost/ledger/cp_member_planner.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

using DomainCounts = std::map<std::string, std::size_t>;

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

//! Voters that stay, by failure domain.
DomainCounts countSoundVoters(const Membership &current, const MemberCandidates &candidates)
{
    DomainCounts counts;
    for (const VmName &voter : current.voters) {
        const MemberCandidate &candidate = find(candidates, voter);
        if (isSound(candidate)) {
            ++counts[candidate.failureDomain];
        }
    }
    return counts;
}

std::size_t countIn(const DomainCounts &counts, const std::string &domain)
{
    const auto found = counts.find(domain);
    return found == counts.end() ? 0 : found->second;
}

//! Of the sound VMs that do not vote, the one whose failure domain has the fewest voters.
std::optional<VmName> findNewcomer(const Membership &current, const MemberCandidates &candidates,
                                   const DomainCounts &counts)
{
    std::optional<VmName> best;
    std::size_t fewest = 0;
    for (const auto &[name, candidate] : candidates) {
        if (!isSound(candidate) || current.voters.contains(name)) {
            continue;
        }
        const std::size_t count = countIn(counts, candidate.failureDomain);
        if (!best || count < fewest) {
            best = name;
            fewest = count;
        }
    }
    return best;
}

//! A sound voter of the failure domain with the most of them; the leader only where it is the only one.
std::optional<VmName> findCrowded(const Membership &current, const MemberCandidates &candidates,
                                  const DomainCounts &counts)
{
    std::optional<VmName> best;
    for (const VmName &voter : current.voters) {
        const MemberCandidate &candidate = find(candidates, voter);
        if (!isSound(candidate)) {
            continue;
        }
        if (!best) {
            best = voter;
            continue;
        }
        const MemberCandidate &other = find(candidates, *best);
        const std::size_t count = countIn(counts, candidate.failureDomain);
        const std::size_t most = countIn(counts, other.failureDomain);
        if (count > most || (count == most && other.isLeader)) {
            best = voter;
        }
    }
    return best;
}

//! A voter that is lost, or else one that is to be emptied.
std::optional<VmName> findInvalid(const Membership &current, const MemberCandidates &candidates)
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

//! True when one more voter is needed: for the number, for one that has to go, or for a better spread.
bool needsVoter(const Membership &current, const MemberCandidates &candidates, const DomainCounts &counts,
                std::size_t desiredVoters)
{
    if (current.voters.size() < desiredVoters || findInvalid(current, candidates)) {
        return true;
    }
    const std::optional<VmName> crowded = findCrowded(current, candidates, counts);
    const std::optional<VmName> newcomer = findNewcomer(current, candidates, counts);
    if (current.voters.size() > desiredVoters || !crowded || !newcomer) {
        return false;
    }
    return countIn(counts, find(candidates, *crowded).failureDomain)
        >= countIn(counts, find(candidates, *newcomer).failureDomain) + 2;
}

} // namespace

std::optional<Membership> planMembership(const Membership &current, const MemberCandidates &candidates,
                                         std::size_t desiredVoters)
{
    Membership next = current;
    const DomainCounts counts = countSoundVoters(current, candidates);
    if (current.voters.size() > desiredVoters) {
        const std::optional<VmName> unsound = findInvalid(current, candidates);
        if (const auto leaving = unsound ? unsound : findCrowded(current, candidates, counts)) {
            next.voters.erase(*leaving);
            return next;
        }
    }
    const bool isNeeded = needsVoter(current, candidates, counts, desiredVoters);
    for (const VmName &learner : current.learners) {
        const MemberCandidate &candidate = find(candidates, learner);
        if (!isSound(candidate) || !isNeeded) {
            next.learners.erase(learner);
            return next;
        }
        if (candidate.isCaughtUp) {
            next.learners.erase(learner);
            next.voters.insert(learner);
            return next;
        }
    }
    const std::optional<VmName> newcomer = findNewcomer(current, candidates, counts);
    if (!isNeeded || !current.learners.empty() || !newcomer) {
        return std::nullopt;
    }
    next.learners.insert(*newcomer);
    return next;
}

} // namespace cardamompost
