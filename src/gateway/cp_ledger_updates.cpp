#include "cp_ledger_service.hpp"

#include <cardamompost/core/cp_invariant.hpp>

namespace cardamompost
{

namespace
{

// Bounds each delta of a reply, so that both arrive within the request's timeout on a slow link.
constexpr std::size_t maxUpdateBytes = 128U << 10U;
// Changes to the list in one reply. Beyond that the list is compared bucket by bucket, which takes several replies.
constexpr std::size_t maxListChanges = 1024;
// How long a request with an update waits for bandwidth at least. Then it is answered without content, which shows the
// entry that the leader is alive.
constexpr Milliseconds minUpdateWait {300};

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

std::size_t byteSize(const UpdateReply &reply)
{
    const std::size_t changes = reply.listChanges ? reply.listChanges->size() : 0;
    return byteSize(reply.listDelta) + byteSize(reply.documentDelta) + changes * bytesPerServer;
}

} // namespace

bool LedgerService::hasNewDocument(const UpdateRequest &request) const
{
    return request.documentVersion < publishedVersion_;
}

bool LedgerService::hasNewList(const UpdateRequest &request) const
{
    return backends_.version().term != 0 && request.list < backends_.version();
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
    const LedgerPeers &peers = ledgerPeers();
    reply.peersDigest = peers.digest();
    if (request.peersDigest != reply.peersDigest) {
        reply.peers = peers.list();
    }
    if (reply.isLeader) {
        const Membership &members = driver_.node().membership();
        reply.voters.assign(members.voters.begin(), members.voters.end());
        reply.term = driver_.node().term();
        reply.documentVersion = state_.documentVersion();
        reply.list = backends_.version();
        reply.listAgeMs = static_cast<std::uint32_t>(toMs(std::chrono::steady_clock::now() - listReadAt_));
    }
    if (reply.isLeader && withContent && hasNewList(request)) {
        addList(request, reply);
    }
    if (reply.isLeader && withContent && hasNewDocument(request)) {
        reply.documentVersion = publishedVersion_;
        reply.documentDelta = documentBuckets_.deltaFrom(request.documentDigests, maxUpdateBytes);
    }
    const std::size_t bytes = byteSize(reply);
    replier->reply(std::move(reply));
    return bytes;
}

void LedgerService::addList(const UpdateRequest &request, UpdateReply &reply)
{
    if (request.list.term == 0 || !request.listDigests.empty()) {
        reply.listDelta = listBuckets().deltaFrom(request.listDigests, maxUpdateBytes);
        return;
    }
    reply.listChanges = backends_.changesSince(request.list);
    if (!reply.listChanges || reply.listChanges->size() > maxListChanges) {
        reply.listChanges.reset();
        reply.mustResyncList = true;
    }
}

const BackendBuckets &LedgerService::listBuckets()
{
    if (bucketsVersion_ != backends_.version()) {
        listBuckets_.set(backends_.servers());
        bucketsVersion_ = backends_.version();
    }
    return listBuckets_;
}

const LedgerPeers &LedgerService::ledgerPeers()
{
    // Rebuilt only when the records have changed, since each reply has the digest.
    if (!state_.vms().empty()) {
        if (!arePeersCurrent_) {
            std::vector<LedgerPeer> peers;
            for (const auto &[vm, record] : state_.vms()) {
                peers.push_back({record.peer, record.failureDomain});
            }
            peers_ = LedgerPeers(std::move(peers));
            arePeersCurrent_ = true;
        }
        return peers_;
    }
    // A VM outside the group has no replicated records and falls back to the peers that it remembers.
    std::vector<LedgerPeer> remembered;
    for (const VmName &peer : groupView().members) {
        remembered.push_back({peer, {}});
    }
    peers_ = LedgerPeers(std::move(remembered));
    return peers_;
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
    for (BackendServer &server : servers) {
        // A stale read may list a server as it was before its restart.
        const BackendServer *known = backends_.find(server.id);
        if (known != nullptr && known->incarnation > server.incarnation) {
            server = *known;
        }
    }
    const BackendChanges changes = backends_.changesTo(servers);
    if (backends_.version().term == term && changes.size() == 0) {
        return;
    }
    const std::uint64_t sequence = backends_.version().term == term ? backends_.version().sequence + 1 : 1;
    checkInvariant(backends_.apply(changes, {term, sequence}), "changes to a list match its checksum");
    placement_.updateServers(changes.changed, changes.removed, listReadAt_);
    const auto leaving = std::count_if(changes.changed.begin(), changes.changed.end(),
                                       [](const BackendServer &server) { return server.isLeaving; });
    parts_.log.info("backends.changed",
                    {{"term", term},
                     {"sequence", sequence},
                     {"servers", backends_.size()},
                     {"changed", changes.changed.size()},
                     {"leaving", leaving},
                     {"removed", changes.removed.size()}});
    serveUpdates();
}

} // namespace cardamompost
