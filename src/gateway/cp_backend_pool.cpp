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
// Random servers drawn for one that is usable.
constexpr std::size_t maxDraws = 8;
// Servers of a service that an entry prefers until they are busy. Fewer servers keep pooled connections in more
// frequent use, so that servers do not close them as idle.
constexpr std::size_t preferredServers = 6;
// Share of its slots above which a preferred server is busy.
constexpr double preferredLoadLimit = 0.35;
constexpr std::size_t maxIdlePerServer = 16;
// Shorter than the servers' own idle timeouts: a request that races with the server's close has an unknown outcome.
constexpr Milliseconds maxIdleTime {20'000};
// How long an unused connection may wait for its first request; servers may close it sooner than a used one.
constexpr Milliseconds probeReuseTime {1000};
constexpr int userTimeoutMs = 2500;
// The kernel closes an idle connection whose peer is unreachable after about three seconds.
constexpr int keepaliveIdleSeconds = 1;
constexpr int keepaliveIntervalSeconds = 1;
constexpr int keepaliveProbes = 2;

// By default the kernel lets the buffers grow to megabytes, which it holds for the process.
constexpr int socketBufferBytes = 64 << 10;

void setOption(boost::beast::tcp_stream &stream, int level, int name, int value)
{
    ::setsockopt(stream.socket().native_handle(), level, name, &value, sizeof(value));
}

//! Bounds the kernel's buffers, and detects connections that the peer or a middlebox has dropped silently. A request
//! written to one is lost, and can be retried only if it is repeatable.
void setOptions(boost::beast::tcp_stream &stream)
{
    setOption(stream, IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMs);
    setOption(stream, SOL_SOCKET, SO_RCVBUF, socketBufferBytes);
    setOption(stream, SOL_SOCKET, SO_SNDBUF, socketBufferBytes);
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

bool BackendPool::setList(const BackendList &list)
{
    if (list.version <= version_) {
        return false;
    }
    BackendChanges changes;
    changes.changed = latestIncarnations(list.servers);
    std::unordered_set<std::string_view> listed;
    for (const BackendServer &server : list.servers) {
        listed.insert(server.id);
    }
    for (const auto &[id, state] : byId_) {
        if (!listed.contains(id)) {
            changes.removed.push_back(id);
        }
    }
    update(changes, list.version);
    return true;
}

void BackendPool::update(const BackendChanges &changes, const BackendListVersion &version)
{
    version_ = version;
    Servers added;
    for (const BackendServer &server : changes.changed) {
        if (auto state = updateServer(server)) {
            added.push_back(std::move(state));
        }
    }
    for (const std::string &id : changes.removed) {
        removeServer(id);
    }
    addToServices(std::move(added));
}

std::shared_ptr<BackendState> BackendPool::updateServer(const BackendServer &server)
{
    const auto known = byId_.find(server.id);
    if (known != byId_.end() && known->second->server_.incarnation > server.incarnation) {
        // Checked here as well as by the list's reader, because a new leader has no earlier list to compare with.
        return nullptr;
    }
    const bool isKnown = known != byId_.end() && known->second->server_.incarnation == server.incarnation
        && known->second->server_.softwareVersion == server.softwareVersion;
    if (known != byId_.end() && !isKnown) {
        // A new incarnation starts with fresh state: connections, load and failures of the previous one do not apply.
        // Software is replaced by a restart only.
        removeServer(server.id);
    }
    auto &state = byId_[server.id];
    if (state) {
        removeFromService(*state);
    } else {
        state = std::make_shared<BackendState>(server);
    }
    state->server_ = server;
    if (server.isLeaving) {
        state->idle_.clear();
        withIdle_.erase(state);
        return nullptr;
    }
    // Servers in this entry's failure domain come first, then by a hash seeded with the entry's name. The preferences
    // of entries overlap evenly, and a server that joins or leaves changes few of them.
    state->preference_ = {server.failureDomain != failureDomain_, stableHash(vm_, stableHash(server.id))};
    return state;
}

void BackendPool::removeServer(const std::string &id)
{
    const auto found = byId_.find(id);
    if (found == byId_.end()) {
        return;
    }
    const std::shared_ptr<BackendState> state = found->second;
    removeFromService(*state);
    state->server_.isLeaving = true;
    state->idle_.clear();
    withIdle_.erase(state);
    byId_.erase(found);
}

void BackendPool::removeFromService(const BackendState &backend)
{
    const auto service = byService_.find(backend.server_.service);
    if (service == byService_.end() || backend.server_.isLeaving) {
        return;
    }
    Servers &servers = service->second;
    const auto first = std::lower_bound(
        servers.begin(), servers.end(), backend.preference_,
        [](const auto &candidate, const auto &preference) { return candidate->preference_ < preference; });
    const auto found = std::find_if(first, servers.end(), [&](const auto &other) { return other.get() == &backend; });
    if (found != servers.end()) {
        servers.erase(found);
    }
    if (servers.empty()) {
        byService_.erase(service);
    }
}

void BackendPool::addToServices(Servers added)
{
    const auto isPreferred = [](const auto &left, const auto &right) { return left->preference_ < right->preference_; };
    std::unordered_map<std::string, Servers> addedByService;
    for (auto &state : added) {
        addedByService[state->server_.service].push_back(std::move(state));
    }
    for (auto &[service, states] : addedByService) {
        std::sort(states.begin(), states.end(), isPreferred);
        Servers &servers = byService_[service];
        const auto middle = static_cast<std::ptrdiff_t>(servers.size());
        servers.insert(servers.end(), states.begin(), states.end());
        std::inplace_merge(servers.begin(), servers.begin() + middle, servers.end(), isPreferred);
    }
}

std::shared_ptr<BackendState> BackendPool::find(const std::string &id, TimePoint now) const
{
    const auto found = byId_.find(id);
    const bool isUsable = found != byId_.end() && !found->second->server_.isLeaving && !found->second->isEjected(now);
    return isUsable ? found->second : nullptr;
}

const BackendServer *BackendPool::serverOf(const std::string &id) const
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? nullptr : &found->second->server_;
}

std::optional<Address> BackendPool::addressOf(const std::string &id, TimePoint now) const
{
    const auto found = byId_.find(id);
    const bool isReachable = found != byId_.end() && !found->second->isEjected(now);
    return isReachable ? std::optional(found->second->server_.address) : std::nullopt;
}

std::optional<Address> BackendPool::promptAddressOf(const std::string &source, const BackendServer &target,
                                                    TimePoint now) const
{
    const std::optional<Address> address = addressOf(source, now);
    // A server that restarted with another id may have the address of the former one.
    if (!address || source == target.id || *address == target.address) {
        return std::nullopt;
    }
    const BackendState &state = *byId_.at(source);
    return !state.hasRestarted() && canExchangePrompts(state.server_.version(), target.version()) ? address
                                                                                                  : std::nullopt;
}

void BackendPool::eject(BackendState &backend, TimePoint until)
{
    backend.ejectedUntil_ = until;
    ejected_.insert(backend.shared_from_this());
}

std::vector<std::string> BackendPool::ejected(std::string_view service, TimePoint now)
{
    std::erase_if(ejected_,
                  [&](const auto &backend) { return !backend->isEjected(now) || backend->server_.isLeaving; });
    std::vector<std::string> ids;
    for (const auto &backend : ejected_) {
        if (backend->server_.service == service) {
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
    const auto isUntried = [&](const BackendState &backend) {
        const bool hasVersion = request.softwareVersion.empty()
            || (backend.server_.softwareVersion == request.softwareVersion && !backend.hasRestarted());
        return hasVersion && !request.tried.contains(backend.server_.id)
            && !request.excludedVersions.contains(backend.server_.softwareVersion);
    };
    const auto isUsable = [&](const BackendState &backend) { return !backend.isEjected(now) && isUntried(backend); };
    auto chosen = choose(found->second, request, now, isUsable);
    // If every server is ejected, an ejected one is still better than none.
    return chosen ? chosen : choose(found->second, request, now, isUntried);
}

std::shared_ptr<BackendState> BackendPool::choose(const Servers &servers, const PickRequest &request, TimePoint now,
                                                  const Filter &isUsable)
{
    return request.stickyHash != 0 ? pickSticky(servers, request, now, isUsable)
                                   : pickLeastLoaded(servers, now, isUsable);
}

std::shared_ptr<BackendState> BackendPool::pickSticky(const Servers &servers, const PickRequest &request, TimePoint now,
                                                      const Filter &isUsable)
{
    // Rendezvous hashing: all entries order the servers alike for the same sticky hash, and a server that joins or
    // leaves moves only its own share of the requests.
    std::shared_ptr<BackendState> first;
    std::uint64_t firstHash = 0;
    std::shared_ptr<BackendState> leastLoaded;
    double lowestShare = 0;
    for (const auto &backend : servers) {
        if (!isUsable(*backend)) {
            continue;
        }
        const double share = backend->load(now) / backend->server().slots;
        const std::uint64_t hash = stableHash(backend->server_.id, request.stickyHash);
        if (share < request.stickyLoadLimit && (!first || hash > firstHash)) {
            first = backend;
            firstHash = hash;
        }
        if (!leastLoaded || share < lowestShare) {
            leastLoaded = backend;
            lowestShare = share;
        }
    }
    return first ? first : leastLoaded;
}

std::shared_ptr<BackendState> BackendPool::pickPreferred(const Servers &servers, TimePoint now, const Filter &isUsable)
{
    std::shared_ptr<BackendState> least;
    double lowestShare = preferredLoadLimit;
    std::size_t usable = 0;
    for (const auto &backend : servers) {
        ++examined_;
        if (!isUsable(*backend)) {
            continue;
        }
        const double share = backend->load(now) / backend->server().slots;
        if (share < lowestShare) {
            least = backend;
            lowestShare = share;
        }
        if (++usable == preferredServers) {
            break;
        }
    }
    return least;
}

std::shared_ptr<BackendState> BackendPool::drawUsable(const Servers &servers, const Filter &isUsable)
{
    for (std::size_t draw = 0; draw < maxDraws; ++draw) {
        ++examined_;
        const auto &candidate = servers[random_() % servers.size()];
        if (isUsable(*candidate)) {
            return candidate;
        }
    }
    return nullptr;
}

std::shared_ptr<BackendState> BackendPool::pickLeastLoaded(const Servers &servers, TimePoint now,
                                                           const Filter &isUsable)
{
    if (auto preferred = pickPreferred(servers, now, isUsable)) {
        return preferred;
    }
    // Compares a few random servers. Otherwise all entries would pick the same least loaded one until its next report.
    const auto cost = [&](const BackendState &backend) {
        const double domainPenalty = backend.server().failureDomain == failureDomain_ ? 0 : otherDomainPenalty;
        return backend.load(now) / backend.server().slots + domainPenalty;
    };
    std::shared_ptr<BackendState> best;
    for (std::size_t i = 0; i < sampledServers; ++i) {
        const auto candidate = drawUsable(servers, isUsable);
        if (candidate && (!best || cost(*candidate) < cost(*best))) {
            best = candidate;
        }
    }
    if (best) {
        return best;
    }
    const auto first
        = std::find_if(servers.begin(), servers.end(), [&](const auto &backend) { return isUsable(*backend); });
    return first == servers.end() ? nullptr : *first;
}

std::shared_ptr<BackendConnection> BackendPool::takeIdle(BackendState &backend, TimePoint now)
{
    while (!backend.idle_.empty()) {
        std::shared_ptr<BackendConnection> connection = std::move(backend.idle_.back());
        backend.idle_.pop_back();
        if (now < connection->reusableUntil && isReusable(*connection)) {
            reusedConnections_.add();
            connection->isReused = true;
            return connection;
        }
    }
    return nullptr;
}

asio::awaitable<boost::system::error_code> BackendPool::open(beast::tcp_stream &stream, const BackendState &backend,
                                                             Milliseconds timeout)
{
    connects_.add();
    stream.expires_after(timeout);
    const Address &address = backend.server().address;
    boost::system::error_code invalid;
    const auto host = asio::ip::make_address(address.host, invalid);
    if (invalid) {
        co_return asio::error::invalid_argument;
    }
    const asio::ip::tcp::endpoint endpoint(host, address.port);
    const auto [error] = co_await stream.async_connect(endpoint, asTuple);
    if (error) {
        co_return error;
    }
    boost::system::error_code ignored;
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    setOptions(stream);
    stream.expires_never();
    co_return boost::system::error_code {};
}

asio::awaitable<Result<std::shared_ptr<BackendConnection>>> BackendPool::connect(std::shared_ptr<BackendState> backend,
                                                                                 Milliseconds timeout)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    const boost::system::error_code error = co_await open(stream, *backend, timeout);
    if (error == asio::error::invalid_argument) {
        co_return makeError(ErrorKind::BackendFailed, "the server's address in the list is not an IP address");
    }
    if (error) {
        co_return makeError(ErrorKind::BackendFailed, backend->server().address.toString() + ": " + error.message());
    }
    co_return std::make_shared<BackendConnection>(std::move(stream));
}

asio::awaitable<Reachability> BackendPool::probe(std::shared_ptr<BackendState> backend, Milliseconds timeout)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    const boost::system::error_code error = co_await open(stream, *backend, timeout);
    if (error) {
        co_return error == asio::error::connection_refused ? Reachability::Refused : Reachability::Silent;
    }
    const TimePoint now = std::chrono::steady_clock::now();
    const auto connection = std::make_shared<BackendConnection>(std::move(stream));
    connection->reusableUntil = now + probeReuseTime;
    release(*backend, connection, now);
    co_return Reachability::Listening;
}

void BackendPool::release(BackendState &backend, std::shared_ptr<BackendConnection> connection, TimePoint now)
{
    if (backend.server_.isLeaving || backend.idle_.size() >= maxIdlePerServer) {
        return;
    }
    connection->reusableUntil = std::min(connection->reusableUntil, now + maxIdleTime);
    connection->stream.expires_never();
    backend.idle_.push_back(std::move(connection));
    withIdle_.insert(backend.shared_from_this());
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
    const std::size_t ejectedCount = ejected(backend.server_.service, now).size();
    // Limits ejection so that the remaining servers are not overloaded.
    const auto maxEjected = static_cast<double>(service->second.size()) * maxEjectedShare;
    if (static_cast<double>(ejectedCount) >= maxEjected) {
        return false;
    }
    // A failing server has few requests in flight, so it would otherwise attract more of them.
    eject(backend, now + ejectionTime);
    return true;
}

void BackendPool::closeIdle(TimePoint now)
{
    std::erase_if(withIdle_, [&](const std::shared_ptr<BackendState> &backend) {
        std::erase_if(backend->idle_, [&](const auto &connection) { return now >= connection->reusableUntil; });
        return backend->idle_.empty();
    });
}

} // namespace cardamompost
