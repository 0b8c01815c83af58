#include "gateway/cp_entry_replica.hpp"

#include "platform/cp_platform_adapter.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

//! An entry's parts without its sockets; news are handed to it as a leader would answer.
struct Entry {
    boost::asio::io_context io;
    GatewaySettings settings;
    PlatformAdapter adapter;
    EventLog log {"entry-0", {}, "error"};
    MetricRegistry metrics;
    PeerTraffic traffic;
    PeerClients peers {io.get_executor(), traffic};
    LedgerClient ledger {{io, settings, peers, log, metrics}};
    BackendPool pool {"entry-0", "apapa", metrics};
    Forwarder forwarder {{io, adapter, settings, pool, ledger, log, metrics}};
    EntryReplica replica {{forwarder, pool, ledger, log}};

    void take(std::uint64_t version, ContentDelta delta)
    {
        UpdateReply reply;
        reply.isLeader = true;
        reply.documentVersion = version;
        reply.documentDelta = std::move(delta);
        replica.take(reply);
    }
    [[nodiscard]] std::uint64_t version() const
    {
        return forwarder.table() ? forwarder.table()->version() : 0;
    }
};

DocumentBuckets bucketsOf(std::size_t routes, Milliseconds timeout = Milliseconds(4000))
{
    RouteDocument document;
    document.services.push_back({"engines", 10, false, {}});
    for (std::size_t i = 0; i < routes; ++i) {
        Route route;
        route.name = "r-" + std::to_string(i);
        route.host = "h.example";
        route.prefix = "/" + route.name + "/";
        route.timeout = timeout;
        route.shares = {{"engines", 1}};
        document.routes.push_back(std::move(route));
    }
    DocumentBuckets buckets;
    buckets.set(document);
    return buckets;
}

constexpr std::size_t someRoutes = 500;
constexpr std::size_t smallAnswer = 5000;

} // namespace

BOOST_AUTO_TEST_SUITE(entry_news)

// A long document comes in several answers. An entry that went by the first of them would refuse callers of routes that
// are on their way.
BOOST_AUTO_TEST_CASE(a_document_is_in_force_once_all_of_it_has_come)
{
    Entry entry;
    const DocumentBuckets leader = bucketsOf(someRoutes);
    DocumentBuckets held;
    for (ContentDelta delta = leader.deltaFrom({}, smallAnswer); delta.rest > 0;
         delta = leader.deltaFrom(held.digests(), smallAnswer)) {
        BOOST_REQUIRE(held.take(delta.buckets).has_value());
        entry.take(5, std::move(delta));
        BOOST_TEST(entry.version() == 0U);
    }
    entry.take(5, leader.deltaFrom(held.digests(), smallAnswer));
    BOOST_TEST(entry.version() == 5U);
    BOOST_TEST(entry.forwarder.table()->hasRoute("r-0"));
    BOOST_TEST(entry.forwarder.table()->hasRoute("r-499"));
}

// Two different buckets happen to have one digest, which is short: the leader takes the entry's for its own and leaves
// it out. The entry would go by a mixture of two documents for good. What it holds is not the whole that the leader
// speaks of, so it holds nothing any more and gets everything anew.
BOOST_AUTO_TEST_CASE(parts_that_do_not_make_the_whole_are_never_in_force)
{
    Entry entry;
    entry.take(5, bucketsOf(someRoutes).deltaFrom({}));
    const DocumentBuckets next = bucketsOf(someRoutes, Milliseconds(5000));
    ContentDelta lacking = next.deltaFrom(bucketsOf(someRoutes).digests());
    BOOST_REQUIRE(lacking.buckets.size() > 1U);
    lacking.buckets.pop_back();
    entry.take(6, lacking);
    BOOST_TEST(entry.version() == 5U);
    entry.take(6, next.deltaFrom({}));
    BOOST_TEST(entry.version() == 6U);
}

// A leader that was replaced still answers, with an older document.
BOOST_AUTO_TEST_CASE(an_older_document_takes_no_newer_ones_place)
{
    Entry entry;
    entry.take(6, bucketsOf(2).deltaFrom({}));
    entry.take(5, bucketsOf(1).deltaFrom({}));
    BOOST_TEST(entry.version() == 6U);
    BOOST_TEST(entry.forwarder.table()->hasRoute("r-1"));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_bucket_leave_the_document_in_force)
{
    Entry entry;
    entry.take(5, bucketsOf(2).deltaFrom({}));
    entry.take(6, {{{0, "nonsense"}}, 0, 0});
    BOOST_TEST(entry.version() == 5U);
    entry.take(6, bucketsOf(3).deltaFrom({}));
    BOOST_TEST(entry.version() == 6U);
}

BOOST_AUTO_TEST_SUITE_END()
