#include <cardamompost/ledger/cp_turn_texts.hpp>

#include <utility>

namespace cardamompost
{

void TurnTexts::add(LogIndex index, std::string text)
{
    const std::size_t bytes = text.size();
    // Applied again after a restart, the text may be on the disk already.
    if (stored_.contains(index) || !items_.try_emplace(index, Item {std::move(text), std::nullopt}).second) {
        return;
    }
    memoryBytes_ += bytes;
    unstored_.insert(index);
    missing_.erase(index);
}

void TurnTexts::cache(LogIndex index, std::string text)
{
    const std::size_t bytes = text.size();
    const auto [item, isNew] = items_.try_emplace(index, Item {std::move(text), std::nullopt});
    if (!isNew) {
        return;
    }
    memoryBytes_ += bytes;
    makeDroppable(index, item->second);
    dropOldest();
}

const std::string *TurnTexts::find(LogIndex index)
{
    const auto found = items_.find(index);
    if (found == items_.end()) {
        return nullptr;
    }
    if (found->second.place) {
        recent_.splice(recent_.begin(), recent_, *found->second.place);
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

void TurnTexts::forget(LogIndex index)
{
    erase(index);
    unstored_.erase(index);
    missing_.erase(index);
    if (stored_.erase(index) != 0) {
        forgotten_.push_back(index);
    }
}

std::vector<LogIndex> TurnTexts::beginStoring()
{
    writing_.assign(unstored_.begin(), unstored_.end());
    unstored_.clear();
    return writing_;
}

void TurnTexts::endStoring()
{
    for (const LogIndex index : std::exchange(writing_, {})) {
        const auto item = items_.find(index);
        if (item == items_.end()) {
            // It expired while it was written.
            forgotten_.push_back(index);
            continue;
        }
        stored_.insert(index);
        makeDroppable(index, item->second);
    }
    dropOldest();
}

std::vector<LogIndex> TurnTexts::takeForgotten()
{
    return std::exchange(forgotten_, {});
}

void TurnTexts::noteFound(LogIndex index)
{
    stored_.insert(index);
}

void TurnTexts::noteFetched(LogIndex index)
{
    if (missing_.erase(index) != 0) {
        stored_.insert(index);
    } else if (!stored_.contains(index)) {
        forgotten_.push_back(index);
    }
}

void TurnTexts::retain(const std::map<LogIndex, std::size_t> &sizes)
{
    std::vector<LogIndex> over;
    for (const auto &[index, item] : items_) {
        if (!sizes.contains(index)) {
            over.push_back(index);
        }
    }
    for (const LogIndex index : stored_) {
        if (!sizes.contains(index)) {
            over.push_back(index);
        }
    }
    for (const LogIndex index : over) {
        forget(index);
    }
    missing_.clear();
    for (const auto &[index, bytes] : sizes) {
        // What may be dropped and is not on the disk yet is still missing.
        const auto item = items_.find(index);
        const bool isHeld = stored_.contains(index) || (item != items_.end() && !item->second.place);
        if (!isHeld) {
            missing_.emplace_hint(missing_.end(), index, bytes);
        }
    }
}

void TurnTexts::makeDroppable(LogIndex index, Item &item)
{
    if (item.place) {
        return;
    }
    recent_.push_front(index);
    item.place = recent_.begin();
    droppableBytes_ += item.text.size();
}

void TurnTexts::erase(LogIndex index)
{
    const auto item = items_.find(index);
    if (item == items_.end()) {
        return;
    }
    memoryBytes_ -= item->second.text.size();
    if (item->second.place) {
        droppableBytes_ -= item->second.text.size();
        recent_.erase(*item->second.place);
    }
    items_.erase(item);
}

void TurnTexts::dropOldest()
{
    while (droppableBytes_ > cacheBytes_ && !recent_.empty()) {
        erase(recent_.back());
    }
}

} // namespace cardamompost
