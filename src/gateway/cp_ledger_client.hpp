#ifndef CARDAMOMPOST_CP_LEDGER_CLIENT_HPP_INCLUDED
#define CARDAMOMPOST_CP_LEDGER_CLIENT_HPP_INCLUDED

#include "cp_document_staleness.hpp"
#include "cp_gateway_settings.hpp"
#include "cp_peer_clients.hpp"

#include <cardamompost/ledger/cp_content_replica.hpp>
#include <cardamompost/ledger/cp_relay_selector.hpp>
#include <cardamompost/observe/cp_event_log.hpp>
#include <cardamompost/observe/cp_metrics.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <array>

namespace cardamompost
{

//! Why a begin ended without the ledger's decision.
enum class BeginFailure {
    None,
    //! No leader answered within the limit.
    NoLeader,
    //! The turn may have run, and no quorum confirmed its reservation before the caller's deadline.
    NotCommitted,
    CallerDisconnected,
    ShuttingDown,
};

inline constexpr std::array beginFailureNames {
    Named {BeginFailure::None, "none"},
    Named {BeginFailure::NoLeader, "no leader answered"},
    Named {BeginFailure::NotCommitted, "no quorum before the deadline"},
    Named {BeginFailure::CallerDisconnected, "the caller left"},
    Named {BeginFailure::ShuttingDown, "the entry is shutting down"},
};

//! The begin of a turn at the ledger, from the first attempt to the quorum's decision.
class PendingBegin
{
public:
    explicit PendingBegin(boost::asio::io_context &io)
        : changed_(io, boost::asio::steady_timer::time_point::max())
    {
    }

    //! The turn may be sent to a backend server; its output must be held back until isGranted().
    [[nodiscard]] bool isTentative() const
    {
        return isTentative_;
    }
    [[nodiscard]] bool isFinal() const
    {
        return isFinal_;
    }
    [[nodiscard]] bool isGranted() const
    {
        return isFinal_ && status_ == TurnBeginStatus::Granted;
    }
    //! Valid once isFinal(); NotLeader when the ledger has not decided.
    [[nodiscard]] TurnBeginStatus status() const
    {
        return status_;
    }
    //! Valid once isFinal().
    [[nodiscard]] BeginFailure failure() const
    {
        return failure_;
    }
    //! Inputs and outputs of the preceding turns; valid once isTentative().
    [[nodiscard]] const std::string &history() const
    {
        return history_;
    }
    //! The backend server chosen by the leader; empty when the entry has to choose. Valid once isTentative().
    [[nodiscard]] const std::string &backend() const
    {
        return backend_;
    }
    //! Another engine whose cache is expected to have the prompt; empty if there is none. Valid once isTentative().
    [[nodiscard]] const std::string &promptSource() const
    {
        return promptSource_;
    }
    //! Recorded version of the turn's stream; valid once isGranted().
    [[nodiscard]] const ServerVersion &recordedVersion() const
    {
        return recordedVersion_;
    }
    //! Valid once status() is Limited, Overloaded, NotAdmitted or IncompleteHistory.
    [[nodiscard]] Milliseconds retryAfter() const
    {
        return retryAfter_;
    }
    boost::asio::awaitable<void> waitUntilTentative();
    boost::asio::awaitable<void> waitUntilFinal();
    //! Ends the begin without a decision, unless it has ended.
    void fail(BeginFailure failure);

private:
    friend class LedgerClient;
    //! Resumes the coroutines that wait for a change of the status.
    void notifyWaiters();

