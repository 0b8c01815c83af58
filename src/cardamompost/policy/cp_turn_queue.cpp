#include <cardamompost/policy/cp_turn_queue.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

const std::string everyAccount;

} // namespace

void TurnQueue::push(QueuedTurn turn)
{
    const std::string name = shareHolder(turn.account);
    Service &service = services_[turn.service];
    Account &account = service.accounts[name];
    const TurnKey key {turn.group, turn.rank, nextSequence_++};
    positions_.emplace(turn.turn, Position {turn.service, name, key});
    ++service.waiting;
    unlist(service, account);
    ++account.counts[{turn.group, turn.rank}];
    account.turns.emplace(key, std::move(turn));
    update(service, name, account);
}

bool TurnQueue::remove(const std::string &turn)
{
    const auto position = positions_.find(turn);
    if (position == positions_.end()) {
        return false;
    }
    Service &service = services_.at(position->second.service);
    Account &account = service.accounts.at(position->second.account);
    --service.waiting;
    unlist(service, account);
    const TurnKey &key = position->second.key;
    account.turns.erase(key);
    const auto count = account.counts.find({key.group, key.rank});
    if (--count->second == 0) {
        account.counts.erase(count);
    }
    update(service, position->second.account, account);
    positions_.erase(position);
    return true;
}

void TurnQueue::clear()
{
    services_.clear();
    positions_.clear();
}

const QueuedTurn *TurnQueue::first(const std::string &service) const
{
    const auto found = services_.find(service);
    if (found == services_.end() || found->second.waiting == 0) {
        return nullptr;
    }
    const Service &waiting = found->second;
    const Account &account = waiting.within.empty() ? *waiting.over.begin()->second : *waiting.within.begin()->second;
    return &account.turns.begin()->second;
}

std::size_t TurnQueue::waiting(const std::string &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.waiting;
}

std::vector<std::string> TurnQueue::services() const
{
    std::vector<std::string> names;
    for (const auto &[name, service] : services_) {
        if (service.waiting != 0) {
            names.push_back(name);
        }
    }
    return names;
}

void TurnQueue::setSlots(const std::string &service, unsigned slots, unsigned room)
{
    Service &shared = services_[service];
    shared.slots = slots;
    shared.room = room;
    rebalance(shared);
}

void TurnQueue::onReserved(const std::string &service, const std::string &account)
{
    const std::string &name = shareHolder(account);
    Service &shared = services_[service];
    Account &holder = shared.accounts[name];
    unlist(shared, holder);
    ++holder.held;
    ++shared.heldByAll;
    update(shared, name, holder);
}

void TurnQueue::onReleased(const std::string &service, const std::string &account)
{
    const std::string &name = shareHolder(account);
    Service &shared = services_[service];
    const auto found = shared.accounts.find(name);
    if (found == shared.accounts.end() || found->second.held == 0) {
        return;
    }
    unlist(shared, found->second);
    --found->second.held;
    --shared.heldByAll;
    update(shared, name, found->second);
}

bool TurnQueue::isOverShare(const std::string &service, const std::string &account) const
{
    const Account *holder = find(service, account);
    return holder != nullptr && services_.at(service).isOverShare(holder->held);
}

bool TurnQueue::isFull(const std::string &service) const
{
    const auto found = services_.find(service);
    return found != services_.end() && found->second.heldByAll >= found->second.room;
}

unsigned TurnQueue::held(const std::string &service, const std::string &account) const
{
    const Account *holder = find(service, account);
    return holder == nullptr ? 0 : holder->held;
}

double TurnQueue::fairShare(const std::string &service) const
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return 0;
    }
    return static_cast<double>(found->second.slots)
        / static_cast<double>(std::max<std::size_t>(found->second.accounts.size(), 1));
}

