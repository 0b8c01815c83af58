#ifndef CARDAMOMPOST_CP_CONTENT_BUCKETS_HPP_INCLUDED
#define CARDAMOMPOST_CP_CONTENT_BUCKETS_HPP_INCLUDED

#include <cardamompost/core/cp_error.hpp>

#include <array>
#include <concepts>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace cardamompost
{

//! The encoded items of one bucket.
struct ContentBucket {
    std::uint32_t number = 0;
    std::string bytes;
};

//! The buckets in which a receiver is stale, as many as fit into one message.
struct ContentDelta {
    std::vector<ContentBucket> buckets;
    //! Number of differing buckets left for later deltas.
    std::uint32_t remainingBuckets = 0;
    //! Checksum of the whole content of the sender.
    std::uint64_t checksum = 0;
};

//! Encoded buckets of any kind of content, with their digests. Thread-safety: none.
class BucketBytes
{
public:
    static constexpr std::size_t count = 64;
    using All = std::array<std::string, count>;
    //! One digest per bucket, 0 for an empty bucket. An empty vector stands for empty content.
    using Digests = std::vector<std::uint32_t>;
    static constexpr std::size_t unbounded = std::numeric_limits<std::size_t>::max();

    void set(All bytes);
    void set(std::size_t number, std::string bytes);
    //! The buckets whose digests differ from those that a receiver holds.
    //! \param maxDeltaBytes  size limit; a delta has at least one differing bucket, whatever its size
    [[nodiscard]] ContentDelta deltaFrom(const Digests &held, std::size_t maxDeltaBytes) const;

    [[nodiscard]] const All &bytes() const
    {
        return bytes_;
    }
    [[nodiscard]] const Digests &digests() const
    {
        return digests_;
    }
    //! A 64-bit hash of all buckets; detects differences that collide in the shorter digests.
    [[nodiscard]] std::uint64_t checksum() const;

private:
    All bytes_;
    std::array<std::uint64_t, count> hashes_ {};
    Digests digests_ = Digests(count, 0);
};

//! Encodes content of one kind in buckets. Equal content encodes to equal bytes in every process; an empty bucket
//! encodes to no bytes.
template<typename Codec>
concept BucketCodec
    = requires(const typename Codec::Content &content, const std::string &bytes, typename Codec::Content &into)
{
    {
        Codec::encode(content)
        } -> std::same_as<BucketBytes::All>;
    //! Adds the items of a bucket to `into`. Errors: InvalidRequest.
    {
        Codec::decode(bytes, into)
        } -> std::same_as<Result<void>>;
};

//! Content hashed into buckets by item name, for anti-entropy between processes.
//!
//! A receiver sends the digests of its buckets and gets those that differ, so a small change costs a few buckets, and a
//! new leader with unchanged content sends none. Large content is sent in several deltas, each of which is applied
//! independently of the next. Thread-safety: none.
template<BucketCodec Codec>
class ContentBuckets
{
public:
    using Content = typename Codec::Content;
    using Digests = BucketBytes::Digests;
    static constexpr std::size_t count = BucketBytes::count;

    void set(const Content &content)
    {
        bytes_.set(Codec::encode(content));
    }
    [[nodiscard]] ContentDelta deltaFrom(const Digests &held, std::size_t maxDeltaBytes = BucketBytes::unbounded) const
    {
        return bytes_.deltaFrom(held, maxDeltaBytes);
    }
    //! Replaces the given buckets. Errors: InvalidRequest, leaving the content unchanged.
    Result<void> replaceBuckets(std::vector<ContentBucket> buckets)
    {
        Content checked;
        for (const ContentBucket &bucket : buckets) {
            if (bucket.number >= count) {
                return makeError(ErrorKind::InvalidRequest, "the bucket number is out of range");
            }
            BOOST_OUTCOME_TRYV(Codec::decode(bucket.bytes, checked));
        }
        for (ContentBucket &bucket : buckets) {
            bytes_.set(bucket.number, std::move(bucket.bytes));
        }
        return boost::outcome_v2::success();
    }
    //! The decoded items of all buckets, in bucket order.
    [[nodiscard]] Content content() const
    {
        Content content;
        for (const std::string &bytes : bytes_.bytes()) {
            // Never fails: each bucket was encoded by set() or checked by replaceBuckets().
            static_cast<void>(Codec::decode(bytes, content));
        }
        return content;
    }

    [[nodiscard]] const Digests &digests() const
    {
        return bytes_.digests();
    }
    [[nodiscard]] std::uint64_t checksum() const
    {
        return bytes_.checksum();
    }

private:
    BucketBytes bytes_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CONTENT_BUCKETS_HPP_INCLUDED
