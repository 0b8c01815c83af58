#include "cp_group_contacts.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <chrono>

namespace cardamompost
{

namespace
{

// Changes of members come in threes; a write for each would be a sync for each.
constexpr Milliseconds storeDelay {200};
constexpr Term bookTerm = 1;

std::int64_t wallNowMs()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

GroupContacts::GroupContacts(Parts parts)
    : parts_(parts)
    , storeTimer_(parts.io)
{
}

void GroupContacts::open(LogStore &store)
{
    const Result<RaftStoredState> stored = store.loadRaft(contactsGroup);
    if (!stored || stored.value().snapshot.index == 0) {
        return;
    }
    revision_ = stored.value().snapshot.index;
    Result<PeerBook::Stored> book = PeerBook::decode(stored.value().snapshot.state);
    if (!book) {
        parts_.log.warn("ledger.book_unreadable", {{"error", book.error().message}});
        return;
    }
    book_ = std::move(book.value().book);
    const GroupSighting &last = book_.last();
    parts_.log.info("ledger.remembered",
                    {{"leader", last.leader},
                     {"term", last.term},
                     {"document", last.documentVersion},
                     {"peers", fmt::format("{}", fmt::join(book_.peers(), ","))},
                     {"age_ms", wallNowMs() - book.value().wallMs}});
}

void GroupContacts::stop()
{
    storeTimer_.cancel();
}

void GroupContacts::noteConfirmed(const GroupSighting &group)
{
    leader_ = group.leader;
    leaderTerm_ = group.term;
    hinted_.clear();
    if (book_.note(group)) {
        storeSoon();
    }
}

bool GroupContacts::noteNotice(const GroupSighting &group)
{
    // Guards against a deposed leader that still calls: the one that replaced it has a higher term.
    if (group.term < leaderTerm_) {
        return false;
    }
    const bool isOther = leader_ != group.leader;
    leader_ = group.leader;
    leaderTerm_ = group.term;
    return isOther;
}

void GroupContacts::noteHint(const GroupSighting &group)
{
    leader_ = group.leader;
    hinted_ = group.members;
}

std::vector<VmName> GroupContacts::peers() const
{
    std::vector<VmName> peers = book_.peers();
    peers.insert(peers.end(), hinted_.begin(), hinted_.end());
    return peers;
}

void GroupContacts::storeSoon()
{
    if (isStoreArmed_) {
        return;
    }
    isStoreArmed_ = true;
    storeTimer_.expires_after(storeDelay);
    storeTimer_.async_wait([this](const boost::system::error_code &error) {
        isStoreArmed_ = false;
        if (!error) {
            store();
        }
    });
}

void GroupContacts::store()
{
    DiskThread::Job job;
    job.group = contactsGroup;
    job.prepare = [revision = ++revision_, bytes = book_.encode(wallNowMs())](LogStore & /*store*/, LogBatch &batch) {
        batch.putSnapshot(contactsGroup, {revision, bookTerm, {}, bytes});
    };
    job.finish = [&log = parts_.log, term = book_.last().term](const Result<void> &written) {
        log.info("ledger.way_stored", {{"term", term}, {"stored", written.has_value()}});
    };
    parts_.disk.post(std::move(job));
}

} // namespace cardamompost
