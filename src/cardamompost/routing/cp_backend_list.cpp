#include <cardamompost/routing/cp_backend_list.hpp>

#include <unordered_map>

namespace cardamompost
{

std::vector<BackendServer> latestIncarnations(std::vector<BackendServer> servers,
                                              const std::vector<BackendServer> &previous)
{
    std::vector<BackendServer> kept;
    std::unordered_map<std::string, std::size_t> positions;
    for (BackendServer &server : servers) {
        const auto [position, isNew] = positions.emplace(server.id, kept.size());
        if (isNew) {
            kept.push_back(std::move(server));
        } else if (server.incarnation >= kept[position->second].incarnation) {
            kept[position->second] = std::move(server);
        }
    }
    for (const BackendServer &server : previous) {
        const auto position = positions.find(server.id);
        if (position != positions.end() && server.incarnation > kept[position->second].incarnation) {
            kept[position->second] = server;
        }
    }
    return kept;
}

} // namespace cardamompost
