#include <cardamompost/ledger/cp_member_planner.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

constexpr std::size_t three = 3;
constexpr std::size_t five = 5;
const MemberCandidate healthy {true, false, true, {}, false};
const MemberCandidate lost {false, false, false, {}, false};
const MemberCandidate retiring {true, true, true, {}, false};
const MemberCandidate lagging {true, false, false, {}, false};

Membership group(std::set<VmName> voters, std::set<VmName> learners = {})
{
    return {std::move(voters), std::move(learners)};
}

//! Applies planned changes until none is left; learners catch up immediately.
Membership settle(Membership current, const MemberCandidates &candidates, std::size_t desired = three)
{
    for (int step = 0; step < 40; ++step) {
        const std::optional<Membership> next = planMembership(current, candidates, desired);
        if (!next) {
            return current;
        }
        BOOST_TEST(next->isSingleStepFrom(current));
        current = *next;
    }
    BOOST_TEST(false, "the plan does not converge");
    return current;
}

//! Healthy VMs in five failure domains, with names ordered by domain.
MemberCandidates fleet(std::size_t vmsPerDomain)
{
    MemberCandidates all;
    for (const std::string domain : {"apapa", "ikorodu", "lekki", "onne", "tincan"}) {
        for (std::size_t i = 1; i <= vmsPerDomain; ++i) {
            all[domain + "-" + std::to_string(i)] = {true, false, true, domain, false};
        }
    }
    return all;
}

std::map<std::string, std::size_t> votersByDomain(const Membership &members, const MemberCandidates &all)
{
    std::map<std::string, std::size_t> counts;
    for (const VmName &voter : members.voters) {
        ++counts[all.at(voter).failureDomain];
    }
    return counts;
}

std::size_t mostInOneDomain(const Membership &members, const MemberCandidates &all)
{
    std::size_t most = 0;
    for (const auto &[domain, count] : votersByDomain(members, all)) {
        most = std::max(most, count);
    }
    return most;
}

