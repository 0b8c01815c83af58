#ifndef CARDAMOMPOST_CP_LEDGER_SERVICE_HPP_INCLUDED
#define CARDAMOMPOST_CP_LEDGER_SERVICE_HPP_INCLUDED

#include "cp_consensus_driver.hpp"
#include "cp_gateway_settings.hpp"
#include "cp_group_discovery.hpp"
#include "cp_presence_table.hpp"
#include "cp_turn_text_store.hpp"

#include <cardamompost/accounts/cp_scoped_id.hpp>
#include <cardamompost/edge/cp_iplatform_adapter.hpp>
#include <cardamompost/ledger/cp_ledger_clock.hpp>
#include <cardamompost/ledger/cp_ledger_state.hpp>
#include <cardamompost/ledger/cp_member_planner.hpp>
#include <cardamompost/ledger/cp_update_queue.hpp>
#include <cardamompost/limits/cp_request_limiter.hpp>
#include <cardamompost/net/cp_peer_server.hpp>
#include <cardamompost/policy/cp_turn_placement.hpp>

#include <deque>

namespace cardamompost
{

//! A ledger VM's answers to entries and to other ledger VMs, and on the leader the care for the group's members.
//! Everything runs on the io_context's thread.
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
    };
    //! What an operator's order came to.
    enum class OrderResult {
        Done,
        NotLeader,
        Unknown,
        NotFound,
        TooFewLeft,
        Running,
    };
    using OrderDone = std::function<void(OrderResult)>;
    using Replier = std::shared_ptr<PeerReplier>;

    explicit LedgerService(Parts parts);

    //! Starts the member from its disk, as a founder, or by asking the others. Errors: StorageCorrupt.
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
    void onUpdateRequest(const UpdateRequest &request, const Replier &replier);
    void onPresence(const Presence &presence);
    void onTurnTexts(const TurnTextsRequest &request, const Replier &replier)
    {
        texts_.onRequest(request, replier);
    }

    //! Called with a list that was read newly; on the leader only.
    void setBackends(std::vector<BackendServer> servers);

    //! Puts a checked document in force, unless the same or a higher version is.
    void putDocument(std::uint64_t version, std::string bytes, OrderDone done);
    //! Confirms that this member leads and holds all that is committed.
    void confirm(OrderDone done);
    void retire(const VmName &vm, OrderDone done);
    void retirement(const VmName &vm, OrderDone done);

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
    //! Empty while none is known. A VM outside of the group knows the one that was last named to it.
    [[nodiscard]] VmName leader() const
    {
        return driver_.leader().empty() && discovery_.leader() != self_ ? discovery_.leader() : driver_.leader();
    }
    void handOver()
    {
        driver_.handOver();
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
    //! A turn's begin on its way: it needs a place at an engine, and its reservation on a quorum's disks.
    struct Begin {
        TurnBegin begin;
        Replier replier;
        TimePoint since {};
        //! Of the turns that it continues.
        std::string history;
        //! With a place for it, once isPlaced.
        std::string backend;
        bool isPlaced = false;
        //! What the quorum decided; nothing yet.
        std::optional<TurnBeginStatus> decided;
    };
    using PendingUpdates = UpdateQueue<Replier>;
    struct Watcher {
        UpdateRequest request;
        Replier replier;
        TimePoint deadline;
    };

    Result<void> startMember(RaftStoredState stored);
    void keepJoining();
    void askToJoin();
    void onJoined(const VmName &asked, const JoinReply &reply);
    //! What a VM that asks for the group hears.
    [[nodiscard]] GroupView groupView() const;
    //! Tells VMs that should ask this leader and don't that it is here.
    void notifySilentPeers();
    //! Says in the logs whom this VM asks while it finds no leader.
    void logSearch(const VmName &asked, const std::vector<VmName> &peers);
    //! Proposes a change, with the ledger's time.
    void propose(LedgerCommand::Action action, ConsensusDriver::Committed done);
    void refuse(const TurnBegin &begin, TurnBeginStatus status, bool isConfirmed, const Replier &replier);
    void confirmNoSuchTurn(const TurnBegin &begin, const Replier &replier);
    //! Takes a turn into its account's limit, and goes on with it then or later.
    void limitBegin(const std::shared_ptr<Begin> &begun);
    void noteLimited(const std::string &account, const std::string &id, const RequestLimiter::Decision &decision);
    //! Calls back as soon as no other VM can admit the account's requests besides this one, and a successor would know
    //! of those that were. \param until  give up then, with false
    void mayAdmit(const std::string &account, TimePoint until, std::function<void(bool)> work);
    //! Proposes what accounts have used, now and then.
    void reportUsage();
    void refreshClock();
    //! Calls back after a time; at once for none.
    void after(Milliseconds delay, std::function<void()> work);
    //! Reads the history that a turn goes on from.
    void readHistory(const std::shared_ptr<Begin> &begun);
    //! Goes on with a begin whose history is there.
    //! The turn's program has run a turn before, or runs one now.
    [[nodiscard]] bool isInProgress(const TurnBegin &begin) const;
    void startBegin(const std::shared_ptr<Begin> &begun);
    void placeBegin(const std::shared_ptr<Begin> &begun);
    void onPlaced(Begin &begun, const std::string &backend);
    void commitBegin(const std::shared_ptr<Begin> &begun);
    void onDecided(Begin &begun, TurnBeginStatus status);
    //! The last reply to a begin.
    void endBegin(Begin &begun, TurnBeginReply reply);
    //! The entry has asked again for a begin that is under way.
    void askAgain(Begin &begun, const Replier &replier);
    //! Time since the oldest begin was proposed that no quorum has decided yet; 0 when there is none.
    [[nodiscard]] Milliseconds commitDelay(TimePoint now);
    [[nodiscard]] bool isOverloaded(const TurnBegin &begin, TimePoint now);
    [[nodiscard]] bool hasNewDocument(const UpdateRequest &request) const;
    [[nodiscard]] bool hasNewList(const UpdateRequest &request) const;
    //! There is something new to answer with.
    [[nodiscard]] bool isDue(const UpdateRequest &request) const;
    //! Makes the document in force ready to be sent in buckets.
    void offerDocument();
    //! Answers entries that wait for news: with what is new, or that there is nothing yet, or that another VM leads.
    void serveUpdates();
    //! \returns the bytes of what is new in the answer
    std::size_t replyUpdate(const UpdateRequest &request, const Replier &replier, bool withContent);
    //! Tells those that wait for a leader: that it is this VM, or that their time is over.
    void answerWatchers(bool all);
    void planMembers();
    [[nodiscard]] MemberCandidates candidates() const;
    [[nodiscard]] std::size_t desiredVoters() const
    {
        return 2 * parts_.settings.toleratedLosses + 1;
    }
    void logRole();
    [[nodiscard]] std::vector<VmName> knownPeers() const;
    //! Says to all ledger VMs that this one answers callers.
    void keepTelling();
    //! The other members, the leader last.
    [[nodiscard]] std::vector<VmName> otherMembers() const;

    Parts parts_;
    VmName self_;
    LedgerState state_;
    LedgerClock clock_;
    //! The term that the clock was taken over for.
    Term clockTerm_ = 0;
    TurnTextStore texts_;
    ConsensusDriver driver_;
    boost::asio::steady_timer joinTimer_;
    boost::asio::steady_timer tellTimer_;
    GroupDiscovery discovery_;
    std::size_t nextAsked_ = 0;
    //! Since when no leader is known; nothing while one is.
    std::optional<TimePoint> searchingSince_;
    TimePoint lastSearchLog_ {};
    std::unordered_map<std::string, std::int64_t> pendingTokens_;
    //! Begins without their last reply, by turn, and those of them that are proposed, oldest first.
    std::unordered_map<std::string, std::shared_ptr<Begin>> begins_;
    std::deque<std::pair<TimePoint, std::shared_ptr<Begin>>> proposed_;
    //! Who waits for an end that is proposed, by turn.
    std::unordered_map<std::string, Replier> finishes_;
    TurnPlacement placement_;
    RequestLimiter limiter_;
    PendingUpdates pendingUpdates_;
    Counter &deferredUpdates_;
    Histogram &placeSeconds_;
    Counter &takeovers_;
    Counter &exhaustedTurns_;
    Counter &unknownTurns_;
    Counter &limited_;
    Counter &overloaded_;
    TurnBeginStatus lastApplied_ = TurnBeginStatus::Granted;
    //! What a ledger VM said when it last asked to join, which members do too.
    struct JoinRequester {
        TimePoint at {};
        LogIndex completeUpTo = 0;
        std::string failureDomain;
    };
    std::unordered_map<VmName, JoinRequester> joinRequesters_;
    //! VMs whose record is proposed and not decided yet.
    std::set<VmName> proposedVms_;
    //! Entries that want to hear at once if this VM becomes the leader.
    std::vector<Watcher> watchers_;
    DocumentBuckets documentBuckets_;
    //! Of the document in the buckets.
    std::uint64_t offeredVersion_ = 0;
    //! The last one that was to be put there, readable or not.
    std::uint64_t triedVersion_ = 0;
    BackendList backends_;
    BackendBuckets listBuckets_;
    PresenceTable presence_;
    TimePoint listReadAt_ {};
    TimePoint nextPlan_ {};
    bool wasLeader_ = false;
    TimePoint leadingSince_ {};
    VmName loggedLeader_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LEDGER_SERVICE_HPP_INCLUDED
