#ifndef CARDAMOMPOST_CP_LEDGER_SERVICE_HPP_INCLUDED
#define CARDAMOMPOST_CP_LEDGER_SERVICE_HPP_INCLUDED

#include "cp_consensus_driver.hpp"
#include "cp_gateway_settings.hpp"
#include "cp_group_discovery.hpp"
#include "cp_presence_table.hpp"
#include "cp_turn_text_store.hpp"
#include "cp_update_service.hpp"

#include <cardamompost/accounts/cp_scoped_id.hpp>
#include <cardamompost/edge/cp_iplatform_adapter.hpp>
#include <cardamompost/ledger/cp_ledger_clock.hpp>
#include <cardamompost/ledger/cp_ledger_state.hpp>
#include <cardamompost/ledger/cp_member_planner.hpp>
#include <cardamompost/ledger/cp_serving_peers.hpp>
#include <cardamompost/limits/cp_request_limiter.hpp>
#include <cardamompost/net/cp_peer_server.hpp>
#include <cardamompost/policy/cp_turn_placement.hpp>
#include <cardamompost/quarantine/cp_suspect_runs.hpp>

#include <deque>

namespace cardamompost
{

//! Serves requests of entries and of other ledger VMs; as the leader, also manages the group's membership.
//! Thread-safety: none; everything runs on the io_context's thread.
class LedgerService : public IReplicatedState
{
public:
    struct Parts {
        boost::asio::io_context &io;
        const GatewaySettings &settings;
        const IPlatformAdapter &adapter;
        DiskThread &disk;
        PeerClients &peers;
        EventLog &log;
        MetricRegistry &metrics;
        std::shared_ptr<MemoryAccount> account;
    };
    //! The outcome of an operator's request.
    enum class OperationResult {
        Done,
        NotLeader,
        //! Leadership was not confirmed, or it is not known whether the command was committed.
        Unknown,
        NotFound,
        NotEnoughVms,
        //! The retirement has not finished yet.
        Running,
    };
    using OperationCallback = std::function<void(OperationResult)>;
    using Replier = std::shared_ptr<PeerReplier>;

    explicit LedgerService(Parts parts);

    //! Starts from stored data, as a founder, or by joining the group. Errors: StorageCorrupt.
    Result<void> start();
    void stop();

    void onRaft(RaftMessage message)
    {
        driver_.onMessage(std::move(message));
    }
    void onJoin(const JoinRequest &request, const Replier &replier);
    void onLeaderNotice(const LeaderNotice &notice);
    void onBegin(TurnBegin begin, const Replier &replier);
    void onAdmit(const AdmitRequest &request, const Replier &replier);
    void onFinish(TurnFinish finish, const Replier &replier);
    void onStreamVersion(const StreamVersionRequest &request, const Replier &replier);
    void onSuspect(const SuspectRequest &request, const Replier &replier);
    void onUpdateRequest(const UpdateRequest &request, const Replier &replier)
    {
        updates_.onRequest(request, replier);
    }
    void onPresence(const Presence &presence);
    void onTurnTexts(const TurnTextsRequest &request, const Replier &replier)
    {
        texts_.onRequest(request, replier);
    }

    //! Sets a newly read list of backend servers; on the leader only.
    void setBackends(std::vector<BackendServer> servers);

    //! Replaces the route document by a validated one, unless the current version is equal or higher.
    void putDocument(std::uint64_t version, std::string bytes, OperationCallback done);
    //! Confirms that this member is the leader and has applied all committed entries.
    void confirmLeadership(OperationCallback done);
    //! Marks a VM as retiring, if enough other live VMs would remain.
    void retire(const VmName &vm, OperationCallback done);
    //! Reports Done once a retiring VM has left the group and the group has the desired number of voters.
    void queryRetirement(const VmName &vm, OperationCallback done);