    boost::asio::steady_timer changed_;
    bool isTentative_ = false;
    bool isFinal_ = false;
    TurnBeginStatus status_ = TurnBeginStatus::NotLeader;
    BeginFailure failure_ = BeginFailure::None;
    std::string history_;
    std::string backend_;
    std::string promptSource_;
    ServerVersion recordedVersion_;
    Milliseconds retryAfter_ {0};
};

//! An entry's client of the ledger: sends requests to the leader, retries them, and polls a relay for updates, which
//! also name the leader.
//!
//! A leader that does not answer in time is kept: only a later leader replaces it, and only a failed connection or its
//! own reply that it does not lead makes the entry look for another one. A slow leader thus gets no more requests than
//! before.
class LedgerClient
{
public:
    struct Parts {
        boost::asio::io_context &io;
        const GatewaySettings &settings;
        PeerClients &peers;
        EventLog &log;
        MetricRegistry &metrics;
    };
    using UpdateHandler = std::function<void(const UpdateReply &update)>;

    explicit LedgerClient(Parts parts);

    //! Starts polling for updates; the handler is called with each reply of a relay.
    void start(UpdateHandler onUpdate);
    void stop();

    //! \param deadline  the caller's deadline, at which the begin fails
    //! \param leaderTimeout  time without an answer of a leader after which the begin fails, unless it is tentative: a
    //! turn that may have run is not given up while it can still be granted
    std::shared_ptr<PendingBegin> begin(TurnBegin begin, TimePoint deadline, Milliseconds leaderTimeout);
    //! \returns whether a quorum has made the end of the turn durable before the deadline
    boost::asio::awaitable<bool> finish(TurnFinish finish, TimePoint deadline);
    //! Checks a request against its account's limit; nothing when no leader has answered before the deadline.
    boost::asio::awaitable<std::optional<AdmitReply>> admit(AdmitRequest request, TimePoint deadline);
    //! Records the version of a stream. \returns whether the record is durable before the deadline
    boost::asio::awaitable<bool> recordStreamVersion(StreamVersion record, TimePoint deadline);
    //! The reply names the recorded version, if there is one; nothing when no leader has answered before the deadline.
    boost::asio::awaitable<std::optional<StreamVersionReply>> findStreamVersion(std::string stream, TimePoint deadline);
    //! Reports or asks about a request under which servers have ended; nothing when no leader has answered before the
    //! deadline.
    boost::asio::awaitable<std::optional<SuspectReply>> requestSuspect(SuspectRequest request, TimePoint deadline);
    //! No request waits for the leader beyond this time.
    void setLatestDeadline(TimePoint deadline)
    {
        latestDeadline_ = deadline;
    }
    //! Number of requests, apart from begins, that wait for the leader. Some report what callers don't wait for.
    [[nodiscard]] std::size_t pendingRequests() const
    {
        return static_cast<std::size_t>(pendingRequests_.use_count() - 1);
    }
    //! Announces to some ledger VMs whether this entry is ready, or else still accepts requests.
    void announcePresence(bool isReady, bool isAccepting, std::uint16_t loadPermille);

    //! Sets the content that the next update request describes.
    void setHeldContent(const ContentReplica &content);
    //! Number of ledger VMs that receive this entry's heartbeats.
    [[nodiscard]] std::size_t heartbeatTargetCount() const
    {
        return heartbeatTargets_.size();
    }
    //! Time since a leader was last heard from, by this entry's relay or directly.
    [[nodiscard]] Milliseconds updateAge() const;
    [[nodiscard]] const DocumentStaleness &staleness() const
    {
        return staleness_;
    }
    //! Beyond this age an entry's data counts as stale.
    static constexpr Milliseconds maxUpdateAge {1000};
    //! A recent reply of the leader confirms that this entry's document is the newest.
    [[nodiscard]] bool hasNewestDocument() const
    {
        return updateAge() <= maxUpdateAge && !staleness_.isStale();
    }
    [[nodiscard]] bool hasLeader() const
    {
        return hasLeader_;
    }
    void setSeeds(std::vector<VmName> seeds);

private:
    struct BeginAttempt {
        TurnBegin begin;
        TimePoint deadline;
        Milliseconds leaderTimeout {0};
        //! When a leader last answered, or else the start.
        TimePoint answeredAt {};
        std::shared_ptr<PendingBegin> pending;
        //! The leader has queued the turn until a backend server has a free slot.
        bool isQueued = false;
    };

