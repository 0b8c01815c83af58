#include <cardamompost/ledger/cp_member_planner.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

constexpr std::size_t three = 3;
constexpr std::size_t five = 5;
const MemberCandidate sound {true, false, true, {}, false};
const MemberCandidate lost {false, false, false, {}, false};
const MemberCandidate retiring {true, true, true, {}, false};
const MemberCandidate behind {true, false, false, {}, false};

Membership group(std::set<VmName> voters, std::set<VmName> learners = {})
{
    return {std::move(voters), std::move(learners)};
}

//! Takes steps until there is none, each learner catching up at once.
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
    BOOST_TEST(false, "the plan never settles");
    return current;
}

//! Sound VMs, so many in each of five failure domains; their names go by domain, as addresses do.
MemberCandidates fleet(std::size_t inEach)
{
    MemberCandidates all;
    for (const std::string domain : {"apapa", "ikorodu", "lekki", "onne", "tincan"}) {
        for (std::size_t i = 1; i <= inEach; ++i) {
            all[domain + "-" + std::to_string(i)] = {true, false, true, domain, false};
        }
    }
    return all;
}

//! Voters by failure domain.
std::map<std::string, std::size_t> spread(const Membership &members, const MemberCandidates &all)
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
    for (const auto &[domain, count] : spread(members, all)) {
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

BOOST_AUTO_TEST_CASE(a_sound_group_is_left_alone_whoever_else_is_there)
{
    const MemberCandidates all {{"a", sound}, {"b", sound}, {"c", sound}, {"d", sound}};
    BOOST_TEST(!planMembership(group({"a", "b", "c"}), all, three).has_value());
}

// A storage VM is gone for good and an empty one comes at another address a second later. A second VM may be lost a few
// seconds after that; if the new one did not vote by then, or the old one still counted, nothing could be committed.
BOOST_AUTO_TEST_CASE(a_lost_voter_is_replaced_and_leaves_only_after_its_successor_votes)
{
    const MemberCandidates all {{"a", sound}, {"b", sound}, {"c", lost}, {"d", sound}};
    const auto first = planMembership(group({"a", "b", "c"}), all, three);
    BOOST_TEST((first == group({"a", "b", "c"}, {"d"})));
    const auto second = planMembership(*first, all, three);
    BOOST_TEST((second == group({"a", "b", "c", "d"})));
    const auto third = planMembership(*second, all, three);
    BOOST_TEST((third == group({"a", "b", "d"})));
    BOOST_TEST((settle(group({"a", "b", "c"}), all) == group({"a", "b", "d"})));
}

BOOST_AUTO_TEST_CASE(a_learner_votes_only_once_it_has_caught_up)
{
    const MemberCandidates all {{"a", sound}, {"b", sound}, {"c", lost}, {"d", behind}};
    BOOST_TEST(!planMembership(group({"a", "b", "c"}, {"d"}), all, three).has_value());
}

BOOST_AUTO_TEST_CASE(a_lost_voter_stays_while_nobody_can_take_its_place)
{
    const MemberCandidates all {{"a", sound}, {"b", sound}, {"c", lost}};
    BOOST_TEST(!planMembership(group({"a", "b", "c"}), all, three).has_value());
}

BOOST_AUTO_TEST_CASE(a_vm_that_is_to_be_emptied_is_replaced_and_never_taken_in)
{
    const MemberCandidates all {{"a", sound}, {"b", sound}, {"c", retiring}, {"d", sound}, {"e", retiring}};
    BOOST_TEST((settle(group({"a", "b", "c"}), all) == group({"a", "b", "d"})));
}

// While one VM is being emptied another loses its disk: the lost one goes first, since the one that is emptied still
// holds all that was committed.
BOOST_AUTO_TEST_CASE(of_two_voters_to_go_the_lost_one_goes_first)
{
    const MemberCandidates all {{"a", sound}, {"b", retiring}, {"c", lost}, {"d", sound}};
    const auto next = planMembership(group({"a", "b", "c", "d"}), all, three);
    BOOST_TEST((next == group({"a", "b", "d"})));
}

BOOST_AUTO_TEST_CASE(a_learner_that_is_not_needed_any_more_is_let_go)
{
    const MemberCandidates all {{"a", sound}, {"b", sound}, {"c", sound}, {"d", sound}};
    BOOST_TEST((planMembership(group({"a", "b", "c"}, {"d"}), all, three) == group({"a", "b", "c"})));
}

// Five of 36 ledger VMs hold what officers said. They were taken in by address, so four of the five stood in one hall;
// its switch fails, and nobody anywhere gets an answer although 28 VMs run. Each hall has to hold at most one of the
// five.
BOOST_AUTO_TEST_CASE(members_of_a_large_fleet_stand_in_as_many_failure_domains_as_there_are)
{
    const MemberCandidates all = fleet(7);
    const Membership seeds = group({"apapa-1", "apapa-2", "tincan-1"});
    const Membership grown = settle(seeds, all, five);
    BOOST_TEST(grown.voters.size() == five);
    BOOST_TEST(mostInOneDomain(grown, all) == 1U);
    const Membership crowded = group({"apapa-1", "apapa-2", "apapa-4", "apapa-5", "tincan-1"});
    BOOST_TEST(mostInOneDomain(settle(crowded, all, five), all) == 1U);
}

// A whole hall goes dark and comes back an hour later. Meanwhile its member is replaced from the halls that are left,
// no two more of one hall; afterwards the group is spread as before, without anybody's doing.
BOOST_AUTO_TEST_CASE(a_failure_domain_that_is_lost_and_comes_back_leaves_the_group_spread)
{
    MemberCandidates all = fleet(7);
    Membership members = settle(group({"apapa-1", "apapa-2", "tincan-1"}), all, five);
    for (const std::string domain : {"onne", "apapa", "tincan"}) {
        setLive(all, domain, false);
        members = settle(members, all, five);
        BOOST_TEST(members.voters.size() == five);
        BOOST_TEST(spread(members, all)[domain] == 0U);
        BOOST_TEST(mostInOneDomain(members, all) == 2U);
        setLive(all, domain, true);
        members = settle(members, all, five);
        BOOST_TEST(members.voters.size() == five);
        BOOST_TEST(mostInOneDomain(members, all) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(a_retired_or_replaced_member_keeps_the_group_spread)
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

// Programs wait while another VM takes the lead over. A group that is only moved to other halls need not cost that.
BOOST_AUTO_TEST_CASE(the_leader_stays_while_others_can_make_room)
{
    MemberCandidates all = fleet(7);
    all["apapa-1"].isLeader = true;
    const Membership members = settle(group({"apapa-1", "apapa-2", "apapa-4", "apapa-5", "tincan-1"}), all, five);
    BOOST_TEST(members.voters.contains("apapa-1"));
    BOOST_TEST(mostInOneDomain(members, all) == 1U);
}

// Three halls and five members: two, two and one is all there is, and nothing is moved to and fro for it.
BOOST_AUTO_TEST_CASE(a_group_that_is_spread_as_far_as_it_can_be_is_left_alone)
{
    MemberCandidates all = fleet(4);
    setLive(all, "lekki", false);
    setLive(all, "onne", false);
    const Membership members = settle(group({"apapa-1", "apapa-2", "tincan-1"}), all, five);
    BOOST_TEST(mostInOneDomain(members, all) == 2U);
    BOOST_TEST(!planMembership(members, all, five).has_value());
}

BOOST_AUTO_TEST_CASE(a_voter_too_many_leaves_the_failure_domain_with_the_most)
{
    const MemberCandidates all = fleet(2);
    const Membership six = group({"apapa-1", "ikorodu-1", "lekki-1", "onne-1", "tincan-1", "tincan-2"});
    const auto next = planMembership(six, all, five);
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(spread(*next, all)["tincan"] == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
