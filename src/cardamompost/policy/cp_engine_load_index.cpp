#include <cardamompost/policy/cp_engine_load_index.hpp>

#include <utility>
#include <vector>

namespace cardamompost
{

EngineLoadIndex::Ordered &EngineLoadIndex::orderedFor(const EngineLoad &load)
{
    Domain &domain = domains_[load.failureDomain];
    return load.hasRoom ? domain.withRoom : domain.full;
}

void EngineLoadIndex::set(const std::string &id, const EngineLoad &load)
{
    remove(id);
    Position position {load, {load.load, random_(), id}};
    orderedFor(load).insert(position.key);
    ++countByTurns_[load.turns];
    positions_.emplace(id, std::move(position));
}

void EngineLoadIndex::remove(const std::string &id)
{
    const auto found = positions_.find(id);
    if (found == positions_.end()) {
        return;
    }
    const EngineLoad &load = found->second.load;
    orderedFor(load).erase(found->second.key);
    const auto count = countByTurns_.find(load.turns);
    if (--count->second == 0) {
        countByTurns_.erase(count);
    }
    positions_.erase(found);
}

std::optional<double> EngineLoadIndex::fewestTurns() const
{
    return countByTurns_.empty() ? std::nullopt : std::optional(countByTurns_.begin()->first);
}

std::size_t EngineLoadIndex::enginesIn(const std::string &failureDomain) const
{
    const auto domain = domains_.find(failureDomain);
    return domain == domains_.end() ? 0 : domain->second.withRoom.size() + domain->second.full.size();
}

std::optional<std::string> EngineLoadIndex::leastLoaded(const std::string &failureDomain, double crossDomainCost,
                                                        bool needsRoom)
{
    double lowestCost = 0;
    std::vector<const std::string *> best;
    const auto consider = [&](const Ordered &engines, double domainCost) {
        if (engines.empty()) {
            return;
        }
        ++examined_;
        const Key &first = *engines.begin();
        const double cost = first.load + domainCost;
        if (best.empty() || cost < lowestCost) {
            best.clear();
            lowestCost = cost;
        }
        if (cost <= lowestCost) {
            best.push_back(&first.id);
        }
    };
    for (const auto &[name, domain] : domains_) {
        const double domainCost = name == failureDomain ? 0 : crossDomainCost;
        consider(domain.withRoom, domainCost);
        if (!needsRoom) {
            consider(domain.full, domainCost);
        }
    }
    if (best.empty()) {
        return std::nullopt;
    }
    return *best[random_() % best.size()];
}

} // namespace cardamompost
