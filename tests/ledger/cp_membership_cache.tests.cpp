#include <cardamompost/ledger/cp_membership_cache.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

constexpr std::int64_t writtenAtMs = 1'700'000'000'000;

GroupView groupView(Term term, std::vector<VmName> members, std::uint64_t document = 1)
{
    const VmName leader = members.front();
    return {leader, term, document, std::move(members)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership_cache)

BOOST_AUTO_TEST_CASE(cache_round_trips_through_its_encoding)
{
    MembershipCache cache;
    cache.update(groupView(3, {"a:1", "b:1", "c:1"}, 17));
    cache.update(groupView(4, {"b:1", "c:1", "d:1"}, 18));
    const auto stored = MembershipCache::decode(cache.encode(writtenAtMs));
    BOOST_REQUIRE(stored.has_value());
    BOOST_TEST(stored.value().wallMs == writtenAtMs);
    BOOST_TEST((stored.value().cache.lastView() == cache.lastView()));
    BOOST_TEST((stored.value().cache.peers() == cache.peers()));
}

BOOST_AUTO_TEST_CASE(invalid_bytes_are_an_error)
{
    BOOST_TEST(!MembershipCache::decode("not a cache").has_value());
    BOOST_TEST(!MembershipCache::decode(std::string(64, '\xff')).has_value());
}

// Former members may know the current group, even if all of its members were replaced.
BOOST_AUTO_TEST_CASE(former_members_are_kept_after_the_current_ones_up_to_the_limit)
{
    MembershipCache cache;
    for (Term term = 1; term <= 40; ++term) {
        const std::string base = "vm-" + std::to_string(term);
        cache.update(groupView(term, {base + "a:1", base + "b:1", base + "c:1"}));
    }
    BOOST_TEST(cache.peers().size() == MembershipCache::maxPeers);
    BOOST_TEST(cache.peers().front() == "vm-40a:1");
    BOOST_TEST(cache.peers()[3] == "vm-39a:1");
}

// Guards against a disk write on each ledger VM for every document update.
BOOST_AUTO_TEST_CASE(only_a_change_of_leader_term_or_members_requires_storing)
{
    MembershipCache cache;
    BOOST_TEST(cache.update(groupView(3, {"a:1", "b:1", "c:1"}, 17)));
    BOOST_TEST(!cache.update(groupView(3, {"a:1", "b:1", "c:1"}, 18)));
    BOOST_TEST(cache.update(groupView(4, {"a:1", "b:1", "c:1"}, 18)));
    BOOST_TEST(cache.update(groupView(4, {"a:1", "b:1", "d:1"}, 18)));
}

BOOST_AUTO_TEST_SUITE_END()
