#include "cp_ledger_service.hpp"

namespace cardamompost
{

void LedgerService::onPresence(const Presence &presence)
{
    if (presence_.record(presence, std::chrono::steady_clock::now())) {
        parts_.log.info("entry.presence",
                        {{"entry", presence.vm}, {"ready", presence.isReady}, {"accepting", presence.isAccepting}});
    }
}

VmName LedgerService::updateSource() const
{
    // A VM that has left the group gets no more messages of it, and may know its former leader only.
    const UpdateRelay<Replier> &relay = updates_.relay();
    const bool isNoticeLater
        = !relay.leader().empty() && (driver_.leader().empty() || relay.term() > driver_.node().term());
    const VmName known = isNoticeLater ? relay.leader() : leader();
    return known == self_ ? VmName {} : known;
}

LedgerPeers LedgerService::ledgerPeers() const
{
    return LedgerPeers(servingPeers(state_.vms(), driver_.node().membership()));
}

void LedgerService::updateLeadership(bool isLeader)
{
    placement_.clear();
    suspectRuns_.clear();
    if (!isLeader) {
        updates_.stopLeading();
        return;
    }
    const TimePoint now = std::chrono::steady_clock::now();
    refreshClock();
    updates_.lead(driver_.node().term(), ledgerPeers());
    arePeersPublished_ = true;
    publishDocument();
    limiter_.restoreUsage(state_.usage(), clock_.nowMs(now), now);
    // The copy of the list is some moments old; the first read corrects it.
    const BackendCatalog &catalog = updates_.relay().content().catalog();
    if (catalog.version() != BackendListVersion {}) {
        placement_.setServers(catalog.servers(), now);
    }
}

void LedgerService::publishDocument()
{
    if (!leads() || lastReadVersion_ == state_.documentVersion()) {
        return;
    }
    lastReadVersion_ = state_.documentVersion();
    updates_.relay().setNewestDocument(lastReadVersion_);
    const Result<RouteDocument> document = parts_.adapter.readDocument(state_.document());
    if (!document) {
        // The document was validated when it was put, possibly by another build. Entries keep the version they have,
        // and know that it is stale.
        parts_.log.write(LogLevel::Error, "document.unreadable",
                         {{"version", lastReadVersion_}, {"error", document.error().message}});
        return;
    }
    limiter_.setLimits(document.value().accounts, std::chrono::steady_clock::now());
    parts_.log.info("document.offered",
                    {{"version", lastReadVersion_},
                     {"routes", document.value().routes.size()},
                     {"accounts", document.value().accounts.size()}});
    updates_.relay().publishDocument(document.value(), std::chrono::steady_clock::now());
}

void LedgerService::setBackends(std::vector<BackendServer> servers)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const ContentReplica &content = updates_.relay().content();
    const BackendListVersion before = content.catalog().version();
    const BackendChanges changes = updates_.relay().publishList(std::move(servers), now);
    const BackendListVersion &version = content.catalog().version();
    if (version == before) {
        return;
    }
    placement_.updateServers(changes.changed, changes.removed, now);
    const auto leaving = std::count_if(changes.changed.begin(), changes.changed.end(),
                                       [](const BackendServer &server) { return server.isLeaving; });
    parts_.log.info("backends.changed",
                    {{"term", version.term},
                     {"sequence", version.sequence},
                     {"servers", content.catalog().size()},
                     {"changed", changes.changed.size()},
                     {"leaving", leaving},
                     {"removed", changes.removed.size()}});
}

} // namespace cardamompost
