#ifndef CARDAMOMPOST_CP_BACKEND_POOL_HPP_INCLUDED
#define CARDAMOMPOST_CP_BACKEND_POOL_HPP_INCLUDED

#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/observe/cp_metrics.hpp>
#include <cardamompost/routing/cp_backend_list.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>

namespace cardamompost
{

//! A connection to a backend server, for one request at a time.
struct BackendConnection {
    explicit BackendConnection(boost::beast::tcp_stream opened)
        : stream(std::move(opened))
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    //! When the server may close it.
    TimePoint keptUntil {};
};

//! A backend server as one entry sees it. Requests under way hold it while the list changes.
class BackendState
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
    //! Requests here that others and this entry are estimated to have, by the last report and own work since.
    [[nodiscard]] double load(TimePoint now) const;
    //! Takes a report of "running, waiting, slots".
    void report(unsigned running, unsigned waiting, TimePoint now);
    //! Not to be chosen for a while, because a connection to it has failed.
    void avoid(TimePoint until)
    {
        avoidUntil_ = until;
    }
    //! It answered a request.
    void noteAnswer()
    {
        lostInARow_ = 0;
    }
    [[nodiscard]] bool isAvoided(TimePoint now) const
    {
        return now < avoidUntil_;
    }

private:
    friend class BackendPool;
    friend class InFlightGuard;

    BackendServer server_;
    unsigned inFlight_ = 0;
    double othersAtReport_ = 0;
    TimePoint reportedAt_ {};
    TimePoint avoidUntil_ {};
    unsigned lostInARow_ = 0;
    std::vector<std::shared_ptr<BackendConnection>> idle_;
};

//! Counts a request while it is under way at a backend server.
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

//! What decides where a request goes.
struct PickRequest {
    std::string_view service;
    //! Requests with the same point prefer the same server, whichever entry takes them; 0 for no preference.
    std::uint64_t stickyPoint = 0;
    //! Ids of servers that had this request already.
    std::set<std::string> tried {};
    //! From this share of its slots on, requests leave the server that they prefer.
    double stickyLoadLimit = 0.8;
};

//! The backend servers that an entry may send to, and its connections to them. Thread-safety: none.
class BackendPool
{
public:
    //! \param vm  the entry's name; each entry prefers other servers
    BackendPool(std::string vm, std::string failureDomain, MetricRegistry &metrics);

    //! Takes a list unless a newer one is known. Servers that are leaving or gone get nothing new.
    //! \returns true when it was newer
    bool setList(const BackendList &list);
    [[nodiscard]] const BackendListVersion &version() const
    {
        return version_;
    }
    //! The server with an id, if it may take requests now; null otherwise.
    [[nodiscard]] std::shared_ptr<BackendState> find(const std::string &id, TimePoint now) const;
    //! Ids of a service's servers that are avoided now.
    [[nodiscard]] std::vector<std::string> avoided(std::string_view service, TimePoint now) const;
    [[nodiscard]] const std::string &failureDomain() const
    {
        return failureDomain_;
    }
    //! Null when no server can take the request.
    [[nodiscard]] std::shared_ptr<BackendState> pick(const PickRequest &request, TimePoint now);

    //! A kept connection that still looks alive; null when there is none.
    [[nodiscard]] std::shared_ptr<BackendConnection> takeKept(BackendState &backend, TimePoint now);
    //! A new connection. Errors: BackendFailed, and nothing was sent.
    boost::asio::awaitable<Result<std::shared_ptr<BackendConnection>>> connect(std::shared_ptr<BackendState> backend,
                                                                               Milliseconds timeout);
    //! Keeps a connection for the next request.
    void keep(BackendState &backend, std::shared_ptr<BackendConnection> connection, TimePoint now);
    //! A server took a request and did not answer. Its kept connections are used no more; when it happens again before
    //! any answer, others are chosen for a while, unless too many servers of the service are left out already.
    //! \returns true when it is left out from now on
    bool noteLost(BackendState &backend, TimePoint now);
    //! Closes what has been idle for too long.
    void closeIdle(TimePoint now);

private:
    //! As the list in force has them.
    [[nodiscard]] std::vector<BackendServer> servers() const;
    [[nodiscard]] std::shared_ptr<BackendState> pickSticky(const std::vector<std::shared_ptr<BackendState>> &usable,
                                                           const PickRequest &request, TimePoint now) const;
    [[nodiscard]] std::shared_ptr<BackendState>
    pickLeastLoaded(const std::vector<std::shared_ptr<BackendState>> &usable, TimePoint now);
    //! Null when all that this entry prefers have much to do.
    [[nodiscard]] std::shared_ptr<BackendState> pickPreferred(const std::vector<std::shared_ptr<BackendState>> &usable,
                                                              TimePoint now) const;
    void sortByPreference(std::vector<std::shared_ptr<BackendState>> &servers) const;

    std::string vm_;
    std::string failureDomain_;
    BackendListVersion version_;
    std::map<std::string, std::shared_ptr<BackendState>> byId_;
    //! Each in this entry's order of preference.
    std::unordered_map<std::string, std::vector<std::shared_ptr<BackendState>>> byService_;
    std::mt19937_64 random_;
    Counter &connects_;
    Counter &reused_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_BACKEND_POOL_HPP_INCLUDED
