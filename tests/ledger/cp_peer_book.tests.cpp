#include <cardamompost/ledger/cp_peer_book.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

constexpr std::int64_t writtenAt = 1'700'000'000'000;

GroupSighting sighting(Term term, std::vector<VmName> members, std::uint64_t document = 1)
{
    const VmName leader = members.front();
    return {leader, term, document, std::move(members)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_book)

BOOST_AUTO_TEST_CASE(a_book_is_read_back_as_it_was_written)
{
    PeerBook book;
    book.note(sighting(3, {"a:1", "b:1", "c:1"}, 17));
    book.note(sighting(4, {"b:1", "c:1", "d:1"}, 18));
    const auto stored = PeerBook::decode(book.encode(writtenAt));
    BOOST_REQUIRE(stored.has_value());
    BOOST_TEST(stored.value().wallMs == writtenAt);
    BOOST_TEST((stored.value().book.last() == book.last()));
    BOOST_TEST((stored.value().book.peers() == book.peers()));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_book_are_an_error)
{
    BOOST_TEST(!PeerBook::decode("no book").has_value());
    BOOST_TEST(!PeerBook::decode(std::string(64, '\xff')).has_value());
}

// The group moved on, VM by VM, while this one was off. Those that left may know where it went, so they are kept behind
// those that count now, and the oldest go first.
BOOST_AUTO_TEST_CASE(former_members_are_kept_behind_the_present_ones_up_to_a_number)
{
    PeerBook book;
    for (Term term = 1; term <= 40; ++term) {
        const std::string base = "vm-" + std::to_string(term);
        book.note(sighting(term, {base + "a:1", base + "b:1", base + "c:1"}));
    }
    BOOST_TEST(book.peers().size() == PeerBook::mostPeers);
    BOOST_TEST(book.peers().front() == "vm-40a:1");
    BOOST_TEST(book.peers()[3] == "vm-39a:1");
}

// Thousands of changes of the document a day are no reason to write to each ledger VM's disk.
BOOST_AUTO_TEST_CASE(only_a_change_of_the_way_is_worth_storing)
{
    PeerBook book;
    BOOST_TEST(book.note(sighting(3, {"a:1", "b:1", "c:1"}, 17)));
    BOOST_TEST(!book.note(sighting(3, {"a:1", "b:1", "c:1"}, 18)));
    BOOST_TEST(book.note(sighting(4, {"a:1", "b:1", "c:1"}, 18)));
    BOOST_TEST(book.note(sighting(4, {"a:1", "b:1", "d:1"}, 18)));
}

BOOST_AUTO_TEST_SUITE_END()
