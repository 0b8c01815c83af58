#include "cp_gateway.hpp"

#include <cardamompost/net/cp_await.hpp>
#include <cardamompost/policy/cp_drain_schedule.hpp>
#include <cardamompost/storage/cp_posix_files.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <ctime>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds drainPollInterval {50};
constexpr Milliseconds leadershipTransferTime {300};
constexpr Milliseconds diskRetryInterval {300};
constexpr Milliseconds periodicInterval {200};
constexpr Milliseconds seedReloadInterval {1000};
// A process that did not run for this long explains requests that were not answered meanwhile.
constexpr Milliseconds minReportedStall {800};
constexpr Milliseconds trafficLogInterval {10'000};
constexpr Milliseconds refusalLogInterval {1000};

// Segments are small because one is held in memory during compaction and recovery. Most expired records are in the
// oldest segments, so a high share of live data is cheap to keep.
constexpr LogStoreOptions ledgerStoreOptions {4U << 20U, 0.6};

//! The exchanged messages by kind, as "name:messages/bytes".
std::string describeTraffic(const PeerTraffic::CountByBody &counts)
{
    std::string text;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        if (counts[i].messages != 0) {
            text += fmt::format("{}{}:{}/{}", text.empty() ? "" : " ", frameBodyNames[i], counts[i].messages.load(),
                                counts[i].bytes.load());
        }
    }
    return text;
}

//! Includes time in which the VM was suspended, unlike the steady clock.
std::chrono::nanoseconds timeSinceBoot()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

//! A ledger VM needs a part of its memory for its log, its texts and the state.
MemoryLimits memoryLimits(const GatewaySettings &settings)
{
    constexpr std::size_t ledgerDivisor = 2;
    const bool isEntry = settings.role == GatewayRole::Entry;
    return MemoryLimits::forProcess(settings.usableMemoryBytes() / (isEntry ? 1 : ledgerDivisor));
}

} // namespace

Gateway::Gateway(GatewaySettings settings, std::unique_ptr<const IPlatformAdapter> adapter, Reload reload,
                 OpenFolder openFolder)
    : settings_(std::move(settings))
    , adapter_(std::move(adapter))
    , reload_(std::move(reload))
    , openFolder_(std::move(openFolder))
    , account_(std::make_shared<MemoryAccount>(memoryLimits(settings_)))
    , io_(1)
    , signals_(io_, SIGTERM, SIGINT, SIGHUP)
    , periodicTimer_(io_)
    , ledgerStartTimer_(io_)
    , log_(settings_.vm, settings_.logFile, settings_.logLevel)
    , peers_(io_.get_executor(), traffic_)
{
}

Gateway::~Gateway()
{
    // Jobs in progress call back into the services, which are destroyed before the disk thread.
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
    registerTrafficMetrics();
    registerClientMetrics();
    metrics_.gauge("cardamompost_log_lines_dropped", {}, [this] { return static_cast<double>(log_.dropped()); });
    waitForSignal();
    nextSeedReload_ = std::chrono::steady_clock::now() + seedReloadInterval;
    runPeriodicTasks();
    return settings_.role == GatewayRole::Entry ? startEntry() : startLedger();
}

Result<void> Gateway::startEntry()
{
    entry_ = std::make_unique<EntryServer>(
        EntryServer::Parts {io_, settings_, *adapter_, peers_, log_, metrics_, account_});
    return entry_->start();
}

Result<void> Gateway::startLedger()
{
    // By default, exceeding the file size limit kills the process. With the signal ignored, the write fails instead.
    std::signal(SIGXFSZ, SIG_IGN);
    const Result<void> opened = openDisk();
    if (!opened && opened.error().kind == ErrorKind::StorageFailed) {
        // A disk may reject writes temporarily, as when it is full. Retrying avoids a restart loop.
        log_.write(LogLevel::Error, "disk.failed", {{"error", opened.error().message}});
        scheduleLedgerStart();
        return boost::outcome_v2::success();
    }
    BOOST_OUTCOME_TRYV(opened);
    ledger_ = std::make_unique<LedgerService>(
        LedgerService::Parts {io_, settings_, *adapter_, *disk_, peers_, log_, metrics_, account_});
    api_
        = std::make_unique<LedgerApi>(LedgerApi::Parts {io_, settings_, *adapter_, *ledger_, log_, metrics_, account_});
    listReader_ = std::make_unique<ListReader>(ListReader::Parts {io_, settings_, *adapter_, *ledger_, log_, metrics_});
    peerServer_ = std::make_unique<PeerServer>(
        io_.get_executor(), nullptr, traffic_,
        [this](FrameBody body, Milliseconds, std::shared_ptr<PeerReplier> replier) {
            onPeerMessage(std::move(body), replier);
        },
        account_);
    BOOST_OUTCOME_TRYV(peerServer_->listen(settings_.peerListen));
    BOOST_OUTCOME_TRYV(api_->listen());
    directory_ = std::make_unique<DirectoryServer>(
        DirectoryServer::Parts {io_, settings_, *adapter_, ledger_->presence(), log_, metrics_, account_});
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
    auto disk = std::make_unique<DiskThread>(std::move(files), log_, metrics_, ledgerStoreOptions);
    BOOST_OUTCOME_TRYV(disk->open());
    disk_ = std::move(disk);
    return boost::outcome_v2::success();
}

