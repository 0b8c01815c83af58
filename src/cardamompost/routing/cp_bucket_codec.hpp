#ifndef CARDAMOMPOST_CP_BUCKET_CODEC_HPP_INCLUDED
#define CARDAMOMPOST_CP_BUCKET_CODEC_HPP_INCLUDED

#include "../net/cp_schema_codec.hpp"

#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/routing/cp_content_buckets.hpp>

namespace cardamompost
{

//! The bucket of an item, which is the same in every process and release.
[[nodiscard]] inline std::size_t bucketOf(std::string_view name)
{
    return stableHash(name) % BucketBytes::count;
}

//! Reads the packed message of a bucket; empty bytes are an empty bucket. Errors: InvalidRequest for malformed bytes,
//! and those of `read`.
template<typename Root, typename Reader>
Result<void> readBucket(const std::string &bytes, Reader read)
{
    if (bytes.empty()) {
        return boost::outcome_v2::success();
    }
    try {
        kj::ArrayInputStream input({reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()});
        // A word of valid content takes at least a byte in the packed encoding.
        capnp::PackedMessageReader message(input, readerOptions(bytes.size()));
        return read(message.getRoot<Root>());
    } catch (const kj::Exception &) {
        return makeError(ErrorKind::InvalidRequest, "malformed bucket");
    }
}

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_BUCKET_CODEC_HPP_INCLUDED
