#include "cp_prompt_source.hpp"

namespace cardamompost
{

std::optional<PromptSource> findPromptSource(const ForwardedRequest &request, const BackendServer &target,
                                             const BackendPool &pool, TimePoint now)
{
    const bool mayFetch = request.begin && request.isPlacedByLeader && request.service->isEngine
        && request.service->engine.canFetchPrompts;
    if (!mayFetch) {
        return std::nullopt;
    }
    const std::string &source = request.begin->promptSource();
    const std::optional<Address> address = pool.promptAddressOf(source, target, now);
    if (!address) {
        return std::nullopt;
    }
    return PromptSource {source, address->toString()};
}

} // namespace cardamompost