    //! Defines when a request with a single reply is retried.
    template<typename Reply>
    struct RetryPolicy {
        bool (*isFinal)(const Reply &reply);
        //! Reason logged when a reply is not final.
        const char *failureReason;
        //! Null when retries aren't counted.
        Counter *retries;
    };

    //! Sends the request to the leader until a reply is final; nothing when none arrived before the deadline.
    template<typename Reply>
    boost::asio::awaitable<std::optional<Reply>> requestFromLeader(FrameBody request, TimePoint deadline,
                                                                   RetryPolicy<Reply> policy);
    boost::asio::awaitable<std::optional<StreamVersionReply>> requestStreamVersion(StreamVersionRequest request,
                                                                                   TimePoint deadline);
    void sendBegin(const std::shared_ptr<BeginAttempt> &attempt);
    void onBeginReply(const std::shared_ptr<BeginAttempt> &attempt, const VmName &peer, Result<FrameBody> reply,
                      bool isLast);
    void resendLater(const std::shared_ptr<BeginAttempt> &attempt, Milliseconds minPause = Milliseconds(0));
    boost::asio::awaitable<void> pollUpdates();
    void applyUpdate(const VmName &relay, const UpdateReply &update);
    //! Keeps a request pending at another relay, which answers as soon as it hears of a later leader: the leader and
    //! this entry's relay may fail together.
    void watchStandby();
    void suspectRelay(const VmName &relay, const std::string &reason);
    //! Queries ledger VMs, a few at a time, until one names a leader.
    boost::asio::awaitable<void> search();
    void queryLeader(const VmName &peer);
    //! Logs a search that takes long, with the known ledger VMs.
    void logSearch();
    //! Adopts the leader that a ledger VM has heard from, unless the one known is as recent.
    void recordLeader(const UpdateReply &update);
    void dropLeader(const VmName &peer, const std::string &reason);
    //! Handles a request that the leader did not answer as expected.
    void handleFailure(const VmName &peer, const Result<FrameBody> &reply, const std::string &reason);
    //! The VMs that the next round of a search queries.
    [[nodiscard]] std::vector<VmName> nextSearchTargets();
    void setPeers(std::vector<LedgerPeer> peers);

    Parts parts_;
    std::vector<VmName> seeds_;
    //! All ledger VMs, members or not, as reported by a leader or, during a search, by other VMs.
    LedgerPeers ledgerVms_;
    std::vector<VmName> heartbeatTargets_;
    RelaySelector relays_;
    //! Empty during a search.
    VmName leader_;
    Term leaderTerm_ = 0;
    //! The leader that was dropped last, and when.
    VmName droppedLeader_;
    TimePoint droppedAt_ {};
    bool isSearching_ = false;
    //! A request is pending at the standby relay.
    bool isWatching_ = false;
    //! Rounds of searches so far; selects the VMs to query next.
    std::size_t searchRounds_ = 0;
    TimePoint searchingSince_ {};
    TimePoint lastSearchLogAt_ {};
    boost::asio::steady_timer searchTimer_;
    UpdateRequest updateRequest_;
    DocumentStaleness staleness_;
    //! When the leader was first known to have a newer document or list; empty while this entry is up to date.
    std::optional<TimePoint> staleSince_;
    UpdateHandler onUpdate_;
    TimePoint lastUpdateAt_ {};
    TimePoint latestDeadline_ = TimePoint::max();
    //! Each pending request holds a copy.
    std::shared_ptr<const bool> pendingRequests_ = std::make_shared<const bool>();
    bool isStopped_ = false;
    bool hasLeader_ = false;
    Counter &beginRetries_;
    Counter &slowLeaders_;
    Counter &lostLeaders_;
    Counter &leaderSwitches_;
    Counter &finishRetries_;
    Counter &relayFailures_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LEDGER_CLIENT_HPP_INCLUDED
