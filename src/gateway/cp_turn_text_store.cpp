#include "cp_turn_text_store.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

// Bounds a reply's memory on both sides.
constexpr std::size_t maxReplyBytes = 256U << 10U;
constexpr std::size_t maxReplyTexts = 512;
// Requests for missing texts under way at once.
constexpr unsigned maxFetches = 4;
constexpr Milliseconds fetchTimeout {800};
// A member that had none of what it was asked for, or was silent, is not asked again before this.
constexpr Milliseconds degradedFor {500};
// The leader has most to do: it is asked only while fewer others can answer.
constexpr std::size_t enoughWithoutLeader = 2;
constexpr Milliseconds tickInterval {100};
// Callers give a turn up after two seconds; whoever waits for its history has to hear before.
constexpr Milliseconds readTimeout {1200};

TimePoint timeNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

TurnTextStore::TurnTextStore(Parts parts)
    : parts_(std::move(parts))
    , timer_(parts_.io)
    , fetched_(parts_.metrics.counter("cardamompost_ledger_texts_fetched_total"))
    , diskReads_(parts_.metrics.counter("cardamompost_ledger_texts_read_total"))
{
}

void TurnTextStore::open(LogStore &store)
{
    for (const StoredEntry &entry : store.group(textGroup).entries) {
        parts_.texts().noteFound(entry.index);
    }
    scheduleTick();
}

void TurnTextStore::stop()
{
    isStopped_ = true;
    timer_.cancel();
    for (const auto &read : std::exchange(waiting_, {})) {
        finish(*read, false);
    }
}

void TurnTextStore::scheduleTick()
{
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error && !isStopped_) {
            advanceWaiting();
            fetchMissing();
            scheduleTick();
        }
    });
}

void TurnTextStore::read(std::vector<LogIndex> indexes, Done done)
{
    if (std::optional<std::string> text = parts_.texts().join(indexes)) {
        done(std::move(text));
        return;
    }
    auto read = std::make_shared<Read>(Read {std::move(indexes), {}, std::move(done), timeNow() + readTimeout, false});
    if (!advance(read)) {
        waiting_.push_back(std::move(read));
        fetchMissing();
    }
}

bool TurnTextStore::advance(const std::shared_ptr<Read> &read)
{
    TurnTexts &texts = parts_.texts();
    std::vector<LogIndex> onDisk;
    bool isComplete = true;
    for (const LogIndex index : read->indexes) {
        if (read->texts.contains(index)) {
            continue;
        }
        if (const std::string *text = texts.find(index)) {
            read->texts.emplace(index, *text);
            continue;
        }
        isComplete = false;
        if (texts.isStored(index)) {
            onDisk.push_back(index);
        }
    }
    if (isComplete || timeNow() >= read->deadline) {
        finish(*read, isComplete);
        return true;
    }
    if (!onDisk.empty() && !read->isReading) {
        read->isReading = true;
        readDisk(std::move(onDisk), [this, read](Texts found) {
            read->isReading = false;
            for (auto &[index, text] : found) {
                parts_.texts().cache(index, text);
                read->texts.emplace(index, std::move(text));
            }
            advanceWaiting();
        });
    }
    return false;
}

void TurnTextStore::advanceWaiting()
{
    for (auto &read : std::exchange(waiting_, {})) {
        if (!advance(read)) {
            waiting_.push_back(std::move(read));
        }
    }
}

void TurnTextStore::finish(Read &read, bool isComplete)
{
    const Done done = std::exchange(read.done, {});
    if (!done) {
        return;
    }
    if (!isComplete) {
        parts_.log.warn("texts.unread", {{"wanted", read.indexes.size()}, {"had", read.texts.size()}});
        done(std::nullopt);
        return;
    }
    std::string text;
    for (const LogIndex index : read.indexes) {
        text += read.texts.at(index);
    }
    done(std::move(text));
}

void TurnTextStore::readDisk(std::vector<LogIndex> indexes, std::function<void(Texts)> done)
{
    diskReads_.add(indexes.size());
    auto found = std::make_shared<Texts>();
    DiskThread::Job job;
    job.group = textGroup;
    job.prepare = [found, indexes = std::move(indexes)](LogStore &store, LogBatch & /*batch*/) {
        for (const LogIndex index : indexes) {
            const StoredEntry *entry = store.group(textGroup).find(index);
            Result<LogEntry> text = entry != nullptr
                ? store.read(textGroup, *entry)
                : Result<LogEntry>(makeError(ErrorKind::StorageFailed, "the text was forgotten meanwhile"));
            if (text) {
                found->emplace(index, std::move(text.value().payload));
            }
        }
    };
    job.finish = [this, found, done = std::move(done)](const Result<void> &) {
        asio::post(parts_.io, [found, done] { done(std::move(*found)); });
    };
    parts_.disk.post(std::move(job));
}

