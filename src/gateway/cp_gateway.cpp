#include "cp_gateway.hpp"

#include <cardamompost/net/cp_await.hpp>
#include <cardamompost/storage/cp_posix_files.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <csignal>
#include <ctime>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds drainPoll {50};
// A leaving entry serves at least so long: callers keep an answer of the directory for a while.
constexpr Milliseconds serveAtLeast {4200};
// What is left of the grace period when the process ends, whatever is still under way.
constexpr Milliseconds graceMargin {600};
constexpr Milliseconds handOverTime {300};
constexpr Milliseconds diskRetryInterval {300};
constexpr Milliseconds flushInterval {200};
constexpr Milliseconds rereadInterval {1000};
// A process that was not run for so long explains requests that nobody answered meanwhile.
constexpr Milliseconds stallAtLeast {800};

// Small segments: what a small VM's memory holds while one is cleaned, or read at a start. Most of what expires lies
// in the oldest ones, so that much can be required to be of use.
constexpr LogStoreOptions ledgerStore {4U << 20U, 0.6};

//! Counts on while the VM is suspended, which the steady clock does not.
std::chrono::nanoseconds timeSinceBoot()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

Gateway::Gateway(GatewaySettings settings, std::unique_ptr<const IPlatformAdapter> adapter, Reload reload,
                 OpenFolder openFolder)
    : settings_(std::move(settings))
    , adapter_(std::move(adapter))
    , reload_(std::move(reload))
    , openFolder_(std::move(openFolder))
    , io_(1)
    , signals_(io_, SIGTERM, SIGINT, SIGHUP)
    , flushTimer_(io_)
    , startTimer_(io_)
    , log_(settings_.vm, settings_.logFile, settings_.logLevel)
    , peers_(io_.get_executor(), traffic_)
{
}

Gateway::~Gateway()
{
    // Guards against jobs that end while their owners are taken down: what they call would be gone.
    if (disk_) {
        disk_->stop();
    }
}

Result<void> Gateway::start()
{
    log_.info("process.start",
              {{"role", nameOf(gatewayRoleNames, settings_.role)},
               {"first_start", settings_.isFirstStart},
               {"seeds", settings_.seeds.size()}});
    metrics_.gauge("cardamompost_peer_bytes", {{"way", "sent"}}, [this] { return static_cast<double>(traffic_.sent); });
    metrics_.gauge("cardamompost_peer_bytes", {{"way", "received"}},
                   [this] { return static_cast<double>(traffic_.received); });
    metrics_.gauge("cardamompost_log_lines_dropped", {}, [this] { return static_cast<double>(log_.dropped()); });
    waitForSignal();
    nextReread_ = std::chrono::steady_clock::now() + rereadInterval;
    keepFlushing();
    return settings_.role == GatewayRole::Entry ? startEntry() : startLedger();
}

Result<void> Gateway::startEntry()
{
    entry_ = std::make_unique<EntryServer>(EntryServer::Parts {io_, settings_, *adapter_, peers_, log_, metrics_});
    return entry_->start();
}

Result<void> Gateway::startLedger()
{
    // Guards against a limit on the size of files, whose signal would end the process without a word; the write that
    // it refuses fails by itself.
    std::signal(SIGXFSZ, SIG_IGN);
    const Result<void> opened = openDisk();
    if (!opened && opened.error().kind == ErrorKind::StorageFailed) {
        // Guards against a disk that refuses writes for a while, as a full one does: a process that ended for it would
        // only be started and end again, and one that stayed without it would be lost for good.
        log_.write(LogLevel::Error, "disk.failed", {{"error", opened.error().message}});
        startLedgerLater();
        return boost::outcome_v2::success();
    }
    BOOST_OUTCOME_TRYV(opened);
    ledger_ = std::make_unique<LedgerService>(
        LedgerService::Parts {io_, settings_, *adapter_, *disk_, peers_, log_, metrics_});
    api_ = std::make_unique<LedgerApi>(LedgerApi::Parts {io_, settings_, *adapter_, *ledger_, log_, metrics_});
    listReader_ = std::make_unique<ListReader>(ListReader::Parts {io_, settings_, *adapter_, *ledger_, log_, metrics_});
    peerServer_
        = std::make_unique<PeerServer>(io_.get_executor(), nullptr, traffic_,
                                       [this](FrameBody body, Milliseconds, std::shared_ptr<PeerReplier> replier) {
                                           onPeer(std::move(body), replier);
                                       });
    BOOST_OUTCOME_TRYV(peerServer_->listen(settings_.peerListen));
    BOOST_OUTCOME_TRYV(api_->listen());
    directory_ = std::make_unique<DirectoryServer>(
        DirectoryServer::Parts {io_, settings_, *adapter_, ledger_->presence(), metrics_});
    BOOST_OUTCOME_TRYV(directory_->listen());
    BOOST_OUTCOME_TRYV(ledger_->start());
    listReader_->start();
    return boost::outcome_v2::success();
}

