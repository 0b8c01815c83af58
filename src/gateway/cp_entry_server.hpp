#ifndef CARDAMOMPOST_CP_ENTRY_SERVER_HPP_INCLUDED
#define CARDAMOMPOST_CP_ENTRY_SERVER_HPP_INCLUDED

#include "cp_entry_replica.hpp"
#include "cp_gateway_settings.hpp"

#include <cardamompost/net/cp_http_server.hpp>

namespace cardamompost
{

//! An entry: takes callers' connections, and tells the platform and the directory whether it is ready.
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

    //! Errors: InvalidConfiguration when an address can't be used.
    Result<void> start();
    //! Leaves the directory and goes on serving whoever still comes.
    void drain();
    //! Takes no more connections, and closes those on which no request is under way.
    void stopAccepting();
    //! True once no request is under way.
    [[nodiscard]] bool isIdle() const
    {
        return forwarder_.inFlight() == 0;
    }
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
    void keepTelling();
    void tellIfChanged();
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<CallerConnection> caller);
    boost::asio::awaitable<void> onReady(HttpRequest &request, IHttpResponder &responder);

    Parts parts_;
    LedgerClient ledger_;
    BackendPool pool_;
    Forwarder forwarder_;
    EntryReplica replica_;
    HttpServer ready_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    //! Connections that wait for their next request.
    std::set<std::shared_ptr<CallerConnection>> idle_;
    bool isDraining_ = false;
    bool wasReady_ = false;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ENTRY_SERVER_HPP_INCLUDED
