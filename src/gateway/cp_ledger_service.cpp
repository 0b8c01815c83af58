#include "cp_ledger_service.hpp"

#include <boost/asio/post.hpp>

namespace cardamompost
{

namespace
{

constexpr Milliseconds electionTimeout {300};
// Several heartbeats; a shorter timeout would depose a leader that is short of CPU time.
constexpr Milliseconds shortestElectionTimeout {100};
constexpr Milliseconds firstElectionTimeout {60};
constexpr Milliseconds heartbeatInterval {30};
// Appends in flight to a lagging member; bounds the leader's memory on small VMs.
constexpr std::size_t maxAppendBytes = 256U << 10U;
constexpr std::size_t maxAppendsInFlight = 16;
constexpr LogIndex foundingIndex = 1;
constexpr Term foundingTerm = 1;

} // namespace

LedgerService::LedgerService(Parts parts)
    : parts_(parts)
    , self_(parts.settings.peer.toString())
    , texts_({parts.io, parts.disk, parts.peers, parts.log, parts.metrics,
              [this]() -> TurnTexts & { return state_.texts(); }, [this] { return otherVoters(); }})
    , driver_({parts.io, parts.disk, parts.peers, parts.log, parts.metrics}, *this)
    , joinTimer_(parts.io)
    , presenceTimer_(parts.io)
    , discovery_({parts.io, parts.disk, parts.log})
    , placement_(randomIdentity(), parts.settings.placement)
    , limiter_(parts.settings.limitTolerance)
    , updates_({parts.io, parts.peers, parts.log, parts.metrics, self_, [this] { return updateSource(); },
                [this] { return groupView().members; }})
    , placementSeconds_(parts.metrics.histogram("cardamompost_turn_place_seconds"))
    , predictionErrorSeconds_(parts.metrics.histogram("cardamompost_turn_prediction_error_seconds"))
    , takeovers_(parts.metrics.counter("cardamompost_ledger_takeovers_total"))
    , exhaustedTurns_(parts.metrics.counter("cardamompost_turns_refused_total", {{"reason", "spent"}}))
    , unknownTurns_(parts.metrics.counter("cardamompost_turns_refused_total", {{"reason", "no-such-turn"}}))
    , missingVersions_(parts.metrics.counter("cardamompost_turns_refused_total", {{"reason", "no-such-version"}}))
    , incompleteHistories_(
          parts.metrics.counter("cardamompost_turns_refused_total", {{"reason", "incomplete-history"}}))
    , limitedRequests_(parts.metrics.counter("cardamompost_requests_limited_total"))
    , overloadedTurns_(parts.metrics.counter("cardamompost_turns_refused_total", {{"reason", "overloaded"}}))
    , lateProgramsRefused_(parts.metrics.counter("cardamompost_programs_refused_total", {{"reason", "too-late"}}))
    , queuedProgramsRefused_(
          parts.metrics.counter("cardamompost_programs_refused_total", {{"reason", "queue-too-long"}}))
    , backendEnds_(parts.metrics.counter("cardamompost_backend_ends_total"))
    , quarantinedRequests_(parts.metrics.counter("cardamompost_requests_quarantined_total"))
{
}

Result<void> LedgerService::start()
{
    LogStore &store = parts_.disk.store();
    const std::vector<VmName> seeds = parts_.settings.seedPeers();
    const bool isFounder = std::find(seeds.begin(), seeds.end(), self_) != seeds.end();
    // A VM that remembers a group doesn't found one, even if it was never a member: the seeds may have been replaced
    // since.
    if (store.isEmpty() && parts_.settings.isFirstStart && isFounder) {
        // All founders start from the same snapshot, so that any quorum of the seeds can elect a leader and only one
        // group can form.
        RaftSnapshot first {foundingIndex, foundingTerm, {{seeds.begin(), seeds.end()}, {}}, LedgerState {}.encode()};
        LogBatch batch;
        batch.putHardState(controlGroup, {foundingTerm, {}});
        batch.putSnapshot(controlGroup, first);
        BOOST_OUTCOME_TRYV(store.write(batch));
        parts_.log.info("ledger.founded", {{"self", self_}, {"members", seeds.size()}});
    }
    BOOST_OUTCOME_TRY(RaftStoredState stored, store.loadRaft(controlGroup));
    state_.texts().setCacheBytes(parts_.settings.textCacheBytes());
    texts_.open(store);
    discovery_.open(store);
    parts_.disk.start();
    parts_.metrics.gauge("cardamompost_ledger_streams", {},
                         [this] { return static_cast<double>(state_.streamCount()); });
    parts_.metrics.gauge("cardamompost_turns_waiting", {},
                         [this] { return static_cast<double>(placement_.waiting()); });
    parts_.metrics.gauge("cardamompost_turns_beginning", {},
                         [this] { return static_cast<double>(activeBegins_.size()); });
    // The term is a fencing token: members reject messages of leaders with a lower term.
    parts_.metrics.gauge("cardamompost_ledger_term", {},
                         [this] { return driver_.isStarted() ? static_cast<double>(driver_.node().term()) : 0.0; });
    // Until its data is complete again, a VM that lost its disk counts as one of the tolerated losses.
    parts_.metrics.gauge("cardamompost_ledger_whole", {}, [this] {
        return driver_.isStarted() && !driver_.node().isUninitialized() && state_.texts().missing().empty() ? 1.0 : 0.0;
    });
    parts_.metrics.gauge("cardamompost_suspects", {},
                         [this] { return static_cast<double>(state_.quarantine().suspects().size()); });
    parts_.metrics.gauge("cardamompost_engines_measured", {},
                         [this] { return static_cast<double>(placement_.rates().engineCount()); });
    parts_.metrics.gauge("cardamompost_engines_unusual", {},
                         [this] { return static_cast<double>(placement_.unusualEngines()); });
    parts_.metrics.gauge("cardamompost_list_age_seconds", {}, [this] {
        return leads()
            ? std::chrono::duration<double>(std::chrono::steady_clock::now() - updates_.relay().listReadAt()).count()
            : 0.0;
    });
    if (stored.hard.term != 0) {
        BOOST_OUTCOME_TRYV(startMember(std::move(stored)));
    } else {
        parts_.log.warn("ledger.blank", {{"self", self_}});
    }
    updates_.start();
    joinPeriodically();
    announcePeriodically();
    return boost::outcome_v2::success();
}

Result<void> LedgerService::startMember(RaftStoredState stored)
{
    RaftOptions options;
    options.self = self_;
    options.electionTimeout = electionTimeout;
    options.shortestElectionTimeout = shortestElectionTimeout;
    options.firstElectionTimeout = firstElectionTimeout;
    options.heartbeatInterval = heartbeatInterval;
    options.maxAppendBytes = maxAppendBytes;
    options.maxInFlight = maxAppendsInFlight;
    options.seed = randomIdentity();
    parts_.log.info(
        "ledger.started",
        {{"term", stored.hard.term}, {"entries", stored.entries.size()}, {"snapshot", stored.snapshot.index}});
    return driver_.start(std::move(options), std::move(stored), {});
}

void LedgerService::stop()
{
    joinTimer_.cancel();
    presenceTimer_.cancel();
    texts_.stop();
    discovery_.stop();
    updates_.stop();
    driver_.stop();
}

void LedgerService::propose(LedgerCommand::Action action, ConsensusDriver::CommitCallback done)
{
    proposeAt(ledgerTimeMs(), std::move(action), std::move(done));
}

void LedgerService::proposeAt(std::int64_t nowMs, LedgerCommand::Action action, ConsensusDriver::CommitCallback done)
{
    // The entries of turns know for how long their callers wait.
    const bool isTurn = std::holds_alternative<TurnBegin>(action) || std::holds_alternative<TurnFinish>(action);
    const auto expiry
        = isTurn ? ConsensusDriver::ProposalExpiry::LostLeadership : ConsensusDriver::ProposalExpiry::Timeout;
    driver_.propose(encodeLedgerCommand({nowMs, std::move(action)}), expiry, std::move(done));
}

std::int64_t LedgerService::ledgerTimeMs()
{
    refreshClock();
    return std::max(clock_.nowMs(std::chrono::steady_clock::now()), state_.nowMs());
}

void LedgerService::refreshClock()
{
    if (driver_.isStarted() && clockTerm_ != driver_.node().term()) {
        clockTerm_ = driver_.node().term();
        clock_.resumeFrom(state_.nowMs(), std::chrono::steady_clock::now());
    }
}

void LedgerService::apply(const LogEntry &entry)
{
    const Result<LedgerCommand> command = decodeLedgerCommand(entry.payload);
    if (!command) {
        parts_.log.write(LogLevel::Error, "ledger.unreadable_entry", {{"index", entry.index}});
        return;
    }
    const auto *finish = std::get_if<TurnFinish>(&command.value().action);
    if (finish != nullptr && !leads()) {
        // The leader tracks placements itself, including those of turns in progress.
        placement_.recordLastEngine(finish->program, finish->backend, std::chrono::steady_clock::now());
    }
    if (finish != nullptr && finish->timing.streamMs != 0) {
        recordSample(*finish);
    }
    arePeersPublished_ = arePeersPublished_ && !std::holds_alternative<LedgerVm>(command.value().action);
    const std::uint64_t before = state_.documentVersion();
    lastApplyStatus_ = state_.apply(command.value(), entry.index);
    publishSuspects();
    if (state_.documentVersion() != before) {
        parts_.log.info(
            "document.in_force",
            {{"version", state_.documentVersion()}, {"before", before}, {"bytes", state_.document().size()}});
        publishDocument();
    }
}

void LedgerService::recordSample(const TurnFinish &finish)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const TurnTiming &timing = finish.timing;
    const double usual = placement_.rates().millisecondsPerToken(timing.service, timing.turnsAtBackend);
    if (leads() && usual != 0) {
        const double slowness = placement_.rates().slowness(timing.service, finish.backend, timing.incarnation, now);
        const double error = std::abs(usual * slowness * timing.streamTokens - timing.streamMs);
        predictionErrorSeconds_.observe(error / 1000);
    }
    placement_.recordSample({timing.service, finish.backend, timing.incarnation, timing.turnsAtBackend,
                             timing.streamTokens, Milliseconds(timing.streamMs)},
                            now);
}

