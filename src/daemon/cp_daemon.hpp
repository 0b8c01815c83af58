#ifndef CARDAMOMPOST_CP_DAEMON_HPP_INCLUDED
#define CARDAMOMPOST_CP_DAEMON_HPP_INCLUDED

#include "cp_api_server.hpp"
#include "cp_caller_limits.hpp"
#include "cp_hold_sweeper.hpp"

#include <cardamompost/net/cp_peer_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace cardamompost
{

//! Process that runs all roles of a VM: entry, partition owner and, if configured, keeper.
class Daemon
{
public:
    explicit Daemon(Settings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    //! Opens the store and the ports and starts all roles. Errors: InvalidConfiguration, StorageFailed, StorageCorrupt.
    Result<void> start();
    //! Runs until the process is signalled and has drained its requests. \returns the exit code
    int run();

private:
    Result<void> openKeeper();
    //! \param replacementTerm  if the disk replaces a lost one, the lowest term in which its Raft member may take part
    Result<void> startKeeper(std::optional<Term> replacementTerm);
    boost::asio::awaitable<void> startEmptyKeeper();
    boost::asio::awaitable<std::optional<Term>> findReplacementTerm();
    boost::asio::awaitable<void> restorePromises();
    void onPeerRequest(FrameBody body, std::shared_ptr<PeerReplier> replier);
    void onKeeperRequest(FrameBody body, std::shared_ptr<PeerReplier> replier);
    void answerPull(const PullRequest &request, std::shared_ptr<PeerReplier> replier);
    void awaitSignals();
    boost::asio::awaitable<void> shutDown();
    //! Gives all requests their final answers and stops, after maxFinalAnswerTime at the latest.
    boost::asio::awaitable<void> endRequests();

    Settings settings_;
    boost::asio::io_context io_;
    boost::asio::signal_set signals_;
    EventLog log_;
    MetricRegistry metrics_;
    PeerTraffic traffic_;
    HttpClient http_;
    EngineClient engines_;
    std::shared_ptr<boost::asio::ssl::context> tls_;
    ControlReplica replica_;
    std::unique_ptr<PeerHub> hub_;
    std::unique_ptr<DiskThread> disk_;
    std::unique_ptr<KeeperService> keeper_;
    std::shared_ptr<ControlRunner> controlRunner_;
    std::unique_ptr<ControlClient> control_;
    std::unique_ptr<PartitionTable> table_;
    std::unique_ptr<Dispatcher> dispatcher_;
    std::unique_ptr<CallRunner> callRunner_;
    std::unique_ptr<CallService> callService_;
    std::unique_ptr<Router> router_;
    std::unique_ptr<HoldSweeper> sweeper_;
    std::unique_ptr<LimitGrantor> grantor_;
    std::unique_ptr<CallerAdmission> admission_;
    std::unique_ptr<OperatorApi> operatorApi_;
    std::unique_ptr<ApiServer> api_;
    std::unique_ptr<PeerServer> peerServer_;
    ShutdownNotice shutdown_;
    bool isShuttingDown_ = false;
    std::atomic<bool> isEnding_ {false};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_DAEMON_HPP_INCLUDED
