#include <cardamompost/policy/cp_turn_placement.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

// Computing a shorter prompt again takes about as long as asking another engine for it.
constexpr std::uint32_t minFetchedPromptTokens = 256;

//! Whether a turn's prompt is long enough to be fetched. One of unknown length is if its program has a history.
bool isWorthFetching(const SlotRequest &request)
{
    return request.promptTokens == 0 ? request.isInProgress : request.promptTokens >= minFetchedPromptTokens;
}

bool isSameIncarnation(std::uint64_t left, std::uint64_t right)
{
    return left == 0 || right == 0 || left == right;
}

} // namespace

std::string TurnPlacement::promptSourceOf(const std::string &turn) const
{
    const auto reservation = reservations_.find(turn);
    return reservation == reservations_.end() ? std::string() : reservation->second.promptSource;
}

std::string TurnPlacement::findPromptSource(const SlotRequest &request, const std::string &engine, TimePoint now) const
{
    if (!options_.namesPromptSources || request.program.empty() || !isWorthFetching(request)) {
        return {};
    }
    const auto affinity = affinities_.find(request.program);
    const auto target = engines_.find(engine);
    if (affinity == affinities_.end() || affinity->second.engine == engine || target == engines_.end()) {
        return {};
    }
    return keepsPrompts(affinity->second, target->second.version(), now) ? affinity->second.engine : std::string();
}

bool TurnPlacement::keepsPrompts(const Affinity &affinity, const ServerVersion &target, TimePoint now) const
{
    const auto isSource = [&](const ServerVersion &version, std::uint64_t incarnation, TimePoint avoidUntil) {
        return canExchangePrompts(version, target) && isSameIncarnation(incarnation, affinity.incarnation)
            && now >= avoidUntil;
    };
    if (const auto leaving = leaving_.find(affinity.engine); leaving != leaving_.end()) {
        return isSource(leaving->second.version, leaving->second.incarnation, leaving->second.avoidUntil);
    }
    const auto found = engines_.find(affinity.engine);
    return found != engines_.end() && found->second.isOpen
        && isSource(found->second.version(), found->second.incarnation, found->second.avoidUntil);
}

std::uint64_t TurnPlacement::incarnationOf(const std::string &engine) const
{
    const auto found = engines_.find(engine);
    return found == engines_.end() ? 0 : found->second.incarnation;
}

void TurnPlacement::addLeaving(const BackendServer &server)
{
    LeavingEngine &leaving = leaving_[server.id];
    leaving.version = server.version();
    leaving.incarnation = server.incarnation;
    if (const auto known = engines_.find(server.id); known != engines_.end()) {
        leaving.avoidUntil = std::max(leaving.avoidUntil, known->second.avoidUntil);
    }
}

} // namespace cardamompost
