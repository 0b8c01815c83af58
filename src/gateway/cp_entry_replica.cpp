#include "cp_entry_replica.hpp"

namespace cardamompost
{

namespace
{

// Staleness of the route document from which a warning is logged.
constexpr Milliseconds maxStaleness {1000};

//! Applies a delta to the buckets. \returns true once they match the leader's. Errors: InvalidRequest; the buckets are
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

std::uint64_t EntryReplica::documentVersion() const
{
    return parts_.forwarder.table() ? parts_.forwarder.table()->version() : 0;
}

void EntryReplica::apply(const UpdateReply &update)
{
    applyDocumentDelta(update);
    applyBackendListDelta(update);
    parts_.ledger.setHeldContent(
        {documentVersion(), parts_.pool.version(), documentBuckets_.digests(), listBuckets_.digests()});
    logIfStale();
}

void EntryReplica::applyDocumentDelta(const UpdateReply &update)
{
    const std::uint64_t current = documentVersion();
    // A deposed leader may still reply with an older version.
    if (!update.documentDelta || update.documentVersion <= current) {
        return;
    }
    const Result<bool> applied = applyDelta(documentBuckets_, *update.documentDelta);
    if (!applied) {
        parts_.log.write(LogLevel::Error, "document.unreadable",
                         {{"version", update.documentVersion}, {"error", applied.error().message}});
        return;
    }
    if (!applied.value()) {
        return;
    }
    RouteDocument document = documentBuckets_.content();
    document.version = update.documentVersion;
    parts_.forwarder.setTable(std::make_shared<const RouteTable>(std::move(document)));
    parts_.log.info("document.in_force",
                    {{"version", update.documentVersion},
                     {"before", current},
                     {"behind_ms", parts_.ledger.staleness().staleFor(std::chrono::steady_clock::now()).count()}});
}

void EntryReplica::applyBackendListDelta(const UpdateReply &update)
{
    if (!update.listDelta || update.list <= parts_.pool.version()) {
        return;
    }
    const Result<bool> applied = applyDelta(listBuckets_, *update.listDelta);
    if (!applied) {
        parts_.log.warn("backends.unreadable", {{"error", applied.error().message}});
        return;
    }
    if (!applied.value()) {
        return;
    }
    const std::vector<BackendServer> servers = listBuckets_.content();
    parts_.pool.setList({update.list, servers});
    parts_.log.info("backends.taken",
                    {{"term", update.list.term},
                     {"sequence", update.list.sequence},
                     {"servers", servers.size()},
                     {"buckets", update.listDelta->buckets.size()},
                     {"age_ms", update.listAgeMs}});
}

void EntryReplica::logIfStale()
{
    const DocumentStaleness &staleness = parts_.ledger.staleness();
    const Milliseconds staleFor = staleness.staleFor(std::chrono::steady_clock::now());
    if (staleFor > maxStaleness && !hasLoggedStale_) {
        parts_.log.warn(
            "document.behind",
            {{"version", documentVersion()}, {"newest", staleness.latestVersion()}, {"ms", staleFor.count()}});
    }
    hasLoggedStale_ = staleFor > maxStaleness;
}

} // namespace cardamompost
