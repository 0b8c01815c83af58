#include <cardamompost/routing/cp_backend_list.hpp>

#include <unordered_map>

namespace cardamompost
{

std::vector<BackendServer> latestIncarnations(std::vector<BackendServer> servers,
                                              const std::vector<BackendServer> &before)
{
    std::vector<BackendServer> kept;
    std::unordered_map<std::string, std::size_t> places;
    for (BackendServer &server : servers) {
        const auto [place, isNew] = places.emplace(server.id, kept.size());
        if (isNew) {
            kept.push_back(std::move(server));
        } else if (server.incarnation >= kept[place->second].incarnation) {
            kept[place->second] = std::move(server);
        }
    }
    for (const BackendServer &server : before) {
        const auto place = places.find(server.id);
        if (place != places.end() && server.incarnation > kept[place->second].incarnation) {
            kept[place->second] = server;
        }
    }
    return kept;
}

} // namespace cardamompost
