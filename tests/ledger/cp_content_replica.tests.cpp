#include <cardamompost/ledger/cp_content_replica.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

constexpr std::size_t maxReplyBytes = 4096;

std::vector<BackendServer> servers(std::size_t count)
{
    std::vector<BackendServer> list;
    for (std::size_t i = 0; i < count; ++i) {
        BackendServer server;
        server.id = "i-" + std::to_string(i);
        server.service = "engines";
        list.push_back(std::move(server));
    }
    return list;
}

//! Answers a replica's requests about the list as a leader does.
class Leader
{
public:
    void set(const std::vector<BackendServer> &list, BackendListVersion version)
    {
        BOOST_REQUIRE(catalog.apply(catalog.changesTo(list), version));
    }
    [[nodiscard]] UpdateReply answer(const UpdateRequest &request) const
    {
        UpdateReply reply;
        reply.isLeader = true;
        reply.list = catalog.version();
        if (request.list.term == 0 || !request.listDigests.empty()) {
            BackendBuckets buckets;
            buckets.set(catalog.servers());
            reply.listDelta = buckets.deltaFrom(request.listDigests, maxReplyBytes);
        } else {
            reply.listChanges = catalog.changesSince(request.list);
            reply.mustResyncList = !reply.listChanges;
        }
        return reply;
    }
    //! Answers requests until the replica holds the list. \returns the number of replies
    std::size_t synchronize(ContentReplica &replica) const
    {
        constexpr std::size_t maxReplies = 100;
        std::size_t replies = 0;
        while (replica.catalog().version() != catalog.version() && replies < maxReplies) {
            UpdateRequest request;
            replica.describe(request);
            replica.apply(answer(request));
            ++replies;
        }
        return replies;
    }

    BackendCatalog catalog;
};

} // namespace

BOOST_AUTO_TEST_SUITE(content_replica)

BOOST_AUTO_TEST_CASE(a_first_list_is_applied_once_all_of_its_parts_have_arrived)
{
    Leader leader;
    leader.set(servers(1000), {1, 1});
    ContentReplica replica;
    BOOST_TEST(leader.synchronize(replica) > 1U);
    BOOST_TEST(replica.catalog().checksum() == leader.catalog.checksum());
}

BOOST_AUTO_TEST_CASE(a_change_is_applied_by_one_reply)
{
    Leader leader;
    std::vector<BackendServer> list = servers(1000);
    leader.set(list, {1, 1});
    ContentReplica replica;
    leader.synchronize(replica);
    list[5].isLeaving = true;
    list.pop_back();
    leader.set(list, {1, 2});
    BOOST_TEST(leader.synchronize(replica) == 1U);
    BOOST_TEST(replica.catalog().find("i-5")->isLeaving);
    BOOST_TEST(replica.catalog().size() == list.size());
}

// Guards against a replica that keeps servers of a deposed leader's last versions for good.
BOOST_AUTO_TEST_CASE(a_version_that_the_new_leader_never_held_is_replaced_bucket_by_bucket)
{
    Leader deposed;
    std::vector<BackendServer> list = servers(500);
    deposed.set(list, {1, 1});
    Leader successor = deposed;
    std::vector<BackendServer> changed = list;
    changed.pop_back();
    deposed.set(changed, {1, 2});
    ContentReplica replica;
    deposed.synchronize(replica);
    successor.set(list, {2, 1});
    successor.synchronize(replica);
    BOOST_TEST((replica.catalog().version() == BackendListVersion {2, 1}));
    BOOST_TEST(replica.catalog().checksum() == successor.catalog.checksum());
    // A leader without any history of the replica's versions.
    Leader other;
    other.set(servers(400), {3, 1});
    other.synchronize(replica);
    BOOST_TEST(replica.catalog().checksum() == other.catalog.checksum());
}

BOOST_AUTO_TEST_SUITE_END()
