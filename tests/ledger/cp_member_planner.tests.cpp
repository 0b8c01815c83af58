#include <cardamompost/ledger/cp_member_planner.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

constexpr std::size_t three = 3;
const MemberCandidate sound {true, false, true};
const MemberCandidate lost {false, false, false};
const MemberCandidate retiring {true, true, true};
const MemberCandidate behind {true, false, false};

Membership group(std::set<VmName> voters, std::set<VmName> learners = {})
{
    return {std::move(voters), std::move(learners)};
}

//! Takes steps until there is none, each learner catching up at once.
Membership settle(Membership current, MemberCandidates candidates)
{
    for (int step = 0; step < 20; ++step) {
        const std::optional<Membership> next = planMembership(current, candidates, three);
        if (!next) {
            return current;
        }
        BOOST_TEST(next->isSingleStepFrom(current));
        current = *next;
    }
    BOOST_TEST(false, "the plan never settles");
    return current;
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

BOOST_AUTO_TEST_SUITE_END()
