#include "cp_bucket_codec.hpp"

#include <cardamompost/routing/cp_backend_buckets.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

using BucketServers = std::vector<const BackendServer *>;

std::string encodeBucket(BucketServers servers)
{
    if (servers.empty()) {
        return {};
    }
    std::sort(servers.begin(), servers.end(),
              [](const BackendServer *left, const BackendServer *right) { return left->id < right->id; });
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<schema::ServerBucket>().initServers(static_cast<unsigned>(servers.size()));
    for (unsigned i = 0; i < out.size(); ++i) {
        const BackendServer &server = *servers[i];
        out[i].setId(toText(server.id));
        out[i].setService(toText(server.service));
        out[i].setAddress(toText(server.address.toString()));
        out[i].setFailureDomain(toText(server.failureDomain));
        out[i].setSlots(server.slots);
        out[i].setIsLeaving(server.isLeaving);
        out[i].setBorn(server.incarnation);
    }
    return toPackedBytes(message);
}

} // namespace

BucketBytes::All BackendBucketCodec::encode(const Content &servers)
{
    std::array<BucketServers, BucketBytes::count> buckets;
    for (const BackendServer &server : servers) {
        buckets[bucketOf(server.id)].push_back(&server);
    }
    BucketBytes::All all;
    std::transform(buckets.begin(), buckets.end(), all.begin(), encodeBucket);
    return all;
}

Result<void> BackendBucketCodec::decode(const std::string &bytes, Content &servers)
{
    return readBucket<schema::ServerBucket>(bytes, [&](schema::ServerBucket::Reader bucket) -> Result<void> {
        for (const auto in : bucket.getServers()) {
            const Address address = parseAddress(fromText(in.getAddress())).value_or(Address {});
            servers.push_back({fromText(in.getId()), fromText(in.getService()), address,
                               fromText(in.getFailureDomain()), in.getSlots(), in.getIsLeaving(), in.getBorn()});
        }
        return boost::outcome_v2::success();
    });
}

} // namespace cardamompost
