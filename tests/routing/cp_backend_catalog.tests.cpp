#include <cardamompost/routing/cp_backend_catalog.hpp>

#include <boost/test/unit_test.hpp>

#include <set>

using namespace cardamompost;

namespace
{

BackendServer server(std::size_t number, bool isLeaving = false)
{
    return {"i-" + std::to_string(number), "engines", {"10.0.0.1", 8000}, "apapa", 6, isLeaving};
}

std::vector<BackendServer> servers(std::size_t count)
{
    std::vector<BackendServer> list;
    for (std::size_t i = 0; i < count; ++i) {
        list.push_back(server(i));
    }
    return list;
}

//! Sets a catalog to a whole list, as a leader does after reading it.
void set(BackendCatalog &catalog, const std::vector<BackendServer> &list, BackendListVersion version)
{
    BOOST_REQUIRE(catalog.apply(catalog.changesTo(list), version));
}

std::set<std::string> idsOf(const BackendCatalog &catalog)
{
    std::set<std::string> ids;
    for (const BackendServer &item : catalog.servers()) {
        ids.insert(item.id);
    }
    return ids;
}

} // namespace

BOOST_AUTO_TEST_SUITE(backend_catalog)

// Guards against sending the whole list for a change of a few servers.
BOOST_AUTO_TEST_CASE(a_receiver_gets_the_servers_that_changed_since_its_version)
{
    for (const std::size_t count : {10'000U, 20'000U}) {
        std::vector<BackendServer> list = servers(count);
        BackendCatalog leader;
        BackendCatalog receiver;
        set(leader, list, {1, 1});
        set(receiver, list, {1, 1});
        list[17].isLeaving = true;
        set(leader, list, {1, 2});
        list.erase(list.begin() + 17);
        list.push_back(server(count));
        set(leader, list, {1, 3});
        const std::optional<BackendChanges> changes = leader.changesSince(receiver.version());
        BOOST_REQUIRE(changes.has_value());
        BOOST_TEST(changes->size() == 2U);
        BOOST_TEST(receiver.apply(*changes, leader.version()));
        BOOST_TEST(receiver.checksum() == leader.checksum());
        BOOST_TEST((idsOf(receiver) == idsOf(leader)));
    }
}

// Guards against a list that mixes two leaders' versions: the successor never held a version that its predecessor sent.
BOOST_AUTO_TEST_CASE(a_version_that_the_sender_never_held_is_detected)
{
    BackendCatalog successor;
    BackendCatalog receiver;
    set(successor, servers(10), {1, 1});
    set(receiver, servers(10), {1, 1});
    set(receiver, servers(9), {1, 2});
    set(successor, servers(10), {2, 1});
    const std::optional<BackendChanges> changes = successor.changesSince(receiver.version());
    BOOST_REQUIRE(changes.has_value());
    BOOST_TEST(!receiver.apply(*changes, successor.version()));
    BOOST_TEST((receiver.version() == BackendListVersion {1, 2}));
    BOOST_TEST(receiver.size() == 9U);
}

BOOST_AUTO_TEST_CASE(the_history_is_bounded_and_reports_how_far_it_reaches)
{
    constexpr std::uint64_t lastSequence = 1500;
    BackendCatalog catalog;
    std::vector<BackendServer> list = servers(10);
    set(catalog, list, {1, 1});
    for (std::uint64_t sequence = 2; sequence <= lastSequence; ++sequence) {
        list[sequence % list.size()].slots = static_cast<unsigned>(sequence);
        set(catalog, list, {1, sequence});
    }
    BOOST_TEST(!catalog.changesSince({1, 1}).has_value());
    BOOST_TEST(!catalog.changesSince({}).has_value());
    BOOST_TEST(!catalog.changesSince({2, 1}).has_value());
    const std::optional<BackendChanges> recent = catalog.changesSince({1, lastSequence - 1000});
    BOOST_REQUIRE(recent.has_value());
    // Servers that have changed several times are sent once.
    BOOST_TEST(recent->size() == list.size());
}

BOOST_AUTO_TEST_SUITE_END()
