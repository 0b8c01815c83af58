#include <cardamompost/routing/cp_route_document.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace cardamompost
{

namespace
{

Error routeError(const Route &route, std::string_view message)
{
    return makeError(ErrorKind::InvalidConfiguration, fmt::format("route '{}': {}", route.name, message));
}

Result<void> checkShares(const Route &route, const std::set<std::string_view> &services)
{
    std::uint64_t totalWeight = 0;
    for (const RouteShare &share : route.shares) {
        if (!services.contains(share.service)) {
            return routeError(route, fmt::format("the document has no service '{}'", share.service));
        }
        totalWeight += share.weight;
    }
    if (totalWeight == 0) {
        return routeError(route, "the weights of the services add up to 0");
    }
    return boost::outcome_v2::success();
}

Result<void> checkRoute(const Route &route, const std::set<std::string_view> &services)
{
    if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/') {
        return routeError(route, "the path prefix must begin and end with a slash");
    }
    if (route.timeout.count() <= 0) {
        return routeError(route, "the timeout must be positive");
    }
    return checkShares(route, services);
}

} // namespace

Result<void> checkRouteDocument(const RouteDocument &document)
{
    std::set<std::string_view> services;
    for (const BackendService &service : document.services) {
        services.insert(service.name);
    }
    std::set<std::pair<std::string_view, std::string_view>> prefixes;
    for (const Route &route : document.routes) {
        BOOST_OUTCOME_TRYV(checkRoute(route, services));
        if (!prefixes.emplace(route.host, route.prefix).second) {
            return routeError(route, "another route has the same host and path prefix");
        }
    }
    return checkAccounts(document.accounts);
}

} // namespace cardamompost
