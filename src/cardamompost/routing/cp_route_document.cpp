#include <cardamompost/routing/cp_route_document.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace cardamompost
{

namespace
{

Error routeFault(const Route &route, std::string_view what)
{
    return makeError(ErrorKind::InvalidConfiguration, fmt::format("route '{}': {}", route.name, what));
}

Result<void> checkShares(const Route &route, const std::set<std::string_view> &services)
{
    std::uint64_t sum = 0;
    for (const RouteShare &share : route.shares) {
        if (!services.contains(share.service)) {
            return routeFault(route, fmt::format("the service '{}' is not in the document", share.service));
        }
        sum += share.weight;
    }
    if (sum == 0) {
        return routeFault(route, "the weights add up to 0");
    }
    return boost::outcome_v2::success();
}

Result<void> checkRoute(const Route &route, const std::set<std::string_view> &services)
{
    if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/') {
        return routeFault(route, "the path prefix must begin and end with a slash");
    }
    if (route.timeout.count() <= 0) {
        return routeFault(route, "the time-out is 0");
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
    std::set<std::pair<std::string_view, std::string_view>> places;
    for (const Route &route : document.routes) {
        BOOST_OUTCOME_TRYV(checkRoute(route, services));
        if (!places.emplace(route.host, route.prefix).second) {
            return routeFault(route, "another route has the same host and path prefix");
        }
    }
    return checkAccounts(document.accounts);
}

} // namespace cardamompost
