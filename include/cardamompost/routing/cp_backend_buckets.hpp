#ifndef CARDAMOMPOST_CP_BACKEND_BUCKETS_HPP_INCLUDED
#define CARDAMOMPOST_CP_BACKEND_BUCKETS_HPP_INCLUDED

#include <cardamompost/routing/cp_backend_list.hpp>
#include <cardamompost/routing/cp_content_buckets.hpp>

namespace cardamompost
{

//! Encodes backend servers in buckets, chosen by a hash of the server id.
struct BackendBucketCodec {
    using Content = std::vector<BackendServer>;

    [[nodiscard]] static BucketBytes::All encode(const Content &servers);
    //! Errors: InvalidRequest.
    static Result<void> decode(const std::string &bytes, Content &servers);
};

using BackendBuckets = ContentBuckets<BackendBucketCodec>;

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_BACKEND_BUCKETS_HPP_INCLUDED
