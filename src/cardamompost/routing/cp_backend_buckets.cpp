#include "../net/cp_schema_codec.hpp"

#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/routing/cp_backend_buckets.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

std::uint32_t digestOf(const std::string &bytes)
{
    // 0 is that of an empty bucket alone.
    return bytes.empty() ? 0 : static_cast<std::uint32_t>(stableHash(bytes)) | 1U;
}

//! Nothing for an empty bucket. Equal servers make equal bytes, whoever encodes them.
std::string encode(std::vector<const BackendServer *> servers)
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
        out[i].setBorn(server.born);
    }
    return toPackedBytes(message);
}

//! Throws kj::Exception for other bytes.
void decode(const std::string &bytes, std::vector<BackendServer> &servers)
{
    if (bytes.empty()) {
        return;
    }
    kj::ArrayInputStream input({reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()});
    capnp::PackedMessageReader reader(input, readerOptions());
    for (const auto in : reader.getRoot<schema::ServerBucket>().getServers()) {
        const Address address = parseAddress(fromText(in.getAddress())).value_or(Address {});
        servers.push_back({fromText(in.getId()), fromText(in.getService()), address, fromText(in.getFailureDomain()),
                           in.getSlots(), in.getIsLeaving(), in.getBorn()});
    }
}

} // namespace

void BackendBuckets::setServers(const std::vector<BackendServer> &servers)
{
    std::array<std::vector<const BackendServer *>, count> parts;
    for (const BackendServer &server : servers) {
        parts[stableHash(server.id) % count].push_back(&server);
    }
    for (std::size_t i = 0; i < count; ++i) {
        bytes_[i] = encode(std::move(parts[i]));
        digests_[i] = digestOf(bytes_[i]);
    }
}

std::vector<BackendBucket> BackendBuckets::differing(const Digests &held) const
{
    std::vector<BackendBucket> buckets;
    for (std::uint32_t i = 0; i < count; ++i) {
        const std::uint32_t other = i < held.size() ? held[i] : 0;
        if (other != digests_[i]) {
            buckets.push_back({i, bytes_[i]});
        }
    }
    return buckets;
}

Result<void> BackendBuckets::take(std::vector<BackendBucket> buckets)
{
    std::vector<BackendServer> checked;
    try {
        for (const BackendBucket &bucket : buckets) {
            if (bucket.number >= count) {
                return makeError(ErrorKind::InvalidRequest, "no bucket of servers has this number");
            }
            decode(bucket.bytes, checked);
        }
    } catch (const kj::Exception &) {
        return makeError(ErrorKind::InvalidRequest, "the bytes are not a bucket of servers");
    }
    for (BackendBucket &bucket : buckets) {
        digests_[bucket.number] = digestOf(bucket.bytes);
        bytes_[bucket.number] = std::move(bucket.bytes);
    }
    return boost::outcome_v2::success();
}

std::vector<BackendServer> BackendBuckets::servers() const
{
    std::vector<BackendServer> servers;
    for (const std::string &bytes : bytes_) {
        decode(bytes, servers);
    }
    return servers;
}

} // namespace cardamompost
