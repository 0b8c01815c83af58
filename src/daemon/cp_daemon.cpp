#include "cp_daemon.hpp"

#include <cardamompost/net/cp_await.hpp>
#include <cardamompost/net/cp_peer_tls.hpp>
#include <cardamompost/storage/cp_posix_files.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/strand.hpp>

#include <csignal>
#include <fstream>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds pullPollInterval {5};
constexpr Milliseconds shutdownPollInterval {20};
constexpr Milliseconds maxHandoverTime {10'000};
constexpr Milliseconds maxDrainTime {600'000};
// Longer than any wait in a request that the shutdown notice does not end.
constexpr Milliseconds maxFinalAnswerTime {1500};
constexpr Milliseconds leaveTimeout {3000};
constexpr Milliseconds probeTimeout {500};
constexpr Milliseconds probeInterval {200};

double processCpuSeconds()
{
    rusage usage {};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

} // namespace

Daemon::Daemon(Settings settings)
    : settings_(std::move(settings))
    , io_(settings_.workers)
    , signals_(io_, SIGINT, SIGTERM)
    , log_(settings_.vm, settings_.logFile, settings_.logLevel)
    , engines_(http_)
    , replica_(settings_.partitions)
{
}

Daemon::~Daemon()
{
    // Jobs in progress call back into the parts, which are destroyed before the disk thread.
    if (disk_) {
        disk_->stop();
    }
}

Result<void> Daemon::openKeeper()
{
    BOOST_OUTCOME_TRY(auto files, PosixFiles::openFolder(settings_.dataFolder, settings_.syncWrites));
    disk_ = std::make_unique<DiskThread>(std::move(files), log_, metrics_);
    BOOST_OUTCOME_TRYV(disk_->open());
    keeper_ = std::make_unique<KeeperService>(*disk_);
    controlRunner_ = std::make_shared<ControlRunner>(
        io_.get_executor(), ControlRunner::Parts {settings_, replica_, *disk_, *hub_, log_, metrics_});
    return boost::outcome_v2::success();
}

Result<void> Daemon::startKeeper(std::optional<Term> replacementTerm)
{
    if (replacementTerm) {
        LogBatch batch;
        batch.putHardState(controlGroup, {*replacementTerm, std::string(unknownVotedFor)});
        keeper_->markReplaced(batch);
        BOOST_OUTCOME_TRYV(disk_->store().write(batch));
        log_.warn("keeper.disk_replaced", {{"term", *replacementTerm}});
    }
    BOOST_OUTCOME_TRYV(controlRunner_->load());
    disk_->start();
    controlRunner_->start();
    if (keeper_->needsPromises()) {
        asio::co_spawn(asio::make_strand(io_.get_executor()), restorePromises(), asio::detached);
    }
    return boost::outcome_v2::success();
}

// Returns nullopt in a new system; otherwise a term no lower than any in which this keeper has voted.
asio::awaitable<std::optional<Term>> Daemon::findReplacementTerm()
{
    // A keeper that has lost its disk must not vote again in an earlier term or follow a deposed leader. The system is
    // new only if every other keeper reports an empty log. Otherwise enough keepers must report their term to
    // intersect every quorum that this keeper was part of.
    std::map<VmName, ProbeReply> answers;
    const std::size_t others = settings_.keepers.size() - 1;
    const std::size_t needed = settings_.keepers.size() - (settings_.keepers.size() / 2 + 1) + 1;
    while (answers.size() < others) {
        for (const KeeperPeer &keeper : settings_.keepers) {
            if (keeper.name == settings_.vm) {
                continue;
            }
            FrameBody probe = ProbeRequest {};
            const auto client = hub_->client(keeper.name);
            const Result<FrameBody> reply = co_await client->call(std::move(probe), probeTimeout);
            if (const ProbeReply *answer = reply ? std::get_if<ProbeReply>(&reply.value()) : nullptr) {
                answers[keeper.name] = *answer;
            }
        }
        const bool isSystemFormed
            = std::any_of(answers.begin(), answers.end(), [](const auto &item) { return item.second.isFormed; });
        if (isSystemFormed && answers.size() >= std::min(needed, others)) {
            Term highest = 0;
            for (const auto &[name, answer] : answers) {
                highest = std::max(highest, answer.term);
            }
            co_return highest;
        }
        if (answers.size() < others) {
            log_.info("keeper.waiting_for_others", {{"answered", answers.size()}, {"others", others}});
            co_await sleepFor(probeInterval);
        }
    }
    co_return std::nullopt;
}

asio::awaitable<void> Daemon::restorePromises()
{
    // Only a state that the leader confirms as current includes every epoch from before the disk was lost.
    bool isCurrent = false;
    while (!isCurrent) {
        const Result<void> refreshed = co_await control_->refresh(probeTimeout);
        isCurrent = refreshed.has_value();
        co_await sleepFor(probeInterval);
    }
    std::vector<Epoch> epochs;
    const auto view = replica_.view();
    for (const PartitionRecord &partition : view->state.partitions()) {
        epochs.push_back(partition.epoch);
    }
    keeper_->restorePromises(epochs);
    log_.info("keeper.promises_restored");
}

asio::awaitable<void> Daemon::startEmptyKeeper()
{
    const std::optional<Term> replacementTerm = co_await findReplacementTerm();
    const Result<void> started = startKeeper(replacementTerm);
    if (!started) {
        log_.write(LogLevel::Error, "keeper.failed", {{"error", started.error().message}});
        io_.stop();
    }
}

Result<void> Daemon::start()
{
    if (!settings_.tlsCertificate.empty()) {
        BOOST_OUTCOME_TRY(tls_, makePeerTls({settings_.tlsCertificate, settings_.tlsKey, settings_.tlsAuthority}));
    }
    const asio::any_io_executor executor = io_.get_executor();
    hub_ = std::make_unique<PeerHub>(executor, tls_, traffic_, settings_.keepers);
    if (settings_.isKeeper) {
        BOOST_OUTCOME_TRYV(openKeeper());
    }
    control_ = std::make_unique<ControlClient>(
        executor, ControlClient::Parts {settings_, replica_, *hub_, log_, controlRunner_.get()},
        [this] { return table_->countPrograms(); });
    table_ = std::make_unique<PartitionTable>(
        executor, PartitionTable::Parts {settings_, replica_, *control_, *hub_, keeper_.get(), log_, metrics_});
    dispatcher_
        = std::make_unique<Dispatcher>(executor, Dispatcher::Parts {settings_, replica_, http_, log_, metrics_});
    callRunner_ = std::make_unique<CallRunner>(
        executor,
        CallRunner::Parts {settings_, replica_, *control_, *table_, *dispatcher_, engines_, http_, log_, metrics_});
    callService_ = std::make_unique<CallService>(
        executor, CallService::Parts {replica_, *table_, *callRunner_, *dispatcher_, log_});
    router_ = std::make_unique<Router>(
        Router::Parts {settings_, replica_, *hub_, *callService_, *table_, shutdown_, log_, metrics_});
    sweeper_ = std::make_unique<HoldSweeper>(
        executor, HoldSweeper::Parts {settings_, replica_, *router_, engines_, log_, metrics_});
    grantor_ = std::make_unique<LimitGrantor>(replica_, *table_);
    admission_ = std::make_unique<CallerAdmission>(
        CallerAdmission::Parts {settings_, replica_, *hub_, *grantor_, shutdown_, metrics_});
    operatorApi_ = std::make_unique<OperatorApi>(
        OperatorApi::Parts {settings_, replica_, *control_, *table_, *dispatcher_, log_});
    api_ = std::make_unique<ApiServer>(executor,
                                       ApiServer::Parts {settings_, replica_, *control_, *router_, *admission_, *table_,
                                                         *operatorApi_, shutdown_, log_, metrics_});
    peerServer_ = std::make_unique<PeerServer>(
        executor, tls_, traffic_, [this](FrameBody body, Milliseconds, std::shared_ptr<PeerReplier> replier) {
            onPeerRequest(std::move(body), std::move(replier));
        });
    metrics_.gauge("cardamompost_process_cpu_seconds", {}, processCpuSeconds);
    metrics_.gauge("cardamompost_peer_bytes_sent", {}, [this] { return static_cast<double>(traffic_.sent); });
    metrics_.gauge("cardamompost_peer_bytes_received", {}, [this] { return static_cast<double>(traffic_.received); });
    metrics_.gauge("cardamompost_resident_bytes", {}, residentBytes);
    metrics_.gauge("cardamompost_programs", {}, [this] { return static_cast<double>(table_->countPrograms()); });
    metrics_.gauge("cardamompost_running_calls", {}, [this] { return static_cast<double>(callRunner_->running()); });

    replica_.subscribe([this](const std::shared_ptr<const ControlView> &view) {
        hub_->update(*view);
        table_->reconcile(*view);
    });
    BOOST_OUTCOME_TRYV(peerServer_->listen(settings_.peer));
    BOOST_OUTCOME_TRYV(api_->start());
    if (controlRunner_ && disk_->store().isEmpty()) {
        asio::co_spawn(asio::make_strand(executor), startEmptyKeeper(), asio::detached);
    } else if (controlRunner_) {
        BOOST_OUTCOME_TRYV(startKeeper(std::nullopt));
    }
    table_->start([this](PartitionId partition, Epoch epoch) { callRunner_->resumePartition(partition, epoch); });
    control_->start();
    dispatcher_->start();
    callService_->start();
    sweeper_->start();
    awaitSignals();
    log_.info("daemon.started",
              {{"http", settings_.http.toString()},
               {"peer", settings_.peer.toString()},
               {"keeper", settings_.isKeeper},
               {"boot", control_->bootId()}});
    return boost::outcome_v2::success();
}

int Daemon::run()
{
    std::vector<std::thread> workers;
    for (int i = 0; i < settings_.workers; ++i) {
        workers.emplace_back([this] { io_.run(); });
    }
    for (std::thread &worker : workers) {
        worker.join();
    }
    log_.info("daemon.stopped");
    return 0;
}

void Daemon::onPeerRequest(FrameBody body, std::shared_ptr<PeerReplier> replier)
{
    if (auto *raft = std::get_if<RaftMessage>(&body)) {
        if (controlRunner_) {
            controlRunner_->onRaft(std::move(*raft));
        }
        return;
    }
    if (!replier) {
        return;
    }
    if (auto *api = std::get_if<ApiRequest>(&body)) {
        callService_->handle(std::move(*api), [replier](Result<ApiChunk> chunk) {
            if (chunk) {
                const bool isLast = chunk.value().isLast;
                replier->reply(std::move(chunk.value()), isLast);
            } else {
                replier->reply(FailureReply {chunk.error()});
            }
        });
        return;
    }
    if (const auto *limit = std::get_if<LimitRequest>(&body)) {
        const Result<LimitReply> granted = grantor_->grant(*limit);
        replier->reply(granted ? FrameBody(granted.value()) : FrameBody(FailureReply {granted.error()}));
        return;
    }
    if (controlRunner_) {
        onKeeperRequest(std::move(body), std::move(replier));
    } else {
        replier->reply(FailureReply {makeError(ErrorKind::NotLeader, "this VM is not a keeper")});
    }
}

void Daemon::onKeeperRequest(FrameBody body, std::shared_ptr<PeerReplier> replier)
{
    if (auto *lease = std::get_if<LeaseRequest>(&body)) {
        controlRunner_->onLease(std::move(*lease), [replier](LeaseReply reply) { replier->reply(std::move(reply)); });
    } else if (auto *propose = std::get_if<ProposeRequest>(&body)) {
        controlRunner_->onPropose(std::move(propose->command),
                                  [replier](ProposeReply reply) { replier->reply(std::move(reply)); });
    } else if (std::holds_alternative<ProbeRequest>(body)) {
        replier->reply(ProbeReply {controlRunner_->isFormed(), controlRunner_->term()});
    } else if (std::holds_alternative<StatusRequest>(body)) {
        controlRunner_->onStatus([replier](StatusReply reply) { replier->reply(std::move(reply)); });
    } else if (const auto *pull = std::get_if<PullRequest>(&body)) {
        answerPull(*pull, std::move(replier));
    } else {
        keeper_->handle(std::move(body), [replier](Result<FrameBody> reply) {
            replier->reply(reply ? std::move(reply.value()) : FrameBody(FailureReply {reply.error()}));
        });
    }
}

void Daemon::answerPull(const PullRequest &request, std::shared_ptr<PeerReplier> replier)
{
    auto wait = [](Daemon &daemon, PullRequest pull, std::shared_ptr<PeerReplier> to) -> asio::awaitable<void> {
        const TimePoint deadline = std::chrono::steady_clock::now() + Milliseconds(pull.waitMs);
        while (daemon.replica_.view()->index <= pull.afterIndex && std::chrono::steady_clock::now() < deadline
               && !to->isCancelled()) {
            co_await sleepFor(pullPollInterval);
        }
        to->reply(daemon.replica_.changesAfter(pull.afterIndex));
    };
    asio::co_spawn(asio::make_strand(io_.get_executor()), wait(*this, request, std::move(replier)), asio::detached);
}

void Daemon::awaitSignals()
{
    signals_.async_wait([this](const boost::system::error_code &error, int) {
        if (error) {
            return;
        }
        if (isShuttingDown_) {
            log_.warn("daemon.stopped_at_once", {{"requests", api_->active()}});
            asio::co_spawn(asio::make_strand(io_.get_executor()), endRequests(), asio::detached);
            return;
        }
        isShuttingDown_ = true;
        asio::co_spawn(asio::make_strand(io_.get_executor()), shutDown(), asio::detached);
        awaitSignals();
    });
}

asio::awaitable<void> Daemon::shutDown()
{
    log_.info("daemon.leaving");
    const auto now = [] { return std::chrono::steady_clock::now(); };
    const TimePoint startedAt = now();
    const auto view = replica_.view();
    if (const VmRecord *own = view->state.findVm(settings_.vm)) {
        VmRecord leaving = *own;
        leaving.state = VmState::Leaving;
        ControlCommand command = leaving;
        const Result<ApplyResult> left = co_await control_->propose(std::move(command), leaveTimeout);
        log_.info("daemon.left", {{"accepted", left.has_value()}});
    }
    while (table_->countOwned() > 0 && now() - startedAt < maxHandoverTime) {
        co_await sleepFor(shutdownPollInterval);
    }
    // Clients cache the directory for its TTL and may still connect to this VM until then.
    const TimePoint directoryExpiry = startedAt + Milliseconds(settings_.directoryTtlMs);
    while (now() < directoryExpiry
           || ((api_->active() > 0 || callRunner_->running() > 0) && now() - startedAt < maxDrainTime)) {
        co_await sleepFor(shutdownPollInterval);
    }
    co_await endRequests();
}

asio::awaitable<void> Daemon::endRequests()
{
    if (isEnding_.exchange(true)) {
        co_return;
    }
    const TimePoint deadline = std::chrono::steady_clock::now() + maxFinalAnswerTime;
    api_->stopAccepting();
    shutdown_.give();
    // The connections in the listener's backlog are open after the first pause.
    do {
        api_->endConnections();
        co_await sleepFor(shutdownPollInterval);
    } while (api_->openConnections() > 0 && std::chrono::steady_clock::now() < deadline);
    if (api_->openConnections() > 0) {
        log_.warn("daemon.unfinished", {{"connections", api_->openConnections()}, {"requests", api_->active()}});
    }
    control_->stop();
    io_.stop();
}

} // namespace cardamompost
