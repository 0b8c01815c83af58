#ifndef CARDAMOMPOST_CP_GATEWAY_HPP_INCLUDED
#define CARDAMOMPOST_CP_GATEWAY_HPP_INCLUDED

#include "cp_directory_server.hpp"
#include "cp_entry_server.hpp"
#include "cp_ledger_api.hpp"
#include "cp_list_reader.hpp"

#include <boost/asio/signal_set.hpp>

namespace cardamompost
{

//! A gateway process: runs one role from startup through graceful shutdown.
class Gateway
{
public:
    //! Reads the settings again, as on SIGHUP; nothing if they are invalid.
    using Reload = std::function<std::optional<GatewaySettings>()>;
    //! Opens the data folder of a ledger VM.
    using OpenFolder = std::function<Result<std::unique_ptr<IFiles>>(const std::string &folder)>;

    Gateway(GatewaySettings settings, std::unique_ptr<const IPlatformAdapter> adapter, Reload reload,
            OpenFolder openFolder = openPosixFolder);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    //! Errors: InvalidConfiguration if an address can't be bound, StorageFailed, StorageCorrupt.
    Result<void> start();
    //! Runs until shutdown or a fatal error. \returns the exit code
    int run();
    //! The disk has failed; a new process has to recover from it.
    static constexpr int exitDiskFailed = 5;
    //! A start that was retried in the background has failed.
    static constexpr int exitStartFailed = 4;
    //! Handles a signal as if it was sent to the process. Thread-safe.
    void deliver(int signal);
    //! Makes run() return at once, without a graceful shutdown. Thread-safe.
    void stop()
    {
        io_.stop();
    }

private:
    Result<void> startEntry();
    Result<void> startLedger();
    //! Errors: StorageFailed, StorageCorrupt.
    Result<void> openDisk();
    //! Starts the ledger again after a delay.
    void scheduleLedgerStart();
    void exitIfDiskFailed();
    void exitWith(int exitCode);
    [[nodiscard]] static Result<std::unique_ptr<IFiles>> openPosixFolder(const std::string &folder);
    void waitForSignal();
    void runPeriodicTasks();
    void registerTrafficMetrics();
    //! Logs the messages exchanged with other processes, by kind, at intervals.
    void logTraffic();
    void registerClientMetrics();
    //! Number of connections that were closed, or not accepted, because there were too many.
    [[nodiscard]] std::uint64_t displacedConnections() const;
    //! Logs, at intervals, how many clients were refused or disconnected to stay within the process's limits.
    void logRefusedClients();
    //! Logs a warning if the process or its VM was suspended since the last call.
    void logIfStalled();
    void onSignal(int signal);
    void reloadSettings();
    //! Checks the settings for changed seeds while no leader is known.
    void reloadSeedsIfLeaderless();
    void setSeeds(std::vector<Address> seeds);
    void drain();
    boost::asio::awaitable<void> drainEntry();
    boost::asio::awaitable<void> drainLedger();
    void onPeerMessage(FrameBody body, const std::shared_ptr<PeerReplier> &replier);

    GatewaySettings settings_;
    std::unique_ptr<const IPlatformAdapter> adapter_;
    Reload reload_;
    OpenFolder openFolder_;
    //! Declared before the event loop, whose destructor destroys the connections.
    std::shared_ptr<MemoryAccount> account_;
    boost::asio::io_context io_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer periodicTimer_;
    boost::asio::steady_timer ledgerStartTimer_;
    EventLog log_;
    MetricRegistry metrics_;
    PeerTraffic traffic_;
    PeerClients peers_;
    std::unique_ptr<PeerServer> peerServer_;
    std::unique_ptr<DiskThread> disk_;
    std::unique_ptr<LedgerService> ledger_;
    std::unique_ptr<LedgerApi> api_;
    std::unique_ptr<DirectoryServer> directory_;
    std::unique_ptr<ListReader> listReader_;
    std::unique_ptr<EntryServer> entry_;
    bool isDraining_ = false;
    int exitCode_ = 0;
    std::chrono::nanoseconds lastPeriodicRun_ {0};
    TimePoint nextSeedReload_ {};
    TimePoint nextTrafficLog_ {};
    TimePoint nextRefusalLog_ {};
    std::uint64_t loggedMemoryRefusals_ = 0;
    std::uint64_t loggedDisplacements_ = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_GATEWAY_HPP_INCLUDED
