#include "cp_entry_news.hpp"

namespace cardamompost
{

namespace
{

// A newer document is in force everywhere within a second or two; an entry that needs longer says so.
constexpr Milliseconds longBehind {1000};

//! Adds what has come. \returns true once it is the whole of what the ledger's leader has. Errors: InvalidRequest; then
//! nothing is held any more, so that all of it is asked for anew.
template<typename Buckets>
Result<bool> takeDelta(Buckets &held, const ContentDelta &delta)
{
    Result<void> taken = held.take(delta.buckets);
    const bool isWhole = taken.has_value() && delta.rest == 0;
    if (isWhole && held.checksum() != delta.checksum) {
        // Guards against two different buckets with one short digest: the one would be kept for the other for good.
        taken = makeError(ErrorKind::InvalidRequest, "the parts do not make the whole");
    }
    if (!taken) {
        held = {};
        return taken.error();
    }
    return isWhole;
}

} // namespace

std::uint64_t EntryNews::documentVersion() const
{
    return parts_.forwarder.table() ? parts_.forwarder.table()->version() : 0;
}

void EntryNews::take(const NewsReply &news)
{
    takeDocument(news);
    takeList(news);
    parts_.ledger.setKnown(
        {documentVersion(), parts_.pool.version(), documentBuckets_.digests(), listBuckets_.digests()});
    noteBehind();
}

void EntryNews::takeDocument(const NewsReply &news)
{
    const std::uint64_t known = documentVersion();
    // An entry never goes back: whoever answers, an older version than the one in force is not taken.
    if (!news.documentDelta || news.documentVersion <= known) {
        return;
    }
    const Result<bool> taken = takeDelta(documentBuckets_, *news.documentDelta);
    if (!taken) {
        parts_.log.write(LogLevel::Error, "document.unreadable",
                         {{"version", news.documentVersion}, {"error", taken.error().message}});
        return;
    }
    if (!taken.value()) {
        return;
    }
    RouteDocument document = documentBuckets_.content();
    document.version = news.documentVersion;
    parts_.forwarder.setTable(std::make_shared<const RouteTable>(std::move(document)));
    parts_.log.info("document.in_force",
                    {{"version", news.documentVersion},
                     {"before", known},
                     {"behind_ms", parts_.ledger.lag().behindFor(std::chrono::steady_clock::now()).count()}});
}

void EntryNews::takeList(const NewsReply &news)
{
    if (!news.listDelta || news.list <= parts_.pool.version()) {
        return;
    }
    const Result<bool> taken = takeDelta(listBuckets_, *news.listDelta);
    if (!taken) {
        parts_.log.warn("backends.unreadable", {{"error", taken.error().message}});
        return;
    }
    if (!taken.value()) {
        return;
    }
    const std::vector<BackendServer> servers = listBuckets_.content();
    parts_.pool.setList({news.list, servers});
    parts_.log.info("backends.taken",
                    {{"term", news.list.term},
                     {"sequence", news.list.sequence},
                     {"servers", servers.size()},
                     {"buckets", news.listDelta->buckets.size()},
                     {"age_ms", news.listAgeMs}});
}

void EntryNews::noteBehind()
{
    const DocumentLag &lag = parts_.ledger.lag();
    const Milliseconds behind = lag.behindFor(std::chrono::steady_clock::now());
    if (behind > longBehind && !hasToldBehind_) {
        parts_.log.warn("document.behind",
                        {{"version", documentVersion()}, {"newest", lag.newest()}, {"ms", behind.count()}});
    }
    hasToldBehind_ = behind > longBehind;
}

} // namespace cardamompost
