#include <cardamompost/ledger/cp_turn_texts.hpp>

#include <utility>

namespace cardamompost
{

void TurnTexts::add(LogIndex index, std::string text)
{
    const std::size_t bytes = text.size();
    // After a restart, entries are applied again whose texts may already be on disk.
    if (stored_.contains(index) || !cached_.try_emplace(index, CachedText {std::move(text), std::nullopt}).second) {
        return;
    }
    memoryBytes_ += bytes;
    unstored_.insert(index);
    missing_.erase(index);
    obsolete_.erase(index);
}

void TurnTexts::cache(LogIndex index, std::string text)
{
    const std::size_t bytes = text.size();
    const auto [item, isNew] = cached_.try_emplace(index, CachedText {std::move(text), std::nullopt});
    if (!isNew) {
        return;
    }
    memoryBytes_ += bytes;
    makeEvictable(index, item->second);
    evictLeastRecentlyUsed();
}

const std::string *TurnTexts::find(LogIndex index)
{
    const auto found = cached_.find(index);
    if (found == cached_.end()) {
        return nullptr;
    }
    if (found->second.lruPosition) {
        lruList_.splice(lruList_.begin(), lruList_, *found->second.lruPosition);
    }
    return &found->second.text;
}

std::optional<std::string> TurnTexts::join(const std::vector<LogIndex> &indexes)
{
    std::string all;
    for (const LogIndex index : indexes) {
        const std::string *text = find(index);
        if (text == nullptr) {
            return std::nullopt;
        }
        all += *text;
    }
    return all;
}

void TurnTexts::remove(LogIndex index)
{
    evict(index);
    unstored_.erase(index);
    missing_.erase(index);
    if (stored_.erase(index) != 0) {
        obsolete_.insert(index);
    }
}

std::vector<LogIndex> TurnTexts::beginStoring()
{
    const std::set<LogIndex> added = std::exchange(unstored_, {});
    storing_.insert(storing_.end(), added.begin(), added.end());
    return {added.begin(), added.end()};
}

void TurnTexts::endStoring()
{
    for (const LogIndex index : std::exchange(storing_, {})) {
        const auto item = cached_.find(index);
        if (item == cached_.end()) {
            // The turn expired while its text was being written.
            obsolete_.insert(index);
            continue;
        }
        stored_.insert(index);
        makeEvictable(index, item->second);
    }
    evictLeastRecentlyUsed();
}

std::vector<LogIndex> TurnTexts::takeObsolete()
{
    const std::set<LogIndex> obsolete = std::exchange(obsolete_, {});
    return {obsolete.begin(), obsolete.end()};
}

void TurnTexts::markStored(LogIndex index)
{
    stored_.insert(index);
}

void TurnTexts::markFetched(LogIndex index)
{
    if (missing_.erase(index) != 0) {
        stored_.insert(index);
        obsolete_.erase(index);
    } else if (!stored_.contains(index)) {
        obsolete_.insert(index);
    }
}

void TurnTexts::retain(const std::map<LogIndex, std::size_t> &sizes)
{
    std::vector<LogIndex> obsolete;
    for (const auto &[index, item] : cached_) {
        if (!sizes.contains(index)) {
            obsolete.push_back(index);
        }
    }
    for (const LogIndex index : stored_) {
        if (!sizes.contains(index)) {
            obsolete.push_back(index);
        }
    }
    for (const LogIndex index : obsolete) {
        remove(index);
    }
    missing_.clear();
    for (const auto &[index, bytes] : sizes) {
        // An evictable text that is not on disk yet still counts as missing.
        const auto item = cached_.find(index);
        const bool isHeld = stored_.contains(index) || (item != cached_.end() && !item->second.lruPosition);
        if (!isHeld) {
            missing_.emplace_hint(missing_.end(), index, bytes);
        }
    }
}

void TurnTexts::makeEvictable(LogIndex index, CachedText &item)
{
    if (item.lruPosition) {
        return;
    }
    lruList_.push_front(index);
    item.lruPosition = lruList_.begin();
    evictableBytes_ += item.text.size();
}

void TurnTexts::evict(LogIndex index)
{
    const auto item = cached_.find(index);
    if (item == cached_.end()) {
        return;
    }
    memoryBytes_ -= item->second.text.size();
    if (item->second.lruPosition) {
        evictableBytes_ -= item->second.text.size();
        lruList_.erase(*item->second.lruPosition);
    }
    cached_.erase(item);
}

void TurnTexts::evictLeastRecentlyUsed()
{
    while (evictableBytes_ > cacheBytes_ && !lruList_.empty()) {
        evict(lruList_.back());
    }
}

} // namespace cardamompost
