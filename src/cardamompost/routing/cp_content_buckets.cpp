#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/routing/cp_content_buckets.hpp>

namespace cardamompost
{

namespace
{

std::uint64_t hashOf(const std::string &bytes)
{
    // 0 is reserved for an empty bucket.
    return bytes.empty() ? 0 : stableHash(bytes) | 1U;
}

} // namespace

void BucketBytes::set(All bytes)
{
    for (std::size_t i = 0; i < count; ++i) {
        set(i, std::move(bytes[i]));
    }
}

void BucketBytes::set(std::size_t number, std::string bytes)
{
    hashes_[number] = hashOf(bytes);
    digests_[number] = static_cast<std::uint32_t>(hashes_[number]);
    bytes_[number] = std::move(bytes);
}

ContentDelta BucketBytes::deltaFrom(const Digests &held, std::size_t maxDeltaBytes) const
{
    ContentDelta delta;
    delta.checksum = checksum();
    std::size_t bytes = 0;
    for (std::uint32_t i = 0; i < count; ++i) {
        const std::uint32_t heldDigest = i < held.size() ? held[i] : 0;
        if (heldDigest == digests_[i]) {
            continue;
        }
        const bool fits = delta.buckets.empty() || bytes + bytes_[i].size() <= maxDeltaBytes;
        if (delta.remainingBuckets == 0 && fits) {
            bytes += bytes_[i].size();
            delta.buckets.push_back({i, bytes_[i]});
        } else {
            ++delta.remainingBuckets;
        }
    }
    return delta;
}

std::uint64_t BucketBytes::checksum() const
{
    return stableHash({reinterpret_cast<const char *>(hashes_.data()), sizeof(hashes_)});
}

} // namespace cardamompost