    [[nodiscard]] const PresenceTable &presence() const
    {
        return presence_;
    }
    [[nodiscard]] const LedgerState &state() const
    {
        return state_;
    }
    [[nodiscard]] bool leads() const
    {
        return driver_.isEstablishedLeader();
    }
    //! The leader that this member of the group knows, or else the one last reported to this VM; empty if there is
    //! neither.
    [[nodiscard]] VmName leader() const
    {
        return driver_.leader().empty() && discovery_.leader() != self_ ? discovery_.leader() : driver_.leader();
    }
    //! \returns whether a successor was asked to take over
    bool transferLeadership()
    {
        return driver_.transferLeadership();
    }

    void apply(const LogEntry &entry) override;
    Result<void> restore(const RaftSnapshot &snapshot) override;
    [[nodiscard]] std::string encodeSnapshot() const override
    {
        return state_.encode();
    }
    void addToSnapshot(LogBatch &batch) override
    {
        texts_.addToSnapshot(batch);
    }
    void onSnapshotStored() override
    {
        state_.texts().endStoring();
    }
    void onChange() override;

private:
    //! A begin in progress: waits for its placement and for its reservation to be committed.
    struct ActiveBegin {
        TurnBegin begin;
        Replier replier;
        TimePoint since {};
        //! Inputs and outputs of the preceding turns.
        std::string history;
        //! The server that the turn is placed on; valid once isPlaced.
        std::string backend;
        bool isPlaced = false;
        //! The quorum's decision; empty while it is pending.
        std::optional<TurnBeginStatus> decided;
        //! Another server that is expected to have the turn's prompt in its cache; empty if there is none.
        std::string promptSource {};
        //! The turn was finished before it was placed.
        bool isAbandoned = false;
        //! Charges what is read and sent of the history.
        std::unique_ptr<MemoryAccount::Holder> hold {};
    };

