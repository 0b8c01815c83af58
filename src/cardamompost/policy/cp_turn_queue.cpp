#include <cardamompost/policy/cp_turn_queue.hpp>

#include <utility>

namespace cardamompost
{

void TurnQueue::push(QueuedTurn turn)
{
    const Key key {turn.group, turn.rank, nextSequence_++};
    positions_.emplace(turn.turn, Position {turn.service, key});
    services_[turn.service].emplace(key, std::move(turn));
}

bool TurnQueue::remove(const std::string &turn)
{
    const auto position = positions_.find(turn);
    if (position == positions_.end()) {
        return false;
    }
    services_.at(position->second.service).erase(position->second.key);
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
    return found == services_.end() || found->second.empty() ? nullptr : &found->second.begin()->second;
}

std::size_t TurnQueue::waiting(const std::string &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.size();
}

std::vector<std::string> TurnQueue::services() const
{
    std::vector<std::string> names;
    for (const auto &[name, turns] : services_) {
        if (!turns.empty()) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace cardamompost
