#include "cp_backend_pool.hpp"

#include <cardamompost/core/cp_ids.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cmath>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cardamompost
{

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
// Half-life of a load report.
constexpr double reportHalfLifeMs = 300;
// Cost of a server in another failure domain, as a share of its slots.
constexpr double otherDomainPenalty = 0.2;
constexpr std::size_t sampledServers = 3;
// Servers of a service that an entry prefers until they are busy. Fewer servers keep pooled connections in more
// frequent use, so that servers do not close them as idle.
constexpr std::size_t preferredServers = 6;
// Share of its slots above which a preferred server is busy.
constexpr double preferredLoadLimit = 0.35;
constexpr std::size_t maxIdlePerServer = 16;
// Shorter than the servers' own idle timeouts: a request that races with the server's close has an unknown outcome.
constexpr Milliseconds maxIdleTime {20'000};
constexpr int userTimeoutMs = 2500;
// The kernel closes an idle connection whose peer is unreachable after about three seconds.
constexpr int keepaliveIdleSeconds = 1;
constexpr int keepaliveIntervalSeconds = 1;
constexpr int keepaliveProbes = 2;

void setOption(boost::beast::tcp_stream &stream, int level, int name, int value)
{
    ::setsockopt(stream.socket().native_handle(), level, name, &value, sizeof(value));
}

//! Detects connections that the peer or a middlebox has dropped silently. A request written to one is lost, and
//! can be retried only if it is repeatable.
void enableKeepalive(boost::beast::tcp_stream &stream)
{
    setOption(stream, IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMs);
    setOption(stream, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(stream, IPPROTO_TCP, TCP_KEEPIDLE, keepaliveIdleSeconds);
    setOption(stream, IPPROTO_TCP, TCP_KEEPINTVL, keepaliveIntervalSeconds);
    setOption(stream, IPPROTO_TCP, TCP_KEEPCNT, keepaliveProbes);
}

// Consecutive failures after which a server is ejected.
constexpr unsigned failuresUntilEjection = 2;
constexpr Milliseconds ejectionTime {1000};
// Share of a service's servers that may be ejected for failures at the same time.
constexpr double maxEjectedShare = 0.34;

bool isReusable(BackendConnection &connection)
{
    // An idle connection has nothing to read; end of stream or stray bytes make it unusable.
    char byte = 0;
    const auto received
        = ::recv(connection.stream.socket().native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

double BackendState::load(TimePoint now) const
{
    const double ageMs = std::chrono::duration<double, std::milli>(now - reportedAt_).count();
    return inFlight_ + reportedByOthers_ * std::exp2(-ageMs / reportHalfLifeMs);
}

void BackendState::report(unsigned running, unsigned waiting, TimePoint now)
{
    reportedByOthers_ = std::max(0.0, static_cast<double>(running) + waiting - inFlight_);
    reportedAt_ = now;
}

BackendPool::BackendPool(std::string vm, std::string failureDomain, MetricRegistry &metrics)
    : vm_(std::move(vm))
    , failureDomain_(std::move(failureDomain))
    , random_(randomIdentity())
    , connects_(metrics.counter("cardamompost_backend_connects_total"))
    , reusedConnections_(metrics.counter("cardamompost_backend_reused_total"))
{
}

std::vector<BackendServer> BackendPool::servers() const
{
    std::vector<BackendServer> servers;
    for (const auto &[id, state] : byId_) {
        servers.push_back(state->server_);
    }
    return servers;
}

bool BackendPool::setList(const BackendList &list)
{
    if (list.version <= version_) {
        return false;
    }
    version_ = list.version;
    std::map<std::string, std::shared_ptr<BackendState>> byId;
    byService_.clear();
    // Filtered here as well as by the list's reader, because a new leader has no earlier list to compare with.
    for (const BackendServer &server : latestIncarnations(list.servers, servers())) {
        const auto known = byId_.find(server.id);
        const bool isKnown = known != byId_.end() && known->second->server_.incarnation == server.incarnation;
        // A new incarnation starts with fresh state: connections, load and failures of the previous one do not apply.
        auto state = isKnown ? known->second : std::make_shared<BackendState>(server);
        state->server_ = server;
        if (server.isLeaving) {
            state->idle_.clear();
        } else {
            byService_[server.service].push_back(state);
        }
        byId.emplace(server.id, std::move(state));
    }
    for (const auto &[id, state] : byId_) {
        const auto current = byId.find(id);
        if (current == byId.end() || current->second != state) {
            state->server_.isLeaving = true;
            state->idle_.clear();
        }
    }
    byId_ = std::move(byId);
    for (auto &[service, servers] : byService_) {
        sortByPreference(servers);
    }
    return true;
}

void BackendPool::sortByPreference(std::vector<std::shared_ptr<BackendState>> &servers) const
{
    // Servers in this entry's failure domain come first, then by a hash seeded with the entry's name. The preferences
    // of entries overlap evenly, and a server that joins or leaves changes few of them.
    const auto order = [&](const std::shared_ptr<BackendState> &backend) {
        return std::pair(backend->server_.failureDomain != failureDomain_,
                         stableHash(vm_, stableHash(backend->server_.id)));
    };
    std::sort(servers.begin(), servers.end(),
              [&](const auto &left, const auto &right) { return order(left) < order(right); });
}

std::shared_ptr<BackendState> BackendPool::find(const std::string &id, TimePoint now) const
{
    const auto found = byId_.find(id);
    const bool isUsable = found != byId_.end() && !found->second->server_.isLeaving && !found->second->isEjected(now);
    return isUsable ? found->second : nullptr;
}

std::vector<std::string> BackendPool::ejected(std::string_view service, TimePoint now) const
{
    std::vector<std::string> ids;
    const auto found = byService_.find(std::string(service));
    if (found == byService_.end()) {
        return ids;
    }
    for (const auto &backend : found->second) {
        if (backend->isEjected(now)) {
            ids.push_back(backend->server_.id);
        }
    }
    return ids;
}

std::shared_ptr<BackendState> BackendPool::pick(const PickRequest &request, TimePoint now)
{
    const auto found = byService_.find(std::string(request.service));
    if (found == byService_.end()) {
        return nullptr;
    }
    std::vector<std::shared_ptr<BackendState>> usable;
    std::vector<std::shared_ptr<BackendState>> ejected;
    for (const auto &backend : found->second) {
        if (!request.tried.contains(backend->server_.id)) {
            (backend->isEjected(now) ? ejected : usable).push_back(backend);
        }
    }
    // If every server is ejected, an ejected one is still better than none.
    if (usable.empty()) {
        usable.swap(ejected);
    }
    if (usable.empty()) {
        return nullptr;
    }
    return request.stickyHash != 0 ? pickSticky(usable, request, now) : pickLeastLoaded(usable, now);
}

std::shared_ptr<BackendState> BackendPool::pickSticky(const std::vector<std::shared_ptr<BackendState>> &usable,
                                                      const PickRequest &request, TimePoint now) const
{
    // Rendezvous hashing: all entries order the servers alike for the same sticky hash, and a server that joins or
    // leaves moves only its own share of the requests.
    std::vector<std::pair<std::uint64_t, std::shared_ptr<BackendState>>> order;
    for (const auto &backend : usable) {
        order.emplace_back(stableHash(backend->server_.id, request.stickyHash), backend);
    }
    std::sort(order.begin(), order.end(), [](const auto &left, const auto &right) { return left.first > right.first; });
    const auto loadShare = [&](const auto &item) { return item.second->load(now) / item.second->server().slots; };
    for (const auto &item : order) {
        if (loadShare(item) < request.stickyLoadLimit) {
            return item.second;
        }
    }
    return std::min_element(order.begin(), order.end(),
                            [&](const auto &left, const auto &right) { return loadShare(left) < loadShare(right); })
        ->second;
}

std::shared_ptr<BackendState> BackendPool::pickPreferred(const std::vector<std::shared_ptr<BackendState>> &usable,
                                                         TimePoint now) const
{
    const auto loadShare = [&](const auto &backend) { return backend->load(now) / backend->server().slots; };
    const auto end = usable.begin() + static_cast<std::ptrdiff_t>(std::min(preferredServers, usable.size()));
    const auto least = std::min_element(
        usable.begin(), end, [&](const auto &left, const auto &right) { return loadShare(left) < loadShare(right); });
    return least != end && loadShare(*least) < preferredLoadLimit ? *least : nullptr;
}

std::shared_ptr<BackendState> BackendPool::pickLeastLoaded(const std::vector<std::shared_ptr<BackendState>> &usable,
                                                           TimePoint now)
{
    if (auto preferred = pickPreferred(usable, now)) {
        return preferred;
    }
    // Compares a few random servers. Otherwise all entries would pick the same least loaded one until its next report.
    const auto cost = [&](const BackendState &backend) {
        const double domainPenalty = backend.server().failureDomain == failureDomain_ ? 0 : otherDomainPenalty;
        return backend.load(now) / backend.server().slots + domainPenalty;
    };
    std::shared_ptr<BackendState> best;
    for (std::size_t i = 0; i < sampledServers; ++i) {
        const auto &candidate = usable[random_() % usable.size()];
        if (!best || cost(*candidate) < cost(*best)) {
            best = candidate;
        }
    }
    return best;
}

std::shared_ptr<BackendConnection> BackendPool::takeIdle(BackendState &backend, TimePoint now)
{
    while (!backend.idle_.empty()) {
        std::shared_ptr<BackendConnection> connection = std::move(backend.idle_.back());
        backend.idle_.pop_back();
        if (now < connection->reusableUntil && isReusable(*connection)) {
            reusedConnections_.add();
            return connection;
        }
    }
    return nullptr;
}

asio::awaitable<Result<std::shared_ptr<BackendConnection>>> BackendPool::connect(std::shared_ptr<BackendState> backend,
                                                                                 Milliseconds timeout)
{
    connects_.add();
    const auto executor = co_await asio::this_coro::executor;
    beast::tcp_stream stream(executor);
    stream.expires_after(timeout);
    const Address &address = backend->server().address;
    boost::system::error_code invalid;
    const auto host = asio::ip::make_address(address.host, invalid);
    if (invalid) {
        co_return makeError(ErrorKind::BackendFailed, "the server's address in the list is not an IP address");
    }
    const asio::ip::tcp::endpoint endpoint(host, address.port);
    const auto [error] = co_await stream.async_connect(endpoint, asTuple);
    if (error) {
        co_return makeError(ErrorKind::BackendFailed, address.toString() + ": " + error.message());
    }
    boost::system::error_code ignored;
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    enableKeepalive(stream);
    stream.expires_never();
    co_return std::make_shared<BackendConnection>(std::move(stream));
}

void BackendPool::release(BackendState &backend, std::shared_ptr<BackendConnection> connection, TimePoint now)
{
    if (backend.server_.isLeaving || backend.idle_.size() >= maxIdlePerServer) {
        return;
    }
    connection->reusableUntil = std::min(connection->reusableUntil, now + maxIdleTime);
    connection->stream.expires_never();
    backend.idle_.push_back(std::move(connection));
}

bool BackendPool::recordFailure(BackendState &backend, TimePoint now)
{
    // After a crash or a silent close, every idle connection would lose one request.
    backend.idle_.clear();
    ++backend.consecutiveFailures_;
    const auto service = byService_.find(backend.server_.service);
    if (backend.consecutiveFailures_ < failuresUntilEjection || service == byService_.end()) {
        return false;
    }
    const auto ejectedCount = std::count_if(service->second.begin(), service->second.end(),
                                            [&](const auto &other) { return other->isEjected(now); });
    // Limits ejection so that the remaining servers are not overloaded.
    const auto maxEjected = static_cast<double>(service->second.size()) * maxEjectedShare;
    if (static_cast<double>(ejectedCount) >= maxEjected) {
        return false;
    }
    // A failing server has few requests in flight, so it would otherwise attract more of them.
    backend.ejectUntil(now + ejectionTime);
    return true;
}

void BackendPool::closeIdle(TimePoint now)
{
    for (const auto &[id, backend] : byId_) {
        std::erase_if(backend->idle_, [&](const auto &connection) { return now >= connection->reusableUntil; });
    }
}

} // namespace cardamompost
