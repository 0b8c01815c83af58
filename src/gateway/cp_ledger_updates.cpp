#include "cp_ledger_service.hpp"

namespace cardamompost
{

namespace
{

// Bounds each delta of a reply, so that both arrive within the request's timeout on a slow link.
constexpr std::size_t maxUpdateBytes = 128U << 10U;
// How long a request with an update waits for bandwidth at least. Then it is answered without content, which shows the
// entry that the leader is alive.
constexpr Milliseconds minUpdateWait {300};

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

} // namespace

bool LedgerService::hasNewDocument(const UpdateRequest &request) const
{
    return request.documentVersion < publishedVersion_;
}

bool LedgerService::hasNewList(const UpdateRequest &request) const
{
    return backends_.version.term != 0 && request.list < backends_.version;
}

bool LedgerService::hasNewContent(const UpdateRequest &request) const
{
    return hasNewDocument(request) || hasNewList(request);
}

void LedgerService::onPresence(const Presence &presence)
{
    if (presence_.record(presence, std::chrono::steady_clock::now())) {
        parts_.log.info("entry.presence", {{"entry", presence.vm}, {"ready", presence.isReady}});
    }
}

void LedgerService::onUpdateRequest(const UpdateRequest &request, const Replier &replier)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const bool isWatch = !request.wantsContent && request.waitMs != 0;
    if (isWatch && !leads()) {
        watchers_.push_back({request, replier, now + Milliseconds(request.waitMs)});
        return;
    }
    if (!leads() || !request.wantsContent) {
        replyUpdate(request, replier, false);
        return;
    }
    const Milliseconds wait(request.waitMs);
    pendingUpdates_.add(request, replier, now, hasNewContent(request) ? std::max(minUpdateWait, wait) : wait);
    serveUpdates();
}

void LedgerService::publishDocument()
{
    if (lastReadVersion_ == state_.documentVersion()) {
        return;
    }
    lastReadVersion_ = state_.documentVersion();
    const Result<RouteDocument> document = parts_.adapter.readDocument(state_.document());
    if (!document) {
        // The document was validated when it was put, possibly by another build. Entries keep the version they have,
        // and know that it is stale.
        parts_.log.write(LogLevel::Error, "document.unreadable",
                         {{"version", lastReadVersion_}, {"error", document.error().message}});
        return;
    }
    documentBuckets_.set(document.value());
    limiter_.setLimits(document.value().accounts, std::chrono::steady_clock::now());
    parts_.log.info("document.offered",
                    {{"version", lastReadVersion_},
                     {"routes", document.value().routes.size()},
                     {"accounts", document.value().accounts.size()}});
    publishedVersion_ = lastReadVersion_;
}

void LedgerService::serveUpdates()
{
    if (pendingUpdates_.isEmpty()) {
        return;
    }
    const TimePoint now = std::chrono::steady_clock::now();
    if (!leads()) {
        for (const PendingUpdates::PendingRequest &pending : pendingUpdates_.takeAll()) {
            replyUpdate(pending.request, pending.replier, false);
        }
        return;
    }
    publishDocument();
    pendingUpdates_.serve(
        now, [this](const UpdateRequest &request) { return hasNewContent(request); },
        [this](const PendingUpdates::PendingRequest &pending) {
            return replyUpdate(pending.request, pending.replier, true);
        });
    for (const PendingUpdates::PendingRequest &pending : pendingUpdates_.takeExpired(now)) {
        deferredUpdates_.add(hasNewContent(pending.request) ? 1 : 0);
        replyUpdate(pending.request, pending.replier, false);
    }
}

std::size_t LedgerService::replyUpdate(const UpdateRequest &request, const Replier &replier, bool withContent)
{
    UpdateReply reply;
    reply.isLeader = leads();
    reply.leader = leader();
    // All ledger VMs, members or not: each serves the directory, which needs the entries' presence.
    for (const auto &[vm, record] : state_.vms()) {
        reply.members.push_back(record.peer);
    }
    if (reply.members.empty()) {
        // A VM outside the group has no replicated list of VMs and falls back to the peers that it remembers.
        reply.members = groupView().members;
    }
    if (reply.isLeader) {
        const Membership &members = driver_.node().membership();
        reply.voters.assign(members.voters.begin(), members.voters.end());
        reply.term = driver_.node().term();
        reply.documentVersion = state_.documentVersion();
        reply.list = backends_.version;
        reply.listAgeMs = static_cast<std::uint32_t>(toMs(std::chrono::steady_clock::now() - listReadAt_));
    }
    if (reply.isLeader && withContent && hasNewList(request)) {
        reply.listDelta = listBuckets_.deltaFrom(request.listDigests, maxUpdateBytes);
    }
    if (reply.isLeader && withContent && hasNewDocument(request)) {
        reply.documentVersion = publishedVersion_;
        reply.documentDelta = documentBuckets_.deltaFrom(request.documentDigests, maxUpdateBytes);
    }
    const std::size_t bytes = byteSize(reply.listDelta) + byteSize(reply.documentDelta);
    replier->reply(std::move(reply));
    return bytes;
}

void LedgerService::replyToWatchers(bool isStopping)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const bool isLeader = leads();
    for (Watcher &watcher : std::exchange(watchers_, {})) {
        if (isStopping || isLeader || now >= watcher.deadline) {
            replyUpdate(watcher.request, watcher.replier, false);
        } else {
            watchers_.push_back(std::move(watcher));
        }
    }
}

void LedgerService::setBackends(std::vector<BackendServer> servers)
{
    listReadAt_ = std::chrono::steady_clock::now();
    const std::uint64_t term = driver_.node().term();
    servers = latestIncarnations(std::move(servers), backends_.servers);
    if (backends_.version.term == term && backends_.servers == servers) {
        return;
    }
    const std::uint64_t sequence = backends_.version.term == term ? backends_.version.sequence + 1 : 1;
    backends_ = {{term, sequence}, std::move(servers)};
    listBuckets_.set(backends_.servers);
    placement_.setServers(backends_.servers, listReadAt_);
    std::size_t leaving = 0;
    for (const BackendServer &server : backends_.servers) {
        leaving += server.isLeaving ? 1 : 0;
    }
    parts_.log.info(
        "backends.changed",
        {{"term", term}, {"sequence", sequence}, {"servers", backends_.servers.size()}, {"leaving", leaving}});
    serveUpdates();
}

} // namespace cardamompost