void LedgerService::updateRates()
{
    for (const EngineRateChange &change : placement_.updateRates(std::chrono::steady_clock::now())) {
        parts_.log.info("engine.rate_changed",
                        {{"engine", change.engine},
                         {"service", change.service},
                         {"slowness", change.slowness},
                         {"samples", change.samples}});
    }
}

Result<void> LedgerService::restore(const RaftSnapshot &snapshot)
{
    BOOST_OUTCOME_TRY(LedgerState fresh, LedgerState::decode(snapshot.state));
    fresh.adoptTexts(std::move(state_.texts()));
    state_ = std::move(fresh);
    arePeersPublished_ = false;
    texts_.fetchMissing();
    parts_.log.info("ledger.restored", {{"index", snapshot.index}, {"turns", state_.turnCount()}});
    return boost::outcome_v2::success();
}

void LedgerService::putDocument(std::uint64_t version, std::string bytes, OperationCallback done)
{
    if (!leads()) {
        done(OperationResult::NotLeader);
        return;
    }
    if (version <= state_.documentVersion()) {
        // The document stays as it is, but only a confirmed leader may report that.
        confirmLeadership(std::move(done));
        return;
    }
    propose(RouteDocumentPut {version, std::move(bytes)}, [done = std::move(done)](bool isCommitted) {
        done(isCommitted ? OperationResult::Done : OperationResult::Unknown);
    });
}

