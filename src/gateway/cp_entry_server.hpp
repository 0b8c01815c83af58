#ifndef CARDAMOMPOST_CP_ENTRY_SERVER_HPP_INCLUDED
#define CARDAMOMPOST_CP_ENTRY_SERVER_HPP_INCLUDED

#include "cp_entry_replica.hpp"
#include "cp_gateway_settings.hpp"
#include "cp_load_meter.hpp"

#include <cardamompost/net/cp_http_server.hpp>
#include <cardamompost/net/cp_request_reader.hpp>

namespace cardamompost
{

//! Accepts callers' connections, forwards their requests, and reports readiness to the platform and the directory.
class EntryServer
{
public:
    struct Parts {
        boost::asio::io_context &io;
        const GatewaySettings &settings;
        const IPlatformAdapter &adapter;
        PeerClients &peers;
        EventLog &log;
        MetricRegistry &metrics;
        std::shared_ptr<MemoryAccount> account;
    };

    explicit EntryServer(Parts parts);

    //! Errors: InvalidConfiguration if an address can't be bound.
    Result<void> start();
    //! Withdraws from the directory, and forwards only requests that end in time. New connections are still accepted
    //! until stopAccepting().
    void drain(TimePoint now, const DrainSchedule &schedule);
    //! Accepts no more connections, and closes idle ones. To be repeated.
    void stopAccepting();
    //! Responds to all requests, also to those of which only a part has arrived. To be repeated until idle.
    void giveUp();
    //! True if no caller is connected, and the ledger has all reports.
    [[nodiscard]] bool isIdle() const
    {
        return connections_.empty() && ledger_.pendingRequests() == 0;
    }
    //! Number of connections that were closed, or not accepted, because there were too many.
    [[nodiscard]] std::uint64_t displacedConnections() const
    {
        return displacedConnections_ + readinessServer_.displacedConnections();
    }
    //! Logs that the process ends, and what is unfinished then.
    void logStopped() const;
    [[nodiscard]] bool hasLeader() const
    {
        return ledger_.hasLeader();
    }
    void setSeeds(std::vector<VmName> seeds)
    {
        ledger_.setSeeds(std::move(seeds));
    }

private:
    [[nodiscard]] bool isReady() const;
    //! Draining, and still accepts connections.
    [[nodiscard]] bool isAccepting() const;
    void announcePresence();
    void measureLoad();
    //! Sends a heartbeat to the ledger VMs, closes expired idle connections, and schedules the next run.
    void sendHeartbeats();
    //! Sends a heartbeat at once if the readiness has changed.
    void announceReadinessChange();
    boost::asio::awaitable<void> accept();
    void startServing(boost::asio::ip::tcp::socket socket);
    //! Closes a connection that waits for its caller if there are too many. \returns false if there is none
    bool makeRoomForConnection();
    boost::asio::awaitable<void> serve(std::shared_ptr<CallerConnection> caller);
    //! Serves requests until the connection is to be closed.
    boost::asio::awaitable<void> serveRequests(std::shared_ptr<CallerConnection> caller);
    [[nodiscard]] std::size_t countPhase(ConnectionPhase phase) const;
    boost::asio::awaitable<void> onReadinessRequest(HttpRequest &request, IHttpResponder &responder);

    Parts parts_;
    MemoryAccount &account_;
    const std::size_t maxConnections_;
    std::uint64_t displacedConnections_ = 0;
    LedgerClient ledger_;
    BackendPool pool_;
    Forwarder forwarder_;
    EntryReplica replica_;
    HttpServer readinessServer_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    LoadMeter load_;
    std::set<std::shared_ptr<CallerConnection>> connections_;
    bool isDraining_ = false;
    bool hasGivenUp_ = false;
    bool wasReady_ = false;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ENTRY_SERVER_HPP_INCLUDED