Result<std::unique_ptr<IFiles>> Gateway::openPosixFolder(const std::string &folder)
{
    BOOST_OUTCOME_TRY(std::unique_ptr<IFiles> files, PosixFiles::openFolder(folder, true));
    return files;
}

Result<void> Gateway::openDisk()
{
    BOOST_OUTCOME_TRY(auto files, openFolder_(settings_.dataFolder));
    auto disk = std::make_unique<DiskThread>(std::move(files), log_, metrics_, ledgerStore);
    BOOST_OUTCOME_TRYV(disk->open());
    disk_ = std::move(disk);
    return boost::outcome_v2::success();
}

void Gateway::startLedgerLater()
{
    startTimer_.expires_after(diskRetryInterval);
    startTimer_.async_wait([this](const boost::system::error_code &error) {
        if (error || isDraining_) {
            return;
        }
        const Result<void> started = startLedger();
        if (!started) {
            log_.write(LogLevel::Error, "process.failed", {{"error", started.error().message}});
            endWith(exitStartFailed);
        }
    });
}

void Gateway::endIfDiskFailed()
{
    // Guards against a member that stays silent for good after its disk refused one write: it shows as a VM that runs
    // and holds nothing, and the next loss is one too many. After a failed sync, what the files hold is only known by
    // reading them anew, which a new process does.
    if (disk_ && !disk_->isHealthy()) {
        log_.write(LogLevel::Error, "process.failed", {{"error", "the disk has failed"}});
        endWith(exitDiskFailed);
    }
}

void Gateway::endWith(int exitCode)
{
    exitCode_ = exitCode;
    log_.flush();
    io_.stop();
}

void Gateway::onPeer(FrameBody body, const std::shared_ptr<PeerReplier> &replier)
{
    if (auto *raft = std::get_if<RaftMessage>(&body)) {
        ledger_->onRaft(std::move(*raft));
        return;
    }
    if (const auto *presence = std::get_if<Presence>(&body)) {
        ledger_->onPresence(*presence);
        return;
    }
    if (const auto *notice = std::get_if<LeaderNotice>(&body)) {
        ledger_->onLeaderNotice(*notice);
        return;
    }
    if (!replier) {
        return;
    }
    if (const auto *join = std::get_if<JoinRequest>(&body)) {
        ledger_->onJoin(*join, replier);
    } else if (auto *begin = std::get_if<TurnBegin>(&body)) {
        ledger_->onBegin(std::move(*begin), replier);
    } else if (const auto *admit = std::get_if<AdmitRequest>(&body)) {
        ledger_->onAdmit(*admit, replier);
    } else if (auto *finish = std::get_if<TurnFinish>(&body)) {
        ledger_->onFinish(std::move(*finish), replier);
    } else if (const auto *update = std::get_if<UpdateRequest>(&body)) {
        ledger_->onUpdateRequest(*update, replier);
    } else if (const auto *texts = std::get_if<TurnTextsRequest>(&body)) {
        ledger_->onTurnTexts(*texts, replier);
    } else {
        replier->reply(FailureReply {makeError(ErrorKind::InvalidRequest, "not a request to a ledger VM")});
    }
}

