#ifndef CARDAMOMPOST_CP_ENTRY_SERVER_HPP_INCLUDED
#define CARDAMOMPOST_CP_ENTRY_SERVER_HPP_INCLUDED

#include "cp_entry_replica.hpp"
#include "cp_gateway_settings.hpp"
#include "cp_load_meter.hpp"

#include <cardamompost/net/cp_http_server.hpp>

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
    };

    explicit EntryServer(Parts parts);

    //! Errors: InvalidConfiguration if an address can't be bound.
    Result<void> start();
    //! Withdraws from the directory. New connections are still accepted until stopAccepting().
    void drain();
    //! Accepts no more connections, and closes idle ones.
    void stopAccepting();
    //! True if no request is in flight.
    [[nodiscard]] bool isIdle() const
    {
        return forwarder_.inFlight() == 0;
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
    void measureLoad();
    //! Sends a heartbeat to the ledger VMs, closes expired idle connections, and schedules the next run.
    void sendHeartbeats();
    //! Sends a heartbeat at once if the readiness has changed.
    void announceReadinessChange();
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<CallerConnection> caller);
    boost::asio::awaitable<void> onReadinessRequest(HttpRequest &request, IHttpResponder &responder);

    Parts parts_;
    LedgerClient ledger_;
    BackendPool pool_;
    Forwarder forwarder_;
    EntryReplica replica_;
    HttpServer readinessServer_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    LoadMeter load_;
    //! Connections waiting for their next request.
    std::set<std::shared_ptr<CallerConnection>> idle_;
    //! Number of requests of which a part has arrived.
    std::size_t arriving_ = 0;
    bool isDraining_ = false;
    bool wasReady_ = false;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ENTRY_SERVER_HPP_INCLUDED
