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
// A report of a server's load is worth half after this.
constexpr double reportHalfLifeMs = 300;
// What a server in another failure domain costs more, in shares of its slots.
constexpr double otherDomainCost = 0.2;
constexpr std::size_t sampledServers = 3;
// An entry keeps to so many servers of a service while they have places. Few servers mean connections that are in use
// again before their servers drop them.
constexpr std::size_t preferredServers = 6;
// The share of its slots from which on a preferred server counts as busy.
constexpr double preferredLoadLimit = 0.35;
constexpr std::size_t maxKeptPerServer = 16;
// Closed by us well before a server does: a request that crosses the server's close may or may not have run.
constexpr Milliseconds keepAtMost {20'000};
constexpr int userTimeoutMs = 2500;
// Kept connections that go silent for good are closed by the kernel within some three seconds of idleness.
constexpr int probeAfterSeconds = 1;
constexpr int probeIntervalSeconds = 1;
constexpr int probes = 2;

void setOption(boost::beast::tcp_stream &stream, int level, int name, int value)
{
    ::setsockopt(stream.socket().native_handle(), level, name, &value, sizeof(value));
}

//! Guards against a connection that something between has forgotten: a request written to it would be lost, and what
//! may run once could not be sent again.
void watchForSilence(boost::beast::tcp_stream &stream)
{
    setOption(stream, IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMs);
    setOption(stream, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(stream, IPPROTO_TCP, TCP_KEEPIDLE, probeAfterSeconds);
    setOption(stream, IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    setOption(stream, IPPROTO_TCP, TCP_KEEPCNT, probes);
}

// Requests that a server loses one after the other before it is left out.
constexpr unsigned lostUntilLeftOut = 2;
constexpr Milliseconds leaveOutFor {1000};
// The share of a service's servers that may be left out for lost requests at once.
constexpr double maxAvoidedShare = 0.34;

bool looksAlive(BackendConnection &connection)
{
    // A kept connection has nothing to read; an end or a byte there belongs to nobody's request.
    char byte = 0;
    const auto got = ::recv(connection.stream.socket().native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

double BackendState::load(TimePoint now) const
{
    const double ageMs = std::chrono::duration<double, std::milli>(now - reportedAt_).count();
    return inFlight_ + othersAtReport_ * std::exp2(-ageMs / reportHalfLifeMs);
}

void BackendState::report(unsigned running, unsigned waiting, TimePoint now)
{
    othersAtReport_ = std::max(0.0, static_cast<double>(running) + waiting - inFlight_);
    reportedAt_ = now;
}

BackendPool::BackendPool(std::string vm, std::string failureDomain, MetricRegistry &metrics)
    : vm_(std::move(vm))
    , failureDomain_(std::move(failureDomain))
    , random_(randomIdentity())
    , connects_(metrics.counter("cardamompost_backend_connects_total"))
    , reused_(metrics.counter("cardamompost_backend_reused_total"))
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
    // Also here, and not at the list's reader only: a new leader has no list before its first one.
    for (const BackendServer &server : latestIncarnations(list.servers, servers())) {
        const auto known = byId_.find(server.id);
        const bool isKnown = known != byId_.end() && known->second->server_.incarnation == server.incarnation;
        // Guards against what was known of the incarnation before: its connections are dead, its load is gone, and
        // what it lost says nothing of the one that runs now.
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
        const auto now = byId.find(id);
        if (now == byId.end() || now->second != state) {
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
    // Those of the own failure domain first, and then in an order of the entry's own, so that the entries' choices
    // overlap evenly and a server that comes or goes changes few of them.
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
    const bool isUsable = found != byId_.end() && !found->second->server_.isLeaving && !found->second->isAvoided(now);
    return isUsable ? found->second : nullptr;
}

std::vector<std::string> BackendPool::avoided(std::string_view service, TimePoint now) const
{
    std::vector<std::string> ids;
    const auto found = byService_.find(std::string(service));
    if (found == byService_.end()) {
        return ids;
    }
    for (const auto &backend : found->second) {
        if (backend->isAvoided(now)) {
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
    std::vector<std::shared_ptr<BackendState>> avoided;
    for (const auto &backend : found->second) {
        if (!request.tried.contains(backend->server_.id)) {
            (backend->isAvoided(now) ? avoided : usable).push_back(backend);
        }
    }
    // With all servers in doubt, one of them is still better than none.
    if (usable.empty()) {
        usable.swap(avoided);
    }
    if (usable.empty()) {
        return nullptr;
    }
    return request.stickyPoint != 0 ? pickSticky(usable, request, now) : pickLeastLoaded(usable, now);
}

std::shared_ptr<BackendState> BackendPool::pickSticky(const std::vector<std::shared_ptr<BackendState>> &usable,
                                                      const PickRequest &request, TimePoint now) const
{
    // Rendezvous hashing: every entry finds the same order of servers for a point without telling any other, and a
    // server that comes or goes moves only its own share of the points.
    std::vector<std::pair<std::uint64_t, std::shared_ptr<BackendState>>> order;
    for (const auto &backend : usable) {
        order.emplace_back(stableHash(backend->server_.id, request.stickyPoint), backend);
    }
    std::sort(order.begin(), order.end(), [](const auto &left, const auto &right) { return left.first > right.first; });
    const auto share = [&](const auto &item) { return item.second->load(now) / item.second->server().slots; };
    for (const auto &item : order) {
        if (share(item) < request.stickyLoadLimit) {
            return item.second;
        }
    }
    return std::min_element(order.begin(), order.end(),
                            [&](const auto &left, const auto &right) { return share(left) < share(right); })
        ->second;
}

std::shared_ptr<BackendState> BackendPool::pickPreferred(const std::vector<std::shared_ptr<BackendState>> &usable,
                                                         TimePoint now) const
{
    const auto share = [&](const auto &backend) { return backend->load(now) / backend->server().slots; };
    const auto end = usable.begin() + static_cast<std::ptrdiff_t>(std::min(preferredServers, usable.size()));
    const auto least = std::min_element(
        usable.begin(), end, [&](const auto &left, const auto &right) { return share(left) < share(right); });
    return least != end && share(*least) < preferredLoadLimit ? *least : nullptr;
}

std::shared_ptr<BackendState> BackendPool::pickLeastLoaded(const std::vector<std::shared_ptr<BackendState>> &usable,
                                                           TimePoint now)
{
    if (auto preferred = pickPreferred(usable, now)) {
        return preferred;
    }
    // Guards against a herd: all entries see the same server as the idlest for as long as its report is old, so each
    // compares a few that it draws by lot.
    const auto cost = [&](const BackendState &backend) {
        const double domain = backend.server().failureDomain == failureDomain_ ? 0 : otherDomainCost;
        return backend.load(now) / backend.server().slots + domain;
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

std::shared_ptr<BackendConnection> BackendPool::takeKept(BackendState &backend, TimePoint now)
{
    while (!backend.idle_.empty()) {
        std::shared_ptr<BackendConnection> connection = std::move(backend.idle_.back());
        backend.idle_.pop_back();
        if (now < connection->keptUntil && looksAlive(*connection)) {
            reused_.add();
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
        co_return makeError(ErrorKind::BackendFailed, "the list has no IP number for the server");
    }
    const asio::ip::tcp::endpoint endpoint(host, address.port);
    const auto [error] = co_await stream.async_connect(endpoint, asTuple);
    if (error) {
        co_return makeError(ErrorKind::BackendFailed, address.toString() + ": " + error.message());
    }
    boost::system::error_code ignored;
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    watchForSilence(stream);
    stream.expires_never();
    co_return std::make_shared<BackendConnection>(std::move(stream));
}

void BackendPool::keep(BackendState &backend, std::shared_ptr<BackendConnection> connection, TimePoint now)
{
    if (backend.server_.isLeaving || backend.idle_.size() >= maxKeptPerServer) {
        return;
    }
    connection->keptUntil = std::min(connection->keptUntil, now + keepAtMost);
    connection->stream.expires_never();
    backend.idle_.push_back(std::move(connection));
}

bool BackendPool::noteLost(BackendState &backend, TimePoint now)
{
    // Guards against a server that went down or dropped its idle connections without a word: each kept connection to it
    // would take a request and lose it, one after the other; and one that fails at once looks idle and draws more.
    backend.idle_.clear();
    ++backend.lostInARow_;
    const auto service = byService_.find(backend.server_.service);
    if (backend.lostInARow_ < lostUntilLeftOut || service == byService_.end()) {
        return false;
    }
    const auto avoidedBackends = std::count_if(service->second.begin(), service->second.end(),
                                               [&](const auto &other) { return other->isAvoided(now); });
    // Guards against overload of the rest: servers that lose a few answers each still do most of the work.
    const auto most = static_cast<double>(service->second.size()) * maxAvoidedShare;
    if (static_cast<double>(avoidedBackends) >= most) {
        return false;
    }
    backend.avoid(now + leaveOutFor);
    return true;
}

void BackendPool::closeIdle(TimePoint now)
{
    for (const auto &[id, backend] : byId_) {
        std::erase_if(backend->idle_, [&](const auto &connection) { return now >= connection->keptUntil; });
    }
}

} // namespace cardamompost