void LedgerService::confirmLeadership(OperationCallback done)
{
    if (!leads()) {
        done(OperationResult::NotLeader);
        return;
    }
    driver_.confirmRead([done = std::move(done)](bool isConfirmed) {
        done(isConfirmed ? OperationResult::Done : OperationResult::Unknown);
    });
}

void LedgerService::onChange()
{
    const bool isLeader = leads();
    if (isLeader && !wasLeader_) {
        leadingSince_ = std::chrono::steady_clock::now();
        takeovers_.add();
        notifyAllPeers();
    }
    if (isLeader != wasLeader_) {
        updateLeadership(isLeader);
    } else {
        placement_.tick(std::chrono::steady_clock::now());
    }
    updateRates();
    reportUsage();
    publishSuspects();
    if (isLeader != wasLeader_ || driver_.leader() != loggedLeader_) {
        wasLeader_ = isLeader;
        logRole();
    }
    const Membership &members = driver_.node().membership();
    if (isLeader && (!arePeersPublished_ || members != publishedMembers_)) {
        updates_.relay().setPeers(ledgerPeers());
        arePeersPublished_ = true;
        publishedMembers_ = members;
    }
    updates_.tick(members.voters.contains(self_) || members.learners.contains(self_));
    planMembers();
}

void LedgerService::logRole()
{
    loggedLeader_ = driver_.leader();
    parts_.log.info("ledger.leader",
                    {{"leader", loggedLeader_},
                     {"self_leads", wasLeader_},
                     {"term", driver_.node().term()},
                     {"commit", driver_.node().commitIndex()}});
}

} // namespace cardamompost
