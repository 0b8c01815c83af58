#include <cardamompost/core/cp_invariant.hpp>
#include <cardamompost/ledger/cp_content_replica.hpp>

namespace cardamompost
{

namespace
{

// Bounds each delta of a reply, so that both arrive within the request's timeout on a slow link.
constexpr std::size_t maxDeltaBytes = 128U << 10U;
// Changes to the list in one reply. Beyond that the list is compared bucket by bucket, which takes several replies.
constexpr std::size_t maxListChanges = 1024;
// Approximate size of a server in a message, as counted towards the limit on bytes.
constexpr std::size_t bytesPerServer = 128;

std::size_t byteSize(const std::optional<ContentDelta> &delta)
{
    std::size_t bytes = 0;
    if (delta) {
        for (const ContentBucket &bucket : delta->buckets) {
            bytes += bucket.bytes.size();
        }
    }
    return bytes;
}

//! Applies a delta to the buckets. \returns true once they match the sender's. Errors: InvalidRequest; the buckets are
//! then cleared, so that all of them are requested again.
template<typename Buckets>
Result<bool> applyDelta(Buckets &buckets, const ContentDelta &delta)
{
    Result<void> applied = buckets.replaceBuckets(delta.buckets);
    const bool isComplete = applied.has_value() && delta.remainingBuckets == 0;
    if (isComplete && buckets.checksum() != delta.checksum) {
        // A collision of digests hides a difference between two buckets.
        applied = makeError(ErrorKind::InvalidRequest, "the buckets do not match the leader's checksum");
    }
    if (!applied) {
        buckets = {};
        return applied.error();
    }
    return isComplete;
}

} // namespace

void ContentReplica::setDocument(const RouteDocument &document)
{
    if (document.version > documentVersion_) {
        document_.set(document);
        documentVersion_ = document.version;
        incomingDocument_.reset();
    }
}

BackendChanges ContentReplica::setList(std::vector<BackendServer> servers, std::uint64_t term)
{
    for (BackendServer &server : servers) {
        const BackendServer *known = catalog_.find(server.id);
        if (known != nullptr && known->incarnation > server.incarnation) {
            server = *known;
        }
    }
    BackendChanges changes = catalog_.changesTo(servers);
    const BackendListVersion &current = catalog_.version();
    if (current.term != term || changes.size() != 0) {
        const std::uint64_t sequence = current.term == term ? current.sequence + 1 : 1;
        checkInvariant(catalog_.apply(changes, {term, sequence}), "changes to a list match its checksum");
        resync_.reset();
    }
    return changes;
}

ContentReplica::Applied ContentReplica::apply(const UpdateReply &reply)
{
    Applied applied;
    applyDocument(reply, applied);
    applyList(reply, applied);
    if (reply.suspects) {
        suspects_.apply(*reply.suspects);
    }
    return applied;
}

void ContentReplica::applyDocument(const UpdateReply &reply, Applied &applied)
{
    // A deposed leader may still reply with an older version.
    if (!reply.documentDelta || reply.documentVersion <= documentVersion_) {
        return;
    }
    if (!incomingDocument_) {
        incomingDocument_ = document_;
    }
    const Result<bool> isComplete = applyDelta(*incomingDocument_, *reply.documentDelta);
    if (!isComplete) {
        applied.documentError = isComplete.error();
    } else if (isComplete.value()) {
        document_ = std::move(*incomingDocument_);
        incomingDocument_.reset();
        documentVersion_ = reply.documentVersion;
        applied.document = document_.content();
        applied.document->version = documentVersion_;
    }
}

void ContentReplica::applyList(const UpdateReply &reply, Applied &applied)
{
    if (reply.list <= catalog_.version()) {
        return;
    }
    if (reply.listChanges && catalog_.apply(*reply.listChanges, reply.list)) {
        resync_.reset();
        applied.servers = reply.listChanges;
        return;
    }
    if (reply.listChanges || reply.mustResyncList) {
        startResync();
        return;
    }
    if (!reply.listDelta) {
        return;
    }
    if (!resync_) {
        startResync();
    }
    const Result<bool> isComplete = applyDelta(*resync_, *reply.listDelta);
    if (!isComplete) {
        applied.listError = isComplete.error();
    } else if (isComplete.value()) {
        applied.servers = catalog_.changesTo(resync_->content());
        static_cast<void>(catalog_.apply(*applied.servers, reply.list));
        resync_.reset();
    }
}

void ContentReplica::startResync()
{
    resync_.emplace();
    resync_->set(catalog_.servers());
}

void ContentReplica::describe(UpdateRequest &request) const
{
    request.documentVersion = documentVersion_;
    request.documentDigests = incomingDocument_ ? incomingDocument_->digests() : document_.digests();
    request.list = catalog_.version();
    request.suspectsVersion = suspects_.version();
    request.listDigests = resync_ ? resync_->digests() : BackendBuckets::Digests {};
}

std::size_t ContentReplica::addTo(UpdateReply &reply, const UpdateRequest &request)
{
    if (request.documentVersion < documentVersion_) {
        reply.documentVersion = documentVersion_;
        reply.documentDelta = document_.deltaFrom(request.documentDigests, maxDeltaBytes);
    }
    if (request.list < catalog_.version()) {
        addList(reply, request);
    }
    if (request.suspectsVersion < suspects_.version()) {
        reply.suspects = suspects_.changesSince(request.suspectsVersion);
    }
    const std::size_t changes = reply.listChanges ? reply.listChanges->size() : 0;
    const std::size_t suspects = reply.suspects ? reply.suspects->added.size() + reply.suspects->removed.size() : 0;
    return byteSize(reply.listDelta) + byteSize(reply.documentDelta) + changes * bytesPerServer
        + suspects * sizeof(RequestFingerprint);
}

void ContentReplica::addList(UpdateReply &reply, const UpdateRequest &request)
{
    if (request.list.term == 0 || !request.listDigests.empty()) {
        reply.listDelta = listBuckets().deltaFrom(request.listDigests, maxDeltaBytes);
        return;
    }
    reply.listChanges = catalog_.changesSince(request.list);
    if (!reply.listChanges || reply.listChanges->size() > maxListChanges) {
        reply.listChanges.reset();
        reply.mustResyncList = true;
    }
}

const BackendBuckets &ContentReplica::listBuckets()
{
    if (bucketsVersion_ != catalog_.version()) {
        listBuckets_.set(catalog_.servers());
        bucketsVersion_ = catalog_.version();
    }
    return listBuckets_;
}

} // namespace cardamompost