void Gateway::scheduleLedgerStart()
{
    ledgerStartTimer_.expires_after(diskRetryInterval);
    ledgerStartTimer_.async_wait([this](const boost::system::error_code &error) {
        if (error || isDraining_) {
            return;
        }
        const Result<void> started = startLedger();
        if (!started) {
            log_.write(LogLevel::Error, "process.failed", {{"error", started.error().message}});
            exitWith(exitStartFailed);
        }
    });
}

void Gateway::exitIfDiskFailed()
{
    // A member without a disk would keep running but could store nothing, which lowers the group's fault tolerance.
    // After a failed sync the state of the files is unknown, so a new process has to recover from them.
    if (disk_ && !disk_->isHealthy()) {
        log_.write(LogLevel::Error, "process.failed", {{"error", "the disk has failed"}});
        exitWith(exitDiskFailed);
    }
}

void Gateway::exitWith(int exitCode)
{
    exitCode_ = exitCode;
    log_.flush();
    io_.stop();
}

void Gateway::onPeerMessage(FrameBody body, const std::shared_ptr<PeerReplier> &replier)
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
    } else if (const auto *stream = std::get_if<StreamVersionRequest>(&body)) {
        ledger_->onStreamVersion(*stream, replier);
    } else if (const auto *suspect = std::get_if<SuspectRequest>(&body)) {
        ledger_->onSuspect(*suspect, replier);
    } else if (const auto *update = std::get_if<UpdateRequest>(&body)) {
        ledger_->onUpdateRequest(*update, replier);
    } else if (const auto *texts = std::get_if<TurnTextsRequest>(&body)) {
        ledger_->onTurnTexts(*texts, replier);
    } else {
        replier->reply(FailureReply {
            makeError(ErrorKind::InvalidRequest, "the message is not a request that a ledger VM handles")});
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

void Gateway::logIfStalled()
{
    const std::chrono::nanoseconds uptime = timeSinceBoot();
    const auto gap = std::chrono::duration_cast<Milliseconds>(uptime - lastPeriodicRun_);
    if (lastPeriodicRun_.count() != 0 && gap > periodicInterval + minReportedStall) {
        log_.warn("process.stalled", {{"ms", gap.count()}});
    }
    lastPeriodicRun_ = uptime;
}

void Gateway::registerTrafficMetrics()
{
    const auto add = [this](const char *way, const PeerTraffic::CountByBody &counts) {
        for (std::size_t i = 0; i < counts.size(); ++i) {
            const MetricLabels labels {{"kind", std::string(frameBodyNames[i])}, {"way", way}};
            metrics_.gauge("cardamompost_peer_messages_total", labels,
                           [&count = counts[i]] { return static_cast<double>(count.messages); });
            metrics_.gauge("cardamompost_peer_message_bytes_total", labels,
                           [&count = counts[i]] { return static_cast<double>(count.bytes); });
        }
    };
    add("sent", traffic_.sentByBody);
    add("received", traffic_.receivedByBody);
}

void Gateway::registerClientMetrics()
{
    metrics_.gauge("cardamompost_client_held_bytes", {}, [this] { return static_cast<double>(account_->total()); });
    metrics_.gauge("cardamompost_clients_refused_total", {{"reason", "memory"}},
                   [this] { return static_cast<double>(account_->refusals()); });
    metrics_.gauge("cardamompost_clients_refused_total", {{"reason", "connections"}},
                   [this] { return static_cast<double>(displacedConnections()); });
}

std::uint64_t Gateway::displacedConnections() const
{
    const std::uint64_t atEntry = entry_ ? entry_->displacedConnections() : 0;
    const std::uint64_t atApi = api_ ? api_->server().displacedConnections() : 0;
    const std::uint64_t atDirectory = directory_ ? directory_->server().displacedConnections() : 0;
    return atEntry + atApi + atDirectory;
}

void Gateway::logRefusedClients()
{
    const TimePoint now = std::chrono::steady_clock::now();
    const std::uint64_t refusals = account_->refusals();
    const std::uint64_t displacements = displacedConnections();
    const bool isNew = refusals != loggedMemoryRefusals_ || displacements != loggedDisplacements_;
    if (!isNew || now < nextRefusalLog_) {
        return;
    }
    nextRefusalLog_ = now + refusalLogInterval;
    log_.warn("clients.refused",
              {{"memory", refusals - loggedMemoryRefusals_},
               {"connections", displacements - loggedDisplacements_},
               {"held_bytes", account_->total()},
               {"max_bytes", account_->limits().totalBytes}});
    loggedMemoryRefusals_ = refusals;
    loggedDisplacements_ = displacements;
}

void Gateway::logTraffic()
{
    const TimePoint now = std::chrono::steady_clock::now();
    if (now < nextTrafficLog_) {
        return;
    }
    if (nextTrafficLog_ != TimePoint {}) {
        log_.info(
            "peer.traffic",
            {{"sent", describeTraffic(traffic_.sentByBody)}, {"received", describeTraffic(traffic_.receivedByBody)}});
    }
    nextTrafficLog_ = now + trafficLogInterval;
}

void Gateway::runPeriodicTasks()
{
    logIfStalled();
    logTraffic();
    logRefusedClients();
    exitIfDiskFailed();
    reloadSeedsIfLeaderless();
    log_.flush();
    periodicTimer_.expires_after(periodicInterval);
    periodicTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            runPeriodicTasks();
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
    const std::optional<GatewaySettings> newSettings = reload_();
    log_.info("process.reload", {{"readable", newSettings.has_value()}});
    if (!newSettings) {
        return;
    }
    setSeeds(newSettings->seeds);
}

void Gateway::setSeeds(std::vector<Address> seeds)
{
    // Only seeds can be changed without a restart.
    settings_.seeds = std::move(seeds);
    if (entry_) {
        entry_->setSeeds(settings_.seedPeers());
    }
}

void Gateway::reloadSeedsIfLeaderless()
{
    const bool isLeaderless = entry_ ? !entry_->hasLeader() : ledger_ && ledger_->leader().empty();
    const TimePoint now = std::chrono::steady_clock::now();
    if (!isLeaderless) {
        nextSeedReload_ = now + seedReloadInterval;
    }
    if (now < nextSeedReload_) {
        return;
    }
    // Seeds may have been replaced in the settings without a signal, and the known ones may be gone.
    nextSeedReload_ = now + seedReloadInterval;
    const std::optional<GatewaySettings> newSettings = reload_();
    if (newSettings && newSettings->seeds != settings_.seeds) {
        log_.info("process.reload", {{"readable", true}});
        setSeeds(newSettings->seeds);
    }
}

void Gateway::drain()
{
    log_.info("process.stopping", {{"role", nameOf(gatewayRoleNames, settings_.role)}});
    asio::co_spawn(io_, entry_ ? drainEntry() : drainLedger(), asio::detached);
}

asio::awaitable<void> Gateway::drainEntry()
{
    const DrainSchedule schedule = DrainSchedule::forGrace(settings_.grace);
    TimePoint now = std::chrono::steady_clock::now();
    DrainProgress progress(now, schedule);
    entry_->drain(now, schedule);
    bool isDone = false;
    while (!isDone) {
        co_await sleepFor(progress.pollInterval());
        now = std::chrono::steady_clock::now();
        if (progress.hasPassed(schedule.acceptTime, now)) {
            // Callers whose directory response is cached for longer retry elsewhere when their connection is refused.
            entry_->stopAccepting();
        }
        if (progress.mustGiveUp(now)) {
            entry_->giveUp();
        }
        const bool isIdle = progress.hasPassed(schedule.earliestExitTime, now) && entry_->isIdle();
        isDone = isIdle || progress.isOutOfTime(now);
    }
    entry_->logStopped();
    io_.stop();
}

asio::awaitable<void> Gateway::drainLedger()
{
    if (!ledger_) {
        // The disk could not be opened yet.
        io_.stop();
        co_return;
    }
    const DrainSchedule schedule = DrainSchedule::forGrace(settings_.grace);
    DrainProgress progress(std::chrono::steady_clock::now(), schedule);
    const std::array servers {&api_->server(), &directory_->server()};
    std::ranges::for_each(servers, &HttpServer::closeWhenQuiet);
    bool isHandedOver = ledger_->transferLeadership();
    co_await sleepFor(std::min(leadershipTransferTime, schedule.earliestExitTime));
    std::ranges::for_each(servers, &HttpServer::stopAccepting);
    int connections = 0;
    bool isDone = false;
    while (!isDone) {
        std::ranges::for_each(servers, &HttpServer::closeIdle);
        co_await sleepFor(progress.pollInterval());
        const TimePoint now = std::chrono::steady_clock::now();
        // No successor may have been up to date yet.
        isHandedOver = isHandedOver || ledger_->transferLeadership();
        if (progress.mustGiveUp(now)) {
            // Ends the waits of requests.
            ledger_->stop();
            std::ranges::for_each(servers, &HttpServer::giveUp);
        }
        connections = api_->server().openConnections() + directory_->server().openConnections();
        isDone = connections == 0 || progress.isOutOfTime(now);
    }
    listReader_->stop();
    ledger_->stop();
    log_.info("process.stopped", {{"idle", connections == 0}, {"connections", connections}});
    co_await sleepFor(drainPollInterval);
    io_.stop();
}

int Gateway::run()
{
    io_.run();
    return exitCode_;
}

} // namespace cardamompost