TurnQueue::Outlook TurnQueue::outlook(const QueuedTurn &turn) const
{
    Outlook outlook {{false, turn.group, turn.rank}, 0};
    const auto found = services_.find(turn.service);
    if (found == services_.end()) {
        return outlook;
    }
    const Service &service = found->second;
    const Account *own = find(turn.service, turn.account);
    const std::size_t accounts = service.accounts.size() + (own == nullptr ? 1 : 0);
    const std::size_t ownAhead
        = own == nullptr ? 0 : own->turnsBefore(turn.group, turn.rank) + own->turnsOf(turn.group, turn.rank);
    // Slots that the account will hold when its earlier turns have got theirs.
    const std::size_t level = ownAhead + (own == nullptr ? 0 : own->held);
    const auto share = static_cast<std::size_t>(service.slots * shareTolerance / static_cast<double>(accounts));
    outlook.turnClass.isOverShare = accounts > 1 && level > share;
    // Turns that are queued at the engines themselves.
    outlook.turnsAhead = ownAhead + (service.heldByAll > service.slots ? service.heldByAll - service.slots : 0);
    // Slots that another account may get until it holds more.
    const auto upTo = [](std::size_t slots, const Account &other) {
        return slots + 1 - std::min<std::size_t>(slots + 1, other.held);
    };
    for (const auto &[key, other] : service.within) {
        if (other != own && outlook.turnClass.isOverShare) {
            outlook.turnsAhead += std::min(other->turns.size(), upTo(level, *other));
        } else if (other != own) {
            const std::size_t equal = std::min(other->turnsOf(turn.group, turn.rank), upTo(level, *other));
            const std::size_t before = other->turnsBefore(turn.group, turn.rank) + equal;
            outlook.turnsAhead += std::min(before, upTo(share, *other));
        }
    }
    for (const auto &[key, other] : service.over) {
        outlook.turnsAhead += other == own ? 0 : std::min(other->turns.size(), upTo(level, *other));
    }
    return outlook;
}

std::size_t TurnQueue::Account::turnsBefore(TurnGroup group, unsigned rank) const
{
    std::size_t before = 0;
    for (auto count = counts.begin(); count != counts.end() && count->first < std::pair(group, rank); ++count) {
        before += count->second;
    }
    return before;
}

std::size_t TurnQueue::Account::turnsOf(TurnGroup group, unsigned rank) const
{
    const auto count = counts.find({group, rank});
    return count == counts.end() ? 0 : count->second;
}

const std::string &TurnQueue::shareHolder(const std::string &account) const
{
    return sharesByAccount_ ? account : everyAccount;
}

const TurnQueue::Account *TurnQueue::find(const std::string &service, const std::string &account) const
{
    const auto shared = services_.find(service);
    if (shared == services_.end()) {
        return nullptr;
    }
    const auto holder = shared->second.accounts.find(shareHolder(account));
    return holder == shared->second.accounts.end() ? nullptr : &holder->second;
}

void TurnQueue::enlist(Service &service, Account &account)
{
    const TurnKey &first = account.turns.begin()->first;
    account.isOver = service.isOverShare(account.held);
    if (account.isOver) {
        service.over.emplace(OverKey(account.held, first), &account);
        return;
    }
    service.within.emplace(WithinKey(first.group, first.rank, account.held, first.sequence), &account);
    service.withinByHeld.emplace(OverKey(account.held, first), &account);
}

void TurnQueue::unlist(Service &service, Account &account)
{
    if (account.turns.empty()) {
        return;
    }
    const TurnKey &first = account.turns.begin()->first;
    if (account.isOver) {
        service.over.erase(OverKey(account.held, first));
        return;
    }
    service.within.erase(WithinKey(first.group, first.rank, account.held, first.sequence));
    service.withinByHeld.erase(OverKey(account.held, first));
}

void TurnQueue::update(Service &service, const std::string &name, Account &account)
{
    if (!account.turns.empty()) {
        enlist(service, account);
    } else if (account.held == 0) {
        service.accounts.erase(name);
    }
    rebalance(service);
}

void TurnQueue::rebalance(Service &service)
{
    const auto move = [&service](Account &account) {
        unlist(service, account);
        enlist(service, account);
    };
    while (!service.withinByHeld.empty() && service.isOverShare(service.withinByHeld.rbegin()->first.first)) {
        move(*service.withinByHeld.rbegin()->second);
    }
    while (!service.over.empty() && !service.isOverShare(service.over.begin()->first.first)) {
        move(*service.over.begin()->second);
    }
}

} // namespace cardamompost
