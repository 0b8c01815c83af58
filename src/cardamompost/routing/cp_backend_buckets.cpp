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
        encodeBackendServer(*servers[i], out[i]);
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
            servers.push_back(decodeBackendServer(in));
        }
        return boost::outcome_v2::success();
    });
}

} // namespace cardamompost
