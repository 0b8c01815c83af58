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

//! The items of one bucket, as they travel and are compared.
struct ContentBucket {
    std::uint32_t number = 0;
    std::string bytes;
};

//! What a process lacks of some content, or as much of it as goes into one message.
struct ContentDelta {
    std::vector<ContentBucket> buckets;
    //! Buckets besides these that differ; the next delta brings them.
    std::uint32_t rest = 0;
    //! Of the whole content, as it is when nothing differs any more.
    std::uint64_t checksum = 0;
};

//! The bytes of some content's buckets, whatever its items are. Thread-safety: none.
class BucketBytes
{
public:
    static constexpr std::size_t count = 64;
    using All = std::array<std::string, count>;
    //! One a bucket; an empty bucket's is 0. No digests at all stand for buckets that are all empty.
    using Digests = std::vector<std::uint32_t>;
    static constexpr std::size_t unbounded = std::numeric_limits<std::size_t>::max();

    void set(All bytes);
    void set(std::size_t number, std::string bytes);
    //! What another process with such digests lacks.
    //! \param mostBytes  after so many the rest is left for later; one bucket is there at least
    [[nodiscard]] ContentDelta differing(const Digests &held, std::size_t mostBytes) const;

    [[nodiscard]] const All &bytes() const
    {
        return bytes_;
    }
    [[nodiscard]] const Digests &digests() const
    {
        return digests_;
    }
    //! Tells apart what digests, which are short since each question carries them, may not.
    [[nodiscard]] std::uint64_t checksum() const;

private:
    All bytes_;
    std::array<std::uint64_t, count> hashes_ {};
    Digests digests_ = Digests(count, 0);
};

//! How content of one kind lies in buckets. Equal content makes equal bytes, whoever encodes it; an empty bucket has
//! none.
template<typename Codec>
concept BucketCodec
    = requires(const typename Codec::Content &content, const std::string &bytes, typename Codec::Content &into)
{
    {
        Codec::encode(content)
        } -> std::same_as<BucketBytes::All>;
    //! Adds what a bucket holds. Errors: InvalidRequest.
    {
        Codec::decode(bytes, into)
        } -> std::same_as<Result<void>>;
};

//! Content in buckets by its items' names, so that two processes find out what differs by a few numbers.
//!
//! Whoever asks for news sends the digests of what it holds, and gets just the buckets that differ. So a change among
//! thousands of items costs some fifty of them, and a new leader whose content is that of the last one sends nothing.
//! What is large comes in several deltas: what has come stays, whatever becomes of the next question.
//! Thread-safety: none.
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
    [[nodiscard]] ContentDelta differing(const Digests &held, std::size_t mostBytes = BucketBytes::unbounded) const
    {
        return bytes_.differing(held, mostBytes);
    }
    //! Errors: InvalidRequest, and nothing is changed.
    Result<void> take(std::vector<ContentBucket> buckets)
    {
        Content checked;
        for (const ContentBucket &bucket : buckets) {
            if (bucket.number >= count) {
                return makeError(ErrorKind::InvalidRequest, "no bucket has this number");
            }
            BOOST_OUTCOME_TRYV(Codec::decode(bucket.bytes, checked));
        }
        for (ContentBucket &bucket : buckets) {
            bytes_.set(bucket.number, std::move(bucket.bytes));
        }
        return boost::outcome_v2::success();
    }
    //! All that the buckets hold, by bucket.
    [[nodiscard]] Content content() const
    {
        Content content;
        for (const std::string &bytes : bytes_.bytes()) {
            // It was read when it was taken.
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
