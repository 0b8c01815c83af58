#include <cardamompost/core/cp_invariant.hpp>
#include <cardamompost/routing/cp_route_table.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

//! The host without its port, in lower case.
std::string normalizeHost(std::string_view host)
{
    std::string normalized(host.substr(0, host.find(':')));
    std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                   [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return normalized;
}

} // namespace

RouteTable::RouteTable(RouteDocument document)
    : document_(std::move(document))
    , accounts_(document_.accounts)
{
    for (const Route &route : document_.routes) {
        byHost_[normalizeHost(route.host)].push_back(&route);
    }
    for (auto &[host, routes] : byHost_) {
        std::sort(routes.begin(), routes.end(),
                  [](const Route *left, const Route *right) { return left->prefix.size() > right->prefix.size(); });
    }
    for (const BackendService &service : document_.services) {
        services_.emplace(service.name, &service);
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto found = byHost_.find(normalizeHost(host));
    if (found == byHost_.end()) {
        return nullptr;
    }
    const auto matches = [&](const Route *route) { return path.starts_with(route->prefix); };
    const auto route = std::find_if(found->second.begin(), found->second.end(), matches);
    return route == found->second.end() ? nullptr : *route;
}

bool RouteTable::hasRoute(std::string_view name) const
{
    return std::any_of(document_.routes.begin(), document_.routes.end(),
                       [&](const Route &route) { return route.name == name; });
}

const BackendService *RouteTable::service(std::string_view name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

const std::string &RouteTable::pickService(const Route &route, std::uint64_t hash)
{
    std::uint64_t sum = 0;
    for (const RouteShare &share : route.shares) {
        sum += share.weight;
    }
    checkInvariant(sum > 0, "a validated route has a share with a positive weight");
    std::uint64_t remainder = hash % sum;
    for (const RouteShare &share : route.shares) {
        if (remainder < share.weight) {
            return share.service;
        }
        remainder -= share.weight;
    }
    return route.shares.back().service;
}

} // namespace cardamompost
