#include <cardamompost/routing/cp_backend_list.hpp>

#include <unordered_map>

namespace cardamompost
{

std::vector<BackendServer> latestIncarnations(std::vector<BackendServer> servers)
{
    std::vector<BackendServer> kept;
    std::unordered_map<std::string, std::size_t> places;
    for (BackendServer &server : servers) {
        const auto [place, isNew] = places.emplace(server.id, kept.size());
        if (isNew) {
            kept.push_back(std::move(server));
        } else if (server.born >= kept[place->second].born) {
            kept[place->second] = std::move(server);
        }
    }
    return kept;
}

} // namespace cardamompost
