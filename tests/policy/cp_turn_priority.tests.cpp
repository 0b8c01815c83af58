#include <cardamompost/policy/cp_turn_priority.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

BOOST_AUTO_TEST_SUITE(turn_priority)

BOOST_AUTO_TEST_CASE(only_turns_of_late_programs_get_a_lower_priority)
{
    const int first = turnPriority({0, Milliseconds(500)});
    BOOST_TEST(turnPriority({1, Milliseconds(1)}) == first);
    BOOST_TEST(turnPriority({2, std::nullopt}) == first);
    BOOST_TEST(turnPriority({0, Milliseconds(0)}) > first);
    BOOST_TEST(turnPriority({1, Milliseconds(-10)}) > turnPriority({0, Milliseconds(-10)}));
    BOOST_TEST(turnPriority({1, Milliseconds(-10)}) <= 9);
}

BOOST_AUTO_TEST_SUITE_END()
