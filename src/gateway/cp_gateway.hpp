#ifndef CARDAMOMPOST_CP_GATEWAY_HPP_INCLUDED
#define CARDAMOMPOST_CP_GATEWAY_HPP_INCLUDED

#include "cp_directory_server.hpp"
#include "cp_entry_server.hpp"
#include "cp_ledger_api.hpp"
#include "cp_list_reader.hpp"

#include <boost/asio/signal_set.hpp>

namespace cardamompost
{

//! One process of the gateway, from its start to its end.
class Gateway
{
public:
    //! \param reload  reads the settings anew, as after SIGHUP; nothing when they can't be read
    using Reload = std::function<std::optional<GatewaySettings>()>;
    //! Opens a ledger VM's data folder.
    using OpenFolder = std::function<Result<std::unique_ptr<IFiles>>(const std::string &folder)>;

    Gateway(GatewaySettings settings, std::unique_ptr<const IPlatformAdapter> adapter, Reload reload,
            OpenFolder openFolder = openPosixFolder);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    //! Errors: InvalidConfiguration for an address, StorageFailed, StorageCorrupt.
    Result<void> start();
    //! Runs until the process has been asked to end and has ended its work, or has to end. \returns the exit code
    int run();
    //! The disk has failed: what it holds has to be read anew, by a new process.
    static constexpr int exitDiskFailed = 5;
    //! What it waited for at the start came, and then it could not start.
    static constexpr int exitStartFailed = 4;
    //! Does what the signal to the process does; from any thread.
    void deliver(int signal);
    //! Ends run() at once, as a kill would; from any thread.
    void stop()
    {
        io_.stop();
    }

private:
    Result<void> startEntry();
    Result<void> startLedger();
    //! Opens the disk. Errors: StorageFailed, StorageCorrupt.
    Result<void> openDisk();
    void startLedgerLater();
    //! Ends the process once its disk has failed.
    void endIfDiskFailed();
    void endWith(int exitCode);
    [[nodiscard]] static Result<std::unique_ptr<IFiles>> openPosixFolder(const std::string &folder);
    void waitForSignal();
    void keepFlushing();
    //! Says so when this process, or its VM, stood still since it was last called.
    void noteStall();
    void onSignal(int signal);
    void reloadSettings();
    //! Takes other seeds from settings that changed without a signal, while no leader is known.
    void rereadSeedsIfLost();
    void setSeeds(std::vector<Address> seeds);
    void drain();
    boost::asio::awaitable<void> drainEntry();
    boost::asio::awaitable<void> drainLedger();
    void onPeer(FrameBody body, const std::shared_ptr<PeerReplier> &replier);

    GatewaySettings settings_;
    std::unique_ptr<const IPlatformAdapter> adapter_;
    Reload reload_;
    OpenFolder openFolder_;
    boost::asio::io_context io_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer flushTimer_;
    boost::asio::steady_timer startTimer_;
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
    std::chrono::nanoseconds lastAwake_ {0};
    TimePoint nextReread_ {};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_GATEWAY_HPP_INCLUDED