void TurnTextStore::onRequest(const TurnTextsRequest &request, std::shared_ptr<PeerReplier> replier)
{
    auto reply = std::make_shared<TurnTextsReply>();
    std::vector<LogIndex> onDisk;
    std::size_t bytes = 0;
    for (const LogIndex index : request.indexes) {
        if (bytes >= maxReplyBytes || reply->texts.size() + onDisk.size() >= maxReplyTexts) {
            break;
        }
        if (const std::string *text = parts_.texts().find(index)) {
            bytes += text->size();
            reply->texts.push_back({index, *text});
        } else if (parts_.texts().isStored(index)) {
            onDisk.push_back(index);
        }
    }
    if (onDisk.empty()) {
        replier->reply(std::move(*reply));
        return;
    }
    // Not into the cache: what another member copies says nothing of what callers will ask for.
    readDisk(std::move(onDisk), [reply, replier](Texts found) {
        for (auto &[index, text] : found) {
            reply->texts.push_back({index, std::move(text)});
        }
        replier->reply(std::move(*reply));
    });
}

void TurnTextStore::addToSnapshot(LogBatch &batch)
{
    TurnTexts &texts = parts_.texts();
    for (const LogIndex index : texts.beginStoring()) {
        batch.putUnorderedEntry(textGroup, index, *texts.find(index));
    }
    batch.forget(textGroup, texts.takeForgotten());
}

std::vector<LogIndex> TurnTextStore::nextToFetch() const
{
    std::vector<LogIndex> indexes;
    std::size_t bytes = 0;
    const auto want = [&](LogIndex index, std::size_t size) {
        if (!requested_.contains(index) && bytes < maxReplyBytes && indexes.size() < maxReplyTexts) {
            indexes.push_back(index);
            bytes += size;
        }
    };
    const auto &missing = parts_.texts().missing();
    for (const auto &read : waiting_) {
        for (const LogIndex index : read->indexes) {
            if (const auto found = missing.find(index); found != missing.end()) {
                want(index, found->second);
            }
        }
    }
    if (!indexes.empty()) {
        return indexes;
    }
    // Oldest first, so that the store's entries grow at their end.
    for (const auto &[index, size] : missing) {
        if (bytes >= maxReplyBytes || indexes.size() >= maxReplyTexts) {
            break;
        }
        want(index, size);
    }
    return indexes;
}

void TurnTextStore::fetchMissing()
{
    const std::size_t count = parts_.texts().missing().size();
    if ((count != 0) != wasMissing_) {
        wasMissing_ = count != 0;
        parts_.log.info(wasMissing_ ? "texts.missing" : "texts.whole", {{"texts", count}});
    }
    while (count != 0 && !isStopped_ && fetches_ < maxFetches) {
        std::vector<LogIndex> indexes = nextToFetch();
        const std::optional<VmName> member = pickMember();
        if (indexes.empty() || !member) {
            return;
        }
        fetch(*member, std::move(indexes));
    }
}

std::optional<VmName> TurnTextStore::pickMember()
{
    std::vector<VmName> members = parts_.members();
    std::erase_if(members, [&](const VmName &member) {
        const auto poor = degradedUntil_.find(member);
        return !parts_.peers.client(member) || (poor != degradedUntil_.end() && timeNow() < poor->second);
    });
    if (members.empty()) {
        return std::nullopt;
    }
    const std::size_t usable = members.size() > enoughWithoutLeader ? members.size() - 1 : members.size();
    return members[nextMember_++ % usable];
}

void TurnTextStore::fetch(const VmName &member, std::vector<LogIndex> indexes)
{
    ++fetches_;
    requested_.insert(indexes.begin(), indexes.end());
    TurnTextsRequest request {indexes};
    parts_.peers.client(member)->request(
        std::move(request), fetchTimeout, [this, member, indexes](Result<FrameBody> reply, bool) {
            TurnTextsReply *texts = reply ? std::get_if<TurnTextsReply>(&reply.value()) : nullptr;
            onFetched(member, indexes, texts != nullptr ? std::move(*texts) : TurnTextsReply {});
        });
}

void TurnTextStore::onFetched(const VmName &member, const std::vector<LogIndex> &asked, TurnTextsReply reply)
{
    --fetches_;
    if (isStopped_) {
        return;
    }
    for (const LogIndex index : asked) {
        requested_.erase(index);
    }
    if (reply.texts.empty()) {
        degradedUntil_[member] = timeNow() + degradedFor;
        fetchMissing();
        return;
    }
    fetched_.add(reply.texts.size());
    for (const TurnText &item : reply.texts) {
        // Not asked for again while it is written.
        requested_.insert(item.index);
        for (const auto &read : waiting_) {
            if (std::find(read->indexes.begin(), read->indexes.end(), item.index) != read->indexes.end()) {
                read->texts.emplace(item.index, item.text);
            }
        }
    }
    storeFetched(std::move(reply.texts));
    advanceWaiting();
    fetchMissing();
}

void TurnTextStore::storeFetched(std::vector<TurnText> texts)
{
    auto kept = std::make_shared<std::vector<TurnText>>(std::move(texts));
    DiskThread::Job job;
    job.group = textGroup;
    job.prepare = [kept](LogStore & /*store*/, LogBatch &batch) {
        for (TurnText &item : *kept) {
            batch.putUnorderedEntry(textGroup, item.index, std::move(item.text));
        }
    };
    job.finish = [this, kept](const Result<void> &written) {
        asio::post(parts_.io, [this, kept, isWritten = written.has_value()] {
            for (const TurnText &item : *kept) {
                requested_.erase(item.index);
                if (isWritten) {
                    parts_.texts().noteFetched(item.index);
                }
            }
            advanceWaiting();
            fetchMissing();
        });
    };
    parts_.disk.post(std::move(job));
}

} // namespace cardamompost
