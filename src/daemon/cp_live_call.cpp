#include "cp_live_call.hpp"

namespace cardamompost
{

void LiveCall::watch(std::uint64_t after, Watcher watcher)
{
    const std::lock_guard lock(mutex_);
    Subscription subscription {after, std::move(watcher)};
    restartIfRootChanged(subscription);
    for (const Chunk &chunk : chunks_) {
        deliver(subscription, chunk);
    }
    if (end_) {
        subscription.watcher(*end_);
        return;
    }
    subscriptions_.push_back(std::move(subscription));
}

void LiveCall::restartIfRootChanged(Subscription &subscription) const
{
    const bool hasRootChanged
        = subscription.lastEventId != 0 && rootAttempt_ != 0 && (subscription.lastEventId >> 32U) != rootAttempt_;
    if (hasRootChanged) {
        subscription.lastEventId = 0;
        subscription.watcher({LiveEvent::Kind::Restart, 0, {}, {}});
    }
}

void LiveCall::begin(std::uint32_t rootAttempt)
{
    const std::lock_guard lock(mutex_);
    if (end_ || rootAttempt_ == rootAttempt) {
        return;
    }
    rootAttempt_ = rootAttempt;
    chunks_.clear();
    for (Subscription &subscription : subscriptions_) {
        restartIfRootChanged(subscription);
    }
}

void LiveCall::deliver(Subscription &subscription, const Chunk &chunk) const
{
    const std::uint64_t id = eventId(rootAttempt_, chunk.position);
    if (id <= subscription.lastEventId) {
        return;
    }
    subscription.lastEventId = id;
    subscription.watcher({LiveEvent::Kind::Tokens, id, chunk.text, {}});
}

void LiveCall::addTokens(std::uint64_t position, std::string text)
{
    const std::lock_guard lock(mutex_);
    // A resumed engine stream may repeat its last event.
    if (end_ || (!chunks_.empty() && position <= chunks_.back().position)) {
        return;
    }
    chunks_.push_back({position, std::move(text)});
    for (Subscription &subscription : subscriptions_) {
        deliver(subscription, chunks_.back());
    }
}

void LiveCall::end(const LiveEvent &event)
{
    const std::lock_guard lock(mutex_);
    if (end_) {
        return;
    }
    end_ = event;
    for (const Subscription &subscription : subscriptions_) {
        subscription.watcher(event);
    }
    subscriptions_.clear();
}

void LiveCall::finish(const CallResult &result)
{
    end({LiveEvent::Kind::Final, eventId(result.rootAttempt, position()), {}, result});
}

void LiveCall::notifyMoved()
{
    end({LiveEvent::Kind::Moved, 0, {}, {}});
}

std::uint64_t LiveCall::position() const
{
    const std::lock_guard lock(mutex_);
    return chunks_.empty() ? 0 : chunks_.back().position;
}

std::string LiveCall::text() const
{
    const std::lock_guard lock(mutex_);
    std::string text;
    for (const Chunk &chunk : chunks_) {
        text += chunk.text;
    }
    return text;
}

} // namespace cardamompost
