#include <cardamompost/ledger/cp_membership_cache.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

constexpr std::int64_t writtenAt = 1'700'000'000'000;

GroupView groupView(Term term, std::vector<VmName> members, std::uint64_t document = 1)
{
    const VmName leader = members.front();
    return {leader, term, document, std::move(members)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_book)

BOOST_AUTO_TEST_CASE(a_book_is_read_back_as_it_was_written)
{
    MembershipCache cache;
    cache.note(groupView(3, {"a:1", "b:1", "c:1"}, 17));
    cache.note(groupView(4, {"b:1", "c:1", "d:1"}, 18));
    const auto stored = MembershipCache::decode(cache.encode(writtenAt));
    BOOST_REQUIRE(stored.has_value());
    BOOST_TEST(stored.value().wallMs == writtenAt);
    BOOST_TEST((stored.value().cache.last() == cache.last()));
    BOOST_TEST((stored.value().cache.peers() == cache.peers()));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_book_are_an_error)
{
    BOOST_TEST(!MembershipCache::decode("no book").has_value());
    BOOST_TEST(!MembershipCache::decode(std::string(64, '\xff')).has_value());
}

// The group moved on, VM by VM, while this one was off. Those that left may know where it went, so they are kept behind
// those that count now, and the oldest go first.
BOOST_AUTO_TEST_CASE(former_members_are_kept_behind_the_present_ones_up_to_a_number)
{
    MembershipCache cache;
    for (Term term = 1; term <= 40; ++term) {
        const std::string base = "vm-" + std::to_string(term);
        cache.note(groupView(term, {base + "a:1", base + "b:1", base + "c:1"}));
    }
    BOOST_TEST(cache.peers().size() == MembershipCache::maxPeers);
    BOOST_TEST(cache.peers().front() == "vm-40a:1");
    BOOST_TEST(cache.peers()[3] == "vm-39a:1");
}

// Thousands of changes of the document a day are no reason to write to each ledger VM's disk.
BOOST_AUTO_TEST_CASE(only_a_change_of_the_way_is_worth_storing)
{
    MembershipCache cache;
    BOOST_TEST(cache.note(groupView(3, {"a:1", "b:1", "c:1"}, 17)));
    BOOST_TEST(!cache.note(groupView(3, {"a:1", "b:1", "c:1"}, 18)));
    BOOST_TEST(cache.note(groupView(4, {"a:1", "b:1", "c:1"}, 18)));
    BOOST_TEST(cache.note(groupView(4, {"a:1", "b:1", "d:1"}, 18)));
}

BOOST_AUTO_TEST_SUITE_END()
