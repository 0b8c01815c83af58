#ifndef CARDAMOMPOST_CP_DOCUMENT_BUCKETS_HPP_INCLUDED
#define CARDAMOMPOST_CP_DOCUMENT_BUCKETS_HPP_INCLUDED

#include <cardamompost/routing/cp_content_buckets.hpp>
#include <cardamompost/routing/cp_route_document.hpp>

namespace cardamompost
{

//! Encodes a route document in buckets: routes by host and prefix, services and accounts by name, and the limits on
//! callers in a fixed bucket. The version is sent separately, as it changes with every document.
struct DocumentBucketCodec {
    using Content = RouteDocument;

    [[nodiscard]] static BucketBytes::All encode(const Content &document);
    //! Errors: InvalidRequest.
    static Result<void> decode(const std::string &bytes, Content &document);
};

using DocumentBuckets = ContentBuckets<DocumentBucketCodec>;

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_DOCUMENT_BUCKETS_HPP_INCLUDED
