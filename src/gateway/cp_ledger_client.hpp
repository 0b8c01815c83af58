#ifndef CARDAMOMPOST_CP_LEDGER_CLIENT_HPP_INCLUDED
#define CARDAMOMPOST_CP_LEDGER_CLIENT_HPP_INCLUDED

#include "cp_document_staleness.hpp"
#include "cp_gateway_settings.hpp"
#include "cp_peer_clients.hpp"

#include <cardamompost/ledger/cp_content_replica.hpp>
#include <cardamompost/observe/cp_event_log.hpp>
#include <cardamompost/observe/cp_metrics.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <set>

namespace cardamompost
{

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
    //! Valid once isFinal(); NotLeader when no quorum answered before the deadline.
    [[nodiscard]] TurnBeginStatus status() const
    {
        return status_;
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
    //! Valid once status() is Limited or Overloaded.
    [[nodiscard]] Milliseconds retryAfter() const
    {
        return retryAfter_;
    }
    boost::asio::awaitable<void> waitUntilTentative();
    boost::asio::awaitable<void> waitUntilFinal();

private:
    friend class LedgerClient;
    //! Resumes the coroutines that wait for a change of the status.
    void notifyWaiters();

    boost::asio::steady_timer changed_;
    bool isTentative_ = false;
    bool isFinal_ = false;
    TurnBeginStatus status_ = TurnBeginStatus::NotLeader;
    std::string history_;
    std::string backend_;
    Milliseconds retryAfter_ {0};
};

//! An entry's client of the ledger: finds the leader, retries requests and polls for updates.
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

    //! Starts polling for updates; the handler is called with each reply of a leader.
    void start(UpdateHandler onUpdate);
    void stop();

    //! \param deadline  when retries end and the begin fails
    std::shared_ptr<PendingBegin> begin(TurnBegin begin, TimePoint deadline);
    //! \returns whether a quorum has made the end of the turn durable before the deadline
    boost::asio::awaitable<bool> finish(TurnFinish finish, TimePoint deadline);
    //! Checks a request against its account's limit; nothing when no leader has answered before the deadline.
    boost::asio::awaitable<std::optional<AdmitReply>> admit(AdmitRequest request, TimePoint deadline);
    //! Announces to some ledger VMs whether this entry accepts requests.
    void announcePresence(bool isReady);

    //! Sets the content that the next update request describes.
    void setHeldContent(const ContentReplica &content);
    //! Number of ledger VMs that receive this entry's heartbeats.
    [[nodiscard]] std::size_t heartbeatTargetCount() const
    {
        return heartbeatTargets_.size();
    }
    //! Time since the last reply of a leader.
    [[nodiscard]] Milliseconds updateAge() const;
    [[nodiscard]] const DocumentStaleness &staleness() const
    {
        return staleness_;
    }
    //! Updates arrive at least twice a second; beyond this age an entry's data counts as stale.
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
    void sendBegin(const std::shared_ptr<BeginAttempt> &attempt);
    void onBeginReply(const std::shared_ptr<BeginAttempt> &attempt, const VmName &peer, Result<FrameBody> reply,
                      bool isLast);
    void resendLater(const std::shared_ptr<BeginAttempt> &attempt);
    boost::asio::awaitable<void> pollUpdates();
    void applyUpdate(const UpdateReply &update);
    //! Queries several ledger VMs at a time until one reports that it is the leader.
    boost::asio::awaitable<void> search();
    void queryLeader(const VmName &peer);
    //! Logs a search that takes long, with the known ledger VMs.
    void logSearch();
    //! Keeps a request pending at each voter except the leader; the voter answers as soon as it becomes the leader.
    void watchVoters();
    void watch(const VmName &peer);
    void adoptLeader(const VmName &peer, const UpdateReply &update);
    void dropLeader(const VmName &peer, const std::string &reason);
    //! Handles a request that the leader did not answer as expected. After a timeout, the leader is kept if it confirms
    //! that it still leads.
    void suspectLeader(const VmName &peer, const Result<FrameBody> &reply, const std::string &reason);
    //! The VMs that the next round of a search queries.
    [[nodiscard]] std::vector<VmName> nextSearchTargets();
    [[nodiscard]] std::set<VmName> knownLedgerVms() const;
    void setPeers(std::vector<LedgerPeer> peers);

    Parts parts_;
    std::vector<VmName> seeds_;
    //! All ledger VMs, members or not, as reported by a leader or, during a search, by other VMs.
    LedgerPeers ledgerVms_;
    std::vector<VmName> heartbeatTargets_;
    //! The voters, as last reported by a leader.
    std::vector<VmName> voters_;
    //! Empty during a search.
    VmName leader_;
    Term leaderTerm_ = 0;
    bool isSearching_ = false;
    //! A check whether the leader still leads is in flight.
    bool isCheckingLeader_ = false;
    //! Rounds of searches so far; selects the non-voters to query next.
    std::size_t searchRounds_ = 0;
    TimePoint searchingSince_ {};
    TimePoint lastSearchLogAt_ {};
    boost::asio::steady_timer searchTimer_;
    //! Voters with a pending watch request.
    std::set<VmName> watched_;
    UpdateRequest updateRequest_;
    DocumentStaleness staleness_;
    //! When the leader was first known to have a newer document or list; empty while this entry is up to date.
    std::optional<TimePoint> staleSince_;
    UpdateHandler onUpdate_;
    TimePoint lastUpdateAt_ {};
    bool isStopped_ = false;
    bool hasLeader_ = false;
    Counter &beginRetries_;
    Counter &slowLeaders_;
    Counter &lostLeaders_;
    Counter &leaderSwitches_;
    Counter &finishRetries_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LEDGER_CLIENT_HPP_INCLUDED
