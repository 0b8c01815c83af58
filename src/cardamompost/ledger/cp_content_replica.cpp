#include <cardamompost/ledger/cp_content_replica.hpp>

namespace cardamompost
{

namespace
{

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

ContentReplica::Applied ContentReplica::apply(const UpdateReply &reply)
{
    Applied applied;
    applyDocument(reply, applied);
    applyList(reply, applied);
    return applied;
}

void ContentReplica::applyDocument(const UpdateReply &reply, Applied &applied)
{
    // A deposed leader may still reply with an older version.
    if (!reply.documentDelta || reply.documentVersion <= documentVersion_) {
        return;
    }
    const Result<bool> isComplete = applyDelta(documentBuckets_, *reply.documentDelta);
    if (!isComplete) {
        applied.documentError = isComplete.error();
    } else if (isComplete.value()) {
        documentVersion_ = reply.documentVersion;
        applied.document = documentBuckets_.content();
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
    request.documentDigests = documentBuckets_.digests();
    request.list = catalog_.version();
    request.listDigests = resync_ ? resync_->digests() : BackendBuckets::Digests {};
}

} // namespace cardamompost
