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

bool isEligible(const MemberCandidate &candidate)
{
    return candidate.isLive && !candidate.isRetiring;
}

//! Number of eligible voters by failure domain.
DomainCounts countEligibleVoters(const Membership &current, const MemberCandidates &candidates)
{
    DomainCounts counts;
    for (const VmName &voter : current.voters) {
        const MemberCandidate &candidate = find(candidates, voter);
        if (isEligible(candidate)) {
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

//! The eligible non-voter whose failure domain has the fewest voters.
std::optional<VmName> findNewVoter(const Membership &current, const MemberCandidates &candidates,
                                   const DomainCounts &counts)
{
    std::optional<VmName> best;
    std::size_t fewest = 0;
    for (const auto &[name, candidate] : candidates) {
        if (!isEligible(candidate) || current.voters.contains(name)) {
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

//! An eligible voter of the failure domain with the most of them; preferably not the leader.
std::optional<VmName> findVoterInLargestDomain(const Membership &current, const MemberCandidates &candidates,
                                               const DomainCounts &counts)
{
    std::optional<VmName> best;
    for (const VmName &voter : current.voters) {
        const MemberCandidate &candidate = find(candidates, voter);
        if (!isEligible(candidate)) {
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

//! A lost voter, or else a retiring one.
std::optional<VmName> findVoterToReplace(const Membership &current, const MemberCandidates &candidates)
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

//! True if a new voter is needed to reach the desired number, to replace a voter, or to balance failure domains.
bool needsNewVoter(const Membership &current, const MemberCandidates &candidates, const DomainCounts &counts,
                   std::size_t desiredVoters)
{
    if (current.voters.size() < desiredVoters || findVoterToReplace(current, candidates)) {
        return true;
    }
    const std::optional<VmName> removable = findVoterInLargestDomain(current, candidates, counts);
    const std::optional<VmName> newVoter = findNewVoter(current, candidates, counts);
    if (current.voters.size() > desiredVoters || !removable || !newVoter) {
        return false;
    }
    return countIn(counts, find(candidates, *removable).failureDomain)
        >= countIn(counts, find(candidates, *newVoter).failureDomain) + 2;
}

} // namespace

std::optional<Membership> planMembership(const Membership &current, const MemberCandidates &candidates,
                                         std::size_t desiredVoters)
{
    Membership next = current;
    const DomainCounts counts = countEligibleVoters(current, candidates);
    if (current.voters.size() > desiredVoters) {
        const std::optional<VmName> toReplace = findVoterToReplace(current, candidates);
        if (const auto removed = toReplace ? toReplace : findVoterInLargestDomain(current, candidates, counts)) {
            next.voters.erase(*removed);
            return next;
        }
    }
    const bool isNewVoterNeeded = needsNewVoter(current, candidates, counts, desiredVoters);
    for (const VmName &learner : current.learners) {
        const MemberCandidate &candidate = find(candidates, learner);
        if (!isEligible(candidate) || !isNewVoterNeeded) {
            next.learners.erase(learner);
            return next;
        }
        if (candidate.isCaughtUp) {
            next.learners.erase(learner);
            next.voters.insert(learner);
            return next;
        }
    }
    const std::optional<VmName> newVoter = findNewVoter(current, candidates, counts);
    if (!isNewVoterNeeded || !current.learners.empty() || !newVoter) {
        return std::nullopt;
    }
    next.learners.insert(*newVoter);
    return next;
}

} // namespace cardamompost
