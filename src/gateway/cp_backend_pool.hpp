#ifndef CARDAMOMPOST_CP_BACKEND_POOL_HPP_INCLUDED
#define CARDAMOMPOST_CP_BACKEND_POOL_HPP_INCLUDED

#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/observe/cp_metrics.hpp>
#include <cardamompost/routing/cp_backend_catalog.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace cardamompost
{

//! A connection to a backend server, used by one request at a time.
struct BackendConnection {
    explicit BackendConnection(boost::beast::tcp_stream connected)
        : stream(std::move(connected))
    {
    }

    //! Bounds what a server can have in memory besides the body, such as extensions of chunks and trailers.
    static constexpr std::size_t maxBufferBytes = 128U << 10U;

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer {maxBufferBytes};
    //! End of the time in which the connection may be reused.
    TimePoint reusableUntil {};
    //! An earlier request was sent on the connection.
    bool isReused = false;
};

//! A backend server as seen by one entry. Requests in flight share ownership, so its state outlives its removal from
//! the list.
class BackendState : public std::enable_shared_from_this<BackendState>
{
public:
    explicit BackendState(BackendServer server)
        : server_(std::move(server))
    {
    }

    [[nodiscard]] const BackendServer &server() const
    {
        return server_;
    }
    //! False once the server leaves or is gone, and for requests of another service.
    [[nodiscard]] bool mayServe(std::string_view service) const
    {
        return !server_.isLeaving && server_.service == service;
    }
    //! Estimated requests at the server: this entry's own in flight, and those of others as last reported, which decay
    //! with the report's age.
    [[nodiscard]] double load(TimePoint now) const;
    //! Records the load that the server reported.
    void report(unsigned running, unsigned waiting, TimePoint now);
    //! Resets the count of consecutive failures.
    void recordSuccess()
    {
        consecutiveFailures_ = 0;
    }
    [[nodiscard]] bool isEjected(TimePoint now) const
    {
        return now < ejectedUntil_;
    }
    //! Records the incarnation that the server reported.
    void recordIncarnation(std::uint64_t reported)
    {
        reportedIncarnation_ = reported;
    }
    //! True if the server has reported a later incarnation than the listed one, whose software version may differ.
    [[nodiscard]] bool hasRestarted() const
    {
        return reportedIncarnation_ > server_.incarnation;
    }

private:
    friend class BackendPool;
    friend class InFlightGuard;

    BackendServer server_;
    std::uint64_t reportedIncarnation_ = 0;
    //! Position in the entry's order of preference; lower goes first.
    std::pair<bool, std::uint64_t> preference_;
    unsigned inFlight_ = 0;
    double reportedByOthers_ = 0;
    TimePoint reportedAt_ {};
    TimePoint ejectedUntil_ {};
    unsigned consecutiveFailures_ = 0;
    std::vector<std::shared_ptr<BackendConnection>> idle_;
};

//! Counts a request as in flight for the guard's lifetime.
class InFlightGuard
{
public:
    explicit InFlightGuard(std::shared_ptr<BackendState> backend)
        : backend_(std::move(backend))
    {
        ++backend_->inFlight_;
    }
    ~InFlightGuard()
    {
        --backend_->inFlight_;
    }
    InFlightGuard(const InFlightGuard &) = delete;
    InFlightGuard &operator=(const InFlightGuard &) = delete;

private:
    std::shared_ptr<BackendState> backend_;
};

//! Input to the choice of a server.
struct PickRequest {
    std::string_view service;
    //! Requests with the same value prefer the same server on every entry; 0 for no preference.
    std::uint64_t stickyHash = 0;
    //! Ids of servers already tried for this request.
    std::set<std::string> tried {};
    //! Share of its slots above which a server loses its sticky requests.
    double stickyLoadLimit = 0.8;
    //! The only software version that may run the request; empty for any. Servers that have restarted with an unknown
    //! one are excluded.
    std::string softwareVersion {};
    //! Software versions that must not run the request.
    std::set<std::string> excludedVersions {};
};

//! What a new connection to a server tells of it.
enum class Reachability {
    Listening,
    //! Nothing listens at its address.
    Refused,
    Silent,
};

//! The backend servers known to an entry, with their idle connections and ejection state. Thread-safety: none.
class BackendPool
{
public:
    //! \param vm  the entry's name, which seeds its order of preference
    BackendPool(std::string vm, std::string failureDomain, MetricRegistry &metrics);

    //! Applies a complete list unless a newer one is known. Servers that are leaving or gone get no new requests.
    //! \returns true if the list was applied
    bool setList(const BackendList &list);
    //! Applies the changes that lead to a version. The work grows with the changes, and not with the list.
    void update(const BackendChanges &changes, const BackendListVersion &version);
    [[nodiscard]] const BackendListVersion &version() const
    {
        return version_;
    }
    //! True if a server that isn't leaving is listed for the service.
    [[nodiscard]] bool hasService(const std::string &service) const
    {
        return byService_.contains(service);
    }
    //! The server with this id; null if it is unknown, leaving or ejected.
    [[nodiscard]] std::shared_ptr<BackendState> find(const std::string &id, TimePoint now) const;
    //! The listed server with this id, which may be leaving or ejected; null if it is unknown.
    [[nodiscard]] const BackendServer *serverOf(const std::string &id) const;
    //! Address of a listed server, which may be leaving; nothing if it is unknown or ejected.
    [[nodiscard]] std::optional<Address> addressOf(const std::string &id, TimePoint now) const;
    //! As addressOf(), for a server from which the target is to fetch a prompt; nothing if it has restarted, or is the
    //! target or of another service or software version.
    [[nodiscard]] std::optional<Address> promptAddressOf(const std::string &source, const BackendServer &target,
                                                         TimePoint now) const;
    //! Ids of a service's ejected servers.
    [[nodiscard]] std::vector<std::string> ejected(std::string_view service, TimePoint now);
    //! Excludes a server from choices until the given time.
    void eject(BackendState &backend, TimePoint until);
    [[nodiscard]] const std::string &failureDomain() const
    {
        return failureDomain_;
    }
    //! Chooses a server; ejected ones only if there is no other. Null if all were tried or the service has none.
    [[nodiscard]] std::shared_ptr<BackendState> pick(const PickRequest &request, TimePoint now);

    //! Takes an idle connection that is still open; null if there is none.
    [[nodiscard]] std::shared_ptr<BackendConnection> takeIdle(BackendState &backend, TimePoint now);
    //! Opens a connection. Errors: BackendFailed; nothing was sent.
    boost::asio::awaitable<Result<std::shared_ptr<BackendConnection>>> connect(std::shared_ptr<BackendState> backend,
                                                                               Milliseconds timeout);
    //! Opens a connection to find out whether the server still runs, and keeps it for reuse.
    boost::asio::awaitable<Reachability> probe(std::shared_ptr<BackendState> backend, Milliseconds timeout);
    //! Returns a connection to the pool for reuse.
    void release(BackendState &backend, std::shared_ptr<BackendConnection> connection, TimePoint now);
    //! Records a request that got no response: closes the server's idle connections, and ejects it after consecutive
    //! failures unless too many servers of its service are ejected already.
    //! \returns true if the server was ejected by this call
    bool recordFailure(BackendState &backend, TimePoint now);
    //! Closes idle connections that have expired.
    void closeIdle(TimePoint now);
    //! Servers examined for all choices so far, other than for requests that prefer a server.
    [[nodiscard]] std::uint64_t examinedServers() const
    {
        return examined_;
    }

private:
    using Servers = std::vector<std::shared_ptr<BackendState>>;
    //! Connects a stream. Errors: of the socket, or invalid_argument if the server's address is not an IP address.
    boost::asio::awaitable<boost::system::error_code> open(boost::beast::tcp_stream &stream,
                                                           const BackendState &backend, Milliseconds timeout);
    //! Whether a server may be chosen for a request.
    using Filter = std::function<bool(const BackendState &)>;

    //! Adds or changes a server. \returns its state if it has to be added to the servers of its service, else null
    std::shared_ptr<BackendState> updateServer(const BackendServer &server);
    void removeServer(const std::string &id);
    void removeFromService(const BackendState &backend);
    void addToServices(Servers added);
    //! Null if the filter accepts no server.
    [[nodiscard]] std::shared_ptr<BackendState> choose(const Servers &servers, const PickRequest &request,
                                                       TimePoint now, const Filter &isUsable);
    [[nodiscard]] static std::shared_ptr<BackendState> pickSticky(const Servers &servers, const PickRequest &request,
                                                                  TimePoint now, const Filter &isUsable);
    [[nodiscard]] std::shared_ptr<BackendState> pickLeastLoaded(const Servers &servers, TimePoint now,
                                                                const Filter &isUsable);
    //! Null if all preferred servers are busy.
    [[nodiscard]] std::shared_ptr<BackendState> pickPreferred(const Servers &servers, TimePoint now,
                                                              const Filter &isUsable);
    //! A random usable server, or null if none of a few random ones is usable.
    [[nodiscard]] std::shared_ptr<BackendState> drawUsable(const Servers &servers, const Filter &isUsable);

    std::string vm_;
    std::string failureDomain_;
    BackendListVersion version_;
    std::unordered_map<std::string, std::shared_ptr<BackendState>> byId_;
    //! By service; each in this entry's order of preference.
    std::unordered_map<std::string, Servers> byService_;
    //! Servers that were ejected; those whose time has passed are removed when the next one is looked up.
    std::unordered_set<std::shared_ptr<BackendState>> ejected_;
    //! Servers with idle connections.
    std::unordered_set<std::shared_ptr<BackendState>> withIdle_;
    std::uint64_t examined_ = 0;
    std::mt19937_64 random_;
    Counter &connects_;
    Counter &reusedConnections_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_BACKEND_POOL_HPP_INCLUDED
