#include "cp_entry_replica.hpp"

namespace cardamompost
{

namespace
{

// A newer document is in force everywhere within a second or two; an entry that needs longer says so.
constexpr Milliseconds maxStaleness {1000};

//! Adds what has come. \returns true once it is the whole of what the ledger's leader has. Errors: InvalidRequest; then
//! nothing is held any more, so that all of it is asked for anew.
template<typename Buckets>
Result<bool> takeDelta(Buckets &held, const ContentDelta &delta)
{
    Result<void> taken = held.take(delta.buckets);
    const bool isComplete = taken.has_value() && delta.rest == 0;
    if (isComplete && held.checksum() != delta.checksum) {
        // Guards against two different buckets with one short digest: the one would be kept for the other for good.
        taken = makeError(ErrorKind::InvalidRequest, "the parts do not make the whole");
    }
    if (!taken) {
        held = {};
        return taken.error();
    }
    return isComplete;
}

} // namespace

std::uint64_t EntryReplica::documentVersion() const
{
    return parts_.forwarder.table() ? parts_.forwarder.table()->version() : 0;
}

void EntryReplica::take(const UpdateReply &update)
{
    takeDocument(update);
    takeList(update);
    parts_.ledger.setHeldContent(
        {documentVersion(), parts_.pool.version(), documentBuckets_.digests(), listBuckets_.digests()});
    logIfStale();
}

void EntryReplica::takeDocument(const UpdateReply &update)
{
    const std::uint64_t known = documentVersion();
    // An entry never goes back: whoever answers, an older version than the one in force is not taken.
    if (!update.documentDelta || update.documentVersion <= known) {
        return;
    }
    const Result<bool> taken = takeDelta(documentBuckets_, *update.documentDelta);
    if (!taken) {
        parts_.log.write(LogLevel::Error, "document.unreadable",
                         {{"version", update.documentVersion}, {"error", taken.error().message}});
        return;
    }
    if (!taken.value()) {
        return;
    }
    RouteDocument document = documentBuckets_.content();
    document.version = update.documentVersion;
    parts_.forwarder.setTable(std::make_shared<const RouteTable>(std::move(document)));
    parts_.log.info("document.in_force",
                    {{"version", update.documentVersion},
                     {"before", known},
                     {"behind_ms", parts_.ledger.staleness().staleFor(std::chrono::steady_clock::now()).count()}});
}

void EntryReplica::takeList(const UpdateReply &update)
{
    if (!update.listDelta || update.list <= parts_.pool.version()) {
        return;
    }
    const Result<bool> taken = takeDelta(listBuckets_, *update.listDelta);
    if (!taken) {
        parts_.log.warn("backends.unreadable", {{"error", taken.error().message}});
        return;
    }
    if (!taken.value()) {
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
    const Milliseconds behind = staleness.staleFor(std::chrono::steady_clock::now());
    if (behind > maxStaleness && !hasLoggedStale_) {
        parts_.log.warn("document.behind",
                        {{"version", documentVersion()}, {"newest", staleness.newest()}, {"ms", behind.count()}});
    }
    hasLoggedStale_ = behind > maxStaleness;
}

} // namespace cardamompost