void setLive(MemberCandidates &all, const std::string &domain, bool isLive)
{
    for (auto &[name, candidate] : all) {
        candidate.isLive = candidate.failureDomain == domain ? isLive : candidate.isLive;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(member_planner)

BOOST_AUTO_TEST_CASE(healthy_group_is_unchanged_when_other_vms_are_available)
{
    const MemberCandidates all {{"a", healthy}, {"b", healthy}, {"c", healthy}, {"d", healthy}};
    BOOST_TEST(!planMembership(group({"a", "b", "c"}), all, three).has_value());
}

// Guards against losing the quorum when a second VM fails shortly after the first.
BOOST_AUTO_TEST_CASE(lost_voter_is_removed_only_after_its_replacement_votes)
{
    const MemberCandidates all {{"a", healthy}, {"b", healthy}, {"c", lost}, {"d", healthy}};
    const auto first = planMembership(group({"a", "b", "c"}), all, three);
    BOOST_TEST((first == group({"a", "b", "c"}, {"d"})));
    const auto second = planMembership(*first, all, three);
    BOOST_TEST((second == group({"a", "b", "c", "d"})));
    const auto third = planMembership(*second, all, three);
    BOOST_TEST((third == group({"a", "b", "d"})));
    BOOST_TEST((settle(group({"a", "b", "c"}), all) == group({"a", "b", "d"})));
}

BOOST_AUTO_TEST_CASE(learner_is_promoted_only_after_it_has_caught_up)
{
    const MemberCandidates all {{"a", healthy}, {"b", healthy}, {"c", lost}, {"d", lagging}};
    BOOST_TEST(!planMembership(group({"a", "b", "c"}, {"d"}), all, three).has_value());
}

BOOST_AUTO_TEST_CASE(lost_voter_stays_while_there_is_no_replacement)
{
    const MemberCandidates all {{"a", healthy}, {"b", healthy}, {"c", lost}};
    BOOST_TEST(!planMembership(group({"a", "b", "c"}), all, three).has_value());
}

BOOST_AUTO_TEST_CASE(retiring_vm_is_replaced_and_never_added)
{
    const MemberCandidates all {{"a", healthy}, {"b", healthy}, {"c", retiring}, {"d", healthy}, {"e", retiring}};
    BOOST_TEST((settle(group({"a", "b", "c"}), all) == group({"a", "b", "d"})));
}

// The retiring voter still holds all committed entries; the lost one may not.
BOOST_AUTO_TEST_CASE(lost_voter_is_removed_before_a_retiring_one)
{
    const MemberCandidates all {{"a", healthy}, {"b", retiring}, {"c", lost}, {"d", healthy}};
    const auto next = planMembership(group({"a", "b", "c", "d"}), all, three);
    BOOST_TEST((next == group({"a", "b", "d"})));
}

BOOST_AUTO_TEST_CASE(unneeded_learner_is_removed)
{
    const MemberCandidates all {{"a", healthy}, {"b", healthy}, {"c", healthy}, {"d", healthy}};
    BOOST_TEST((planMembership(group({"a", "b", "c"}, {"d"}), all, three) == group({"a", "b", "c"})));
}

// Guards against losing the quorum with a single failure domain.
BOOST_AUTO_TEST_CASE(voters_are_spread_over_all_failure_domains)
{
    const MemberCandidates all = fleet(7);
    const Membership seeds = group({"apapa-1", "apapa-2", "tincan-1"});
    const Membership grown = settle(seeds, all, five);
    BOOST_TEST(grown.voters.size() == five);
    BOOST_TEST(mostInOneDomain(grown, all) == 1U);
    const Membership unbalanced = group({"apapa-1", "apapa-2", "apapa-4", "apapa-5", "tincan-1"});
    BOOST_TEST(mostInOneDomain(settle(unbalanced, all, five), all) == 1U);
}

BOOST_AUTO_TEST_CASE(group_is_rebalanced_after_a_failure_domain_fails_and_recovers)
{
    MemberCandidates all = fleet(7);
    Membership members = settle(group({"apapa-1", "apapa-2", "tincan-1"}), all, five);
    for (const std::string domain : {"onne", "apapa", "tincan"}) {
        setLive(all, domain, false);
        members = settle(members, all, five);
        BOOST_TEST(members.voters.size() == five);
        BOOST_TEST(votersByDomain(members, all)[domain] == 0U);
        BOOST_TEST(mostInOneDomain(members, all) == 2U);
        setLive(all, domain, true);
        members = settle(members, all, five);
        BOOST_TEST(members.voters.size() == five);
        BOOST_TEST(mostInOneDomain(members, all) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(replacing_retired_or_lost_members_keeps_failure_domains_balanced)
{
    MemberCandidates all = fleet(7);
    Membership members = settle(group({"apapa-1", "apapa-2", "tincan-1"}), all, five);
    for (int round = 0; round < 6; ++round) {
        const VmName first = *members.voters.begin();
        const VmName last = *members.voters.rbegin();
        all[first].isRetiring = true;
        all.erase(last);
        all[last + "-new"] = {true, false, true, last.substr(0, last.find('-')), false};
        members = settle(members, all, five);
        BOOST_TEST(members.voters.size() == five);
        BOOST_TEST(mostInOneDomain(members, all) == 1U);
    }
}

// Rebalancing must not cause an avoidable leader change.
BOOST_AUTO_TEST_CASE(leader_is_not_moved_while_another_voter_can_be)
{
    MemberCandidates all = fleet(7);
    all["apapa-1"].isLeader = true;
    const Membership members = settle(group({"apapa-1", "apapa-2", "apapa-4", "apapa-5", "tincan-1"}), all, five);
    BOOST_TEST(members.voters.contains("apapa-1"));
    BOOST_TEST(mostInOneDomain(members, all) == 1U);
}

// Guards against a plan that oscillates when the voters cannot be spread evenly.
BOOST_AUTO_TEST_CASE(group_that_is_spread_as_evenly_as_possible_is_unchanged)
{
    MemberCandidates all = fleet(4);
    setLive(all, "lekki", false);
    setLive(all, "onne", false);
    const Membership members = settle(group({"apapa-1", "apapa-2", "tincan-1"}), all, five);
    BOOST_TEST(mostInOneDomain(members, all) == 2U);
    BOOST_TEST(!planMembership(members, all, five).has_value());
}

BOOST_AUTO_TEST_CASE(excess_voter_is_removed_from_the_failure_domain_with_the_most)
{
    const MemberCandidates all = fleet(2);
    const Membership six = group({"apapa-1", "ikorodu-1", "lekki-1", "onne-1", "tincan-1", "tincan-2"});
    const auto next = planMembership(six, all, five);
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(votersByDomain(*next, all)["tincan"] == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
