#ifndef CARDAMOMPOST_CP_LEDGER_CLIENT_HPP_INCLUDED
#define CARDAMOMPOST_CP_LEDGER_CLIENT_HPP_INCLUDED

#include "cp_document_staleness.hpp"
#include "cp_gateway_settings.hpp"
#include "cp_peer_clients.hpp"

#include <cardamompost/observe/cp_event_log.hpp>
#include <cardamompost/observe/cp_metrics.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <set>

namespace cardamompost
{

//! A turn's begin at the ledger, from the first try to what a quorum has decided.
class PendingBegin
{
public:
    explicit PendingBegin(boost::asio::io_context &io)
        : changed_(io, boost::asio::steady_timer::time_point::max())
    {
    }

    //! The turn may be sent; nothing may be handed out before isGranted().
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
    //! Only once isFinal(); NotLeader when no quorum answered in time.
    [[nodiscard]] TurnBeginStatus status() const
    {
        return status_;
    }
    //! Inputs and outputs of the turns that are continued; once isTentative().
    [[nodiscard]] const std::string &history() const
    {
        return history_;
    }
    //! The backend server that has a place for the turn; empty when the entry has to choose. Once isTentative().
    [[nodiscard]] const std::string &backend() const
    {
        return backend_;
    }
    //! When to come back; once status() is Limited.
    [[nodiscard]] Milliseconds retryAfter() const
    {
        return retryAfter_;
    }
    boost::asio::awaitable<void> untilTentative();
    boost::asio::awaitable<void> untilFinal();

private:
    friend class LedgerClient;
    void signal();

    boost::asio::steady_timer changed_;
    bool isTentative_ = false;
    bool isFinal_ = false;
    TurnBeginStatus status_ = TurnBeginStatus::NotLeader;
    std::string history_;
    std::string backend_;
    Milliseconds retryAfter_ {0};
};

//! An entry's way to the ledger: finds the leader, tries again elsewhere, and takes the news.
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

    //! Begins to take news; the handler gets every reply of a leader.
    void start(UpdateHandler onUpdateRequest);
    void stop();

    //! \param until  when the caller has no use for a grant any more
    std::shared_ptr<PendingBegin> begin(TurnBegin begin, TimePoint until);
    //! True once the end is durable; false when no quorum has confirmed it in time.
    boost::asio::awaitable<bool> finish(TurnFinish finish, TimePoint until);
    //! Asks whether a request is within its account's limit; nothing when no leader has answered in time.
    boost::asio::awaitable<std::optional<AdmitReply>> admit(AdmitRequest request, TimePoint until);
    //! Says to all members whether this entry takes requests.
    void tellPresence(bool isReady);

    //! What an entry holds, as the next question for news says it.
    struct Known {
        std::uint64_t documentVersion = 0;
        BackendListVersion list;
        DocumentBuckets::Digests documentDigests;
        BackendBuckets::Digests listDigests;
    };
    void setKnown(Known known);
    //! Ledger VMs that are known.
    [[nodiscard]] std::size_t memberCount() const
    {
        return everyone().size();
    }
    //! Time since a leader last answered.
    [[nodiscard]] Milliseconds updateAge() const;
    [[nodiscard]] const DocumentStaleness &staleness() const
    {
        return staleness_;
    }
    //! News come at least twice a second; what is decided by older ones may be wrong by now.
    static constexpr Milliseconds maxUpdateAge {1000};
    //! A leader has just said so: the document that this entry goes by is the newest one.
    [[nodiscard]] bool hasNewestDocument() const
    {
        return updateAge() <= maxUpdateAge && !staleness_.isStale();
    }
    [[nodiscard]] bool hasLeader() const
    {
        return hasLeader_;
    }
    void setSeeds(std::vector<VmName> seeds)
    {
        seeds_ = std::move(seeds);
    }

private:
    struct BeginTry {
        TurnBegin begin;
        TimePoint until;
        std::shared_ptr<PendingBegin> pending;
        //! The leader has said that the turn waits for a place.
        bool isQueued = false;
    };

    //! How a request that has one reply is asked again.
    template<typename Reply>
    struct Asking {
        bool (*isFinal)(const Reply &reply);
        //! Why the leader is doubted after any other reply.
        const char *otherwise;
        //! Null when nobody counts them.
        Counter *retries;
    };

    //! Asks the leader until a reply is final; nothing when none came in time.
    template<typename Reply>
    boost::asio::awaitable<std::optional<Reply>> askLeader(FrameBody request, TimePoint until, Asking<Reply> asking);
    void sendBegin(const std::shared_ptr<BeginTry> &attempt);
    void onBeginReply(const std::shared_ptr<BeginTry> &attempt, const VmName &target, Result<FrameBody> reply,
                      bool isLast);
    void resendLater(const std::shared_ptr<BeginTry> &attempt);
    boost::asio::awaitable<void> readUpdates();
    void applyUpdate(const UpdateReply &update);
    //! Asks all members at once, again and again, until one says that it leads.
    boost::asio::awaitable<void> search();
    void askWhoLeads(const VmName &peer);
    //! Says in the logs whom this entry asks while it finds no leader.
    void logSearch();
    //! Keeps a question at each voter but the leader that is answered at once when that voter becomes the leader.
    void watchVoters();
    void watch(const VmName &peer);
    void follow(const VmName &peer, const UpdateReply &update);
    void loseLeader(const VmName &asked, const std::string &reason);
    //! A request to the leader has no reply in time: it is lost unless it still says that it leads.
    void suspectLeader(const VmName &asked, const Result<FrameBody> &reply, const std::string &reason);
    //! Whom to ask next for the leader.
    [[nodiscard]] std::vector<VmName> nextToAsk();
    [[nodiscard]] std::set<VmName> everyone() const;

    Parts parts_;
    std::vector<VmName> seeds_;
    std::vector<VmName> members_;
    //! Members that may come to lead, as the last leader named them.
    std::vector<VmName> voters_;
    //! Empty while it is searched for.
    VmName leader_;
    Term leaderTerm_ = 0;
    bool isSearching_ = false;
    //! The leader is being asked whether it still leads.
    bool isSuspected_ = false;
    //! Searches so far; each asks others of those that are many.
    std::size_t searches_ = 0;
    TimePoint searchingSince_ {};
    TimePoint lastSearchLog_ {};
    boost::asio::steady_timer found_;
    //! Voters with a watch() under way.
    std::set<VmName> watched_;
    UpdateRequest known_;
    DocumentStaleness staleness_;
    //! Since when the leader has a newer document or list; nothing when this entry holds the newest.
    std::optional<TimePoint> lacksSince_;
    UpdateHandler onUpdate_;
    TimePoint lastUpdate_ {};
    bool isStopped_ = false;
    bool hasLeader_ = false;
    Counter &beginRetries_;
    Counter &slow_;
    Counter &lost_;
    Counter &toldBySuccessor_;
    Counter &finishRetries_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LEDGER_CLIENT_HPP_INCLUDED