void Gateway::waitForSignal()
{
    signals_.async_wait([this](const boost::system::error_code &error, int signal) {
        if (!error) {
            onSignal(signal);
            waitForSignal();
        }
    });
}

void Gateway::noteStall()
{
    const std::chrono::nanoseconds awake = timeSinceBoot();
    const auto gap = std::chrono::duration_cast<Milliseconds>(awake - lastAwake_);
    if (lastAwake_.count() != 0 && gap > flushInterval + stallAtLeast) {
        log_.warn("process.stalled", {{"ms", gap.count()}});
    }
    lastAwake_ = awake;
}

void Gateway::keepFlushing()
{
    noteStall();
    endIfDiskFailed();
    rereadSeedsIfLost();
    log_.flush();
    flushTimer_.expires_after(flushInterval);
    flushTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            keepFlushing();
        }
    });
}

void Gateway::deliver(int signal)
{
    asio::post(io_, [this, signal] { onSignal(signal); });
}

void Gateway::onSignal(int signal)
{
    if (signal == SIGHUP) {
        reloadSettings();
    } else if (!isDraining_) {
        isDraining_ = true;
        drain();
    }
}

void Gateway::reloadSettings()
{
    const std::optional<GatewaySettings> fresh = reload_();
    log_.info("process.reload", {{"readable", fresh.has_value()}});
    if (!fresh) {
        return;
    }
    setSeeds(fresh->seeds);
}

void Gateway::setSeeds(std::vector<Address> seeds)
{
    // Addresses and role are the process's own for its life; only where others are to be found may change.
    settings_.seeds = std::move(seeds);
    if (entry_) {
        entry_->setSeeds(settings_.seedPeers());
    }
}

void Gateway::rereadSeedsIfLost()
{
    const bool isLost = entry_ ? !entry_->hasLeader() : ledger_ && ledger_->leader().empty();
    const TimePoint now = std::chrono::steady_clock::now();
    if (!isLost) {
        nextReread_ = now + rereadInterval;
    }
    if (now < nextReread_) {
        return;
    }
    // Guards against seeds that were exchanged without a signal, after which those known may all be gone: the process
    // would ask them for good, although its settings name others.
    nextReread_ = now + rereadInterval;
    const std::optional<GatewaySettings> fresh = reload_();
    if (fresh && fresh->seeds != settings_.seeds) {
        log_.info("process.reload", {{"readable", true}});
        setSeeds(fresh->seeds);
    }
}

void Gateway::drain()
{
    log_.info("process.stopping", {{"role", nameOf(gatewayRoleNames, settings_.role)}});
    asio::co_spawn(io_, entry_ ? drainEntry() : drainLedger(), asio::detached);
}

asio::awaitable<void> Gateway::drainEntry()
{
    const auto begun = std::chrono::steady_clock::now();
    entry_->drain();
    bool isOver = false;
    while (!isOver) {
        co_await sleepFor(drainPoll);
        const auto since = std::chrono::steady_clock::now() - begun;
        if (since >= std::min(serveAtLeast, (settings_.grace - graceMargin) / 2)) {
            // Guards the requests of callers whose answer of the directory lives longer: what comes shortly before the
            // end of the grace period would be cut. A connection that is refused costs them a moment.
            entry_->stopAccepting();
        }
        isOver = (since >= serveAtLeast && entry_->isIdle()) || since >= settings_.grace - graceMargin;
    }
    log_.info("process.stopped", {{"idle", entry_->isIdle()}});
    io_.stop();
}

asio::awaitable<void> Gateway::drainLedger()
{
    if (!ledger_) {
        // It still waits for its disk.
        io_.stop();
        co_return;
    }
    ledger_->handOver();
    co_await sleepFor(handOverTime);
    api_->stop();
    directory_->stop();
    listReader_->stop();
    ledger_->stop();
    log_.info("process.stopped", {{"idle", true}});
    co_await sleepFor(drainPoll);
    io_.stop();
}

int Gateway::run()
{
    io_.run();
    return exitCode_;
}

} // namespace cardamompost
