#ifndef CARDAMOMPOST_CP_UPDATE_SERVICE_HPP_INCLUDED
#define CARDAMOMPOST_CP_UPDATE_SERVICE_HPP_INCLUDED

#include "cp_peer_clients.hpp"

#include <cardamompost/ledger/cp_update_relay.hpp>
#include <cardamompost/net/cp_peer_server.hpp>
#include <cardamompost/observe/cp_event_log.hpp>
#include <cardamompost/observe/cp_metrics.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace cardamompost
{

//! Runs a ledger VM's update relay: polls the leader, and answers the requests of entries and of other relays.
//! Thread-safety: none; runs on the io_context's thread.
class UpdateService
{
public:
    using Replier = std::shared_ptr<PeerReplier>;
    struct Parts {
        boost::asio::io_context &io;
        PeerClients &peers;
        EventLog &log;
        MetricRegistry &metrics;
        VmName self;
        //! The leader to poll; empty while none is known.
        std::function<VmName()> leader;
        //! VMs that may know the leader.
        std::function<std::vector<VmName>()> knownPeers;
    };

    explicit UpdateService(Parts parts);

    void start();
    void stop();

    void onRequest(const UpdateRequest &request, const Replier &replier);
    //! Takes the notice of a leader, so that entries learn of it at once.
    void onLeaderNotice(const VmName &leader, Term term);
    //! Starts to serve as the leader.
    void lead(Term term, LedgerPeers peers);
    void stopLeading()
    {
        relay_.stopLeading();
        wake_.cancel();
    }
    //! Serves pending requests; called often on members of the group.
    //! \param isMember  keeps the copy up to date even without requests
    void tick(bool isMember);

    [[nodiscard]] UpdateRelay<Replier> &relay()
    {
        return relay_;
    }
    [[nodiscard]] const UpdateRelay<Replier> &relay() const
    {
        return relay_;
    }

private:
    //! Polls the leader for as long as this VM needs a copy of its content.
    boost::asio::awaitable<void> feed();
    //! Serves pending requests until there are none, on a VM whose tick() isn't called.
    void scheduleServe();

    Parts parts_;
    UpdateRelay<Replier> relay_;
    boost::asio::steady_timer wake_;
    boost::asio::steady_timer serveTimer_;
    bool isServeScheduled_ = false;
    bool isMember_ = false;
    bool isStopped_ = false;
    VmName fedBy_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_UPDATE_SERVICE_HPP_INCLUDED
