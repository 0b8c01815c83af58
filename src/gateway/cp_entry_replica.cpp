#include "cp_entry_replica.hpp"

namespace cardamompost
{

namespace
{

// Staleness of the route document from which a warning is logged.
constexpr Milliseconds maxStaleness {1000};

} // namespace

void EntryReplica::apply(const UpdateReply &update)
{
    const std::uint64_t documentBefore = content_.documentVersion();
    ContentReplica::Applied applied = content_.apply(update);
    if (applied.document) {
        applyDocument(std::move(*applied.document), documentBefore);
    }
    if (applied.servers) {
        applyServers(*applied.servers, update);
    }
    if (applied.documentError) {
        parts_.log.write(LogLevel::Error, "document.unreadable",
                         {{"version", update.documentVersion}, {"error", applied.documentError->message}});
    }
    if (applied.listError) {
        parts_.log.warn("backends.unreadable", {{"error", applied.listError->message}});
    }
    parts_.ledger.setHeldContent(content_);
    logIfStale();
}

void EntryReplica::applyDocument(RouteDocument document, std::uint64_t versionBefore)
{
    const std::uint64_t version = document.version;
    parts_.forwarder.setTable(std::make_shared<const RouteTable>(std::move(document)));
    parts_.log.info("document.in_force",
                    {{"version", version},
                     {"before", versionBefore},
                     {"behind_ms", parts_.ledger.staleness().staleFor(std::chrono::steady_clock::now()).count()}});
}

void EntryReplica::applyServers(const BackendChanges &changes, const UpdateReply &update)
{
    parts_.forwarder.quarantine().onListChange(changes);
    parts_.pool.update(changes, update.list);
    parts_.log.info("backends.taken",
                    {{"term", update.list.term},
                     {"sequence", update.list.sequence},
                     {"servers", content_.catalog().size()},
                     {"changed", changes.changed.size()},
                     {"removed", changes.removed.size()},
                     {"buckets", update.listDelta ? update.listDelta->buckets.size() : 0},
                     {"age_ms", update.listAgeMs}});
}

void EntryReplica::logIfStale()
{
    const DocumentStaleness &staleness = parts_.ledger.staleness();
    const Milliseconds staleFor = staleness.staleFor(std::chrono::steady_clock::now());
    if (staleFor > maxStaleness && !hasLoggedStale_) {
        parts_.log.warn(
            "document.behind",
            {{"version", content_.documentVersion()}, {"newest", staleness.latestVersion()}, {"ms", staleFor.count()}});
    }
    hasLoggedStale_ = staleFor > maxStaleness;
}

} // namespace cardamompost