    Result<void> startMember(RaftStoredState stored);
    void joinPeriodically();
    void requestJoin();
    void onJoinReply(const VmName &target, const JoinReply &reply);
    //! Leader and members as known to this VM, for VMs that look for the group.
    [[nodiscard]] GroupView groupView() const;
    //! The leader to poll for updates; empty while none is known.
    [[nodiscard]] VmName updateSource() const;
    //! Sends a leader notice to the VMs that sent no join request recently; on the leader only.
    void notifySilentPeers();
    //! Sends a leader notice to all VMs, so that relays and their entries turn to this leader at once.
    void notifyAllPeers();
    void notify(const std::set<VmName> &peers);
    //! All VMs that may be part of the system, without this one.
    [[nodiscard]] std::set<VmName> allPeers() const;
    //! Logs a search for the leader that takes long.
    void logSearch(const VmName &target, const std::vector<VmName> &peers);
    //! Proposes a command with the ledger's time.
    void propose(LedgerCommand::Action action, ConsensusDriver::CommitCallback done);
    void proposeAt(std::int64_t nowMs, LedgerCommand::Action action, ConsensusDriver::CommitCallback done);
    //! Logs and counts a rejected begin, and replies.
    //! \param isConfirmed  a quorum has confirmed the state that the rejection is based on
    void refuse(const TurnBegin &begin, TurnBeginStatus status, bool isConfirmed, const Replier &replier);
    //! The turn that a begin continues is unknown, or may be removed at any time.
    [[nodiscard]] bool isPreviousExpired(const TurnBegin &begin);
    void confirmNoSuchTurn(const TurnBegin &begin, const Replier &replier);
    //! Charges a turn to its account's limit; then rejects it, or continues with it at once or after a delay.
    void applyAccountLimit(const std::shared_ptr<ActiveBegin> &active);
    //! Charges a turn whose id is that of a begin in progress, and which is another request of the caller.
    void admitRepeatedTurn(TurnBegin begin, const Replier &replier);
    void recordLimited(const std::string &account, const std::string &id, const RequestLimiter::Decision &decision);
    //! Calls back with true once this leader holds the lease and the account's earlier usage is replicated.
    //! Calls back with false at the deadline, or earlier if this VM stops leading.
    void awaitAdmissionLease(const std::string &account, TimePoint deadline, std::function<void(bool)> done);
    //! Proposes the accounts' usage when a report is due.
    void reportUsage();
    void refreshClock();
    //! The ledger's time, from which commands that are proposed now are applied.
    [[nodiscard]] std::int64_t ledgerTimeMs();
    //! Calls back after a delay; synchronously if there is none.
    void runAfter(Milliseconds delay, std::function<void()> work);
    //! Reads the texts of the turns that a begin continues.
    void readHistory(const std::shared_ptr<ActiveBegin> &active);
    //! The reply to a turn that the ledger can't handle beside others at present.
    [[nodiscard]] TurnBeginReply overloadedReply();
    //! Logs and counts the refusal of a turn that continues a history of which a part is lost, and replies.
    void refuseIncompleteHistory(ActiveBegin &active);
    //! Extends the retention of the turns that a begin continues, if they may expire before its turn ends.
    void retainHistory(const TurnBegin &begin);
    //! The turn continues another one, or its program has spent or reserved tokens.
    [[nodiscard]] bool isProgramInProgress(const TurnBegin &begin) const;
    void startBegin(const std::shared_ptr<ActiveBegin> &active);
    [[nodiscard]] SlotRequest slotRequestFor(const TurnBegin &begin) const;
    //! Logs and counts the refusal of a program's first turn, for which nothing was reserved, and replies.
    void refuseProgram(ActiveBegin &active, const AdmissionRefusal &refusal);
    //! Forgets a begin whose turn was finished while it waited for a slot.
    void abandonBegin(const std::string &turn);
    void requestPlacement(const std::shared_ptr<ActiveBegin> &active, SlotRequest request);
    void onPlaced(ActiveBegin &active, const std::string &backend);
    //! Tells the entry where the turn has been placed.
    void replyPlacement(const ActiveBegin &active);
    void commitBegin(const std::shared_ptr<ActiveBegin> &active);
    void onDecided(ActiveBegin &active, TurnBeginStatus status);
    //! Sends the final reply and removes the begin.
    void completeBegin(ActiveBegin &active, TurnBeginReply reply);
    //! Handles a retry of a begin in progress.
    void onRepeatedBegin(ActiveBegin &active, const Replier &replier);
    //! Time since the oldest undecided begin was proposed; 0 when there is none.
    [[nodiscard]] Milliseconds commitDelay(TimePoint now);
    [[nodiscard]] bool isOverloaded(const TurnBegin &begin, TimePoint now);
    //! Decides whether a request under which servers have ended may be sent to a server now.
    void startSuspect(const SuspectRequest &request, const Replier &replier);
    void recordBackendEnd(const SuspectRequest &request, const Replier &replier);
    void clearSuspect(const SuspectRequest &request, const Replier &replier);
    //! Offers the list of suspects to entries if it has changed; on the leader only.
    void publishSuspects();
    //! Offers the current document to entries, and applies its limits; on the leader only.
    void publishDocument();
    //! Starts or stops to serve updates as the leader.
    void updateLeadership(bool isLeader);
    //! All ledger VMs by the replicated records.
    [[nodiscard]] LedgerPeers ledgerPeers() const;
    //! Other ledger VMs that may be contacted.
    [[nodiscard]] std::set<VmName> servingVms() const;
    void planMembers();
    //! Another VM than the recorded one uses its address now.
    [[nodiscard]] bool isAddressTaken(const LedgerVm &record) const;
    [[nodiscard]] MemberCandidates candidates() const;
    [[nodiscard]] std::size_t desiredVoters() const
    {
        return 2 * parts_.settings.toleratedLosses + 1;
    }
    void logRole();
    //! Records how long a turn took; on every member.
    void recordSample(const TurnFinish &finish);
    //! Updates the engines' rates and logs those that became slow, fast or usual; on the leader only.
    void updateRates();
    [[nodiscard]] std::vector<VmName> knownPeers() const;
    //! Announces to all ledger VMs, at intervals, that this one is reachable.
    void announcePeriodically();
    //! The other voters, the leader last.
    [[nodiscard]] std::vector<VmName> otherVoters() const;

    Parts parts_;
    VmName self_;
    LedgerState state_;
    LedgerClock clock_;
    //! The term for which the clock was initialized.
    Term clockTerm_ = 0;
    TurnTextStore texts_;
    ConsensusDriver driver_;
    boost::asio::steady_timer joinTimer_;
    boost::asio::steady_timer presenceTimer_;
    GroupDiscovery discovery_;
    std::size_t nextJoinTarget_ = 0;
    //! Empty while a leader is known.
    std::optional<TimePoint> searchingSince_;
    TimePoint lastSearchLogAt_ {};
    //! Sum of the reservations that are proposed but not applied yet, and their number.
    struct PendingTokens {
        std::int64_t tokens = 0;
        unsigned turns = 0;
    };
    //! By program.
    std::unordered_map<std::string, PendingTokens> pendingTokens_;
    //! Begins without a final reply, by turn.
    std::unordered_map<std::string, std::shared_ptr<ActiveBegin>> activeBegins_;
    //! Proposed begins with the time of their proposal, oldest first; decided ones are removed by commitDelay().
    std::deque<std::pair<TimePoint, std::shared_ptr<ActiveBegin>>> proposedBegins_;
    //! Time from the proposal to the decision of the begin that was decided last.
    Milliseconds lastCommitTime_ {0};
    //! Repliers to requests whose TurnFinish is proposed, by turn.
    std::unordered_map<std::string, Replier> finishRepliers_;
    //! Begins of turns whose earlier attempt is being finished, by turn.
    std::unordered_multimap<std::string, std::pair<TurnBegin, Replier>> beginsAfterFinish_;
    //! Repliers to requests whose StreamVersion is proposed, by stream and attempt.
    std::unordered_map<std::string, Replier> streamRepliers_;
    TurnPlacement placement_;
    RequestLimiter limiter_;
    UpdateService updates_;
    SuspectRuns suspectRuns_;
    TimePoint nextSuspectRemoval_ {};
    Histogram &placementSeconds_;
    Histogram &predictionErrorSeconds_;
    Counter &takeovers_;
    Counter &exhaustedTurns_;
    Counter &unknownTurns_;
    Counter &missingVersions_;
    Counter &incompleteHistories_;
    Counter &limitedRequests_;
    Counter &overloadedTurns_;
    Counter &lateProgramsRefused_;
    Counter &queuedProgramsRefused_;
    Counter &backendEnds_;
    Counter &quarantinedRequests_;
    //! Outcome of the last applied command.
    TurnBeginStatus lastApplyStatus_ = TurnBeginStatus::Granted;
    //! What a ledger VM, member or not, reported with its last join request.
    struct JoinRequester {
        TimePoint requestedAt {};
        LogIndex completeUpTo = 0;
        std::string failureDomain;
        VmName vm;
    };
    //! By address.
    std::unordered_map<VmName, JoinRequester> joinRequesters_;
    //! VMs whose record is being committed.
    std::set<VmName> proposedVms_;
    //! The last document version that was decoded, successfully or not.
    std::uint64_t lastReadVersion_ = 0;
    //! False when the records of VMs have changed since they were published.
    bool arePeersPublished_ = false;
    //! The group when they were published.
    Membership publishedMembers_;
    PresenceTable presence_;
    TimePoint nextPlanAt_ {};
    bool wasLeader_ = false;
    TimePoint leadingSince_ {};
    VmName loggedLeader_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LEDGER_SERVICE_HPP_INCLUDED
