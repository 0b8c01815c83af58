#ifndef CARDAMOMPOST_CP_UPDATE_RELAY_HPP_INCLUDED
#define CARDAMOMPOST_CP_UPDATE_RELAY_HPP_INCLUDED

#include <cardamompost/ledger/cp_content_replica.hpp>
#include <cardamompost/ledger/cp_update_queue.hpp>

#include <functional>
#include <limits>

namespace cardamompost
{

//! Distributes the route document and the list of backend servers from the ledger's leader to the entries.
//!
//! Every ledger VM has one. At the leader it holds the published content; elsewhere a copy, which it keeps up to date
//! by polling the leader while entries poll it. Each reply carries the time since the leader was heard from, so that
//! content does not seem newer after it has passed a relay. The leader's work grows with the number of relays, and a
//! relay's with its share of the entries. Thread-safety: none. Time is an argument; no input or output.
template<typename Replier>
class UpdateRelay
{
public:
    using Queue = UpdateQueue<Replier>;
    using Send = std::function<void(const Replier &replier, UpdateReply reply)>;

    //! How long the leader holds a relay's request if there is nothing new.
    static constexpr Milliseconds feedWait {200};
    //! A relay stops polling the leader when it has had no request for this long.
    static constexpr Milliseconds idleAfter {5000};

    //! \param self  name of this VM
    //! \param send  sends a reply
    UpdateRelay(VmName self, typename Queue::Limits limits, Send send)
        : self_(std::move(self))
        , send_(std::move(send))
        , queue_(limits)
    {
    }

    //! Starts to serve published content as the leader of a term.
    void lead(Term term, TimePoint now)
    {
        isLeading_ = true;
        noteLeader(self_, term, now);
    }
    //! Stops to do so.
    void stopLeading()
    {
        isLeading_ = false;
    }
    //! Records the notice of a leader. It brings no content, so this copy does not count as recent for it.
    void noteLeader(const VmName &leader, Term term, TimePoint now)
    {
        if (term < term_) {
            return;
        }
        isLeading_ = isLeading_ && leader == self_;
        leader_ = leader;
        term_ = term;
        serve(now);
    }

    //! At the leader: sets the ledger VMs, members of the group or not.
    void setPeers(LedgerPeers peers)
    {
        peers_ = std::move(peers);
    }
    //! The ledger VMs are known from a leader.
    [[nodiscard]] bool hasPeers() const
    {
        return !peers_.list().empty();
    }
    //! Sets VMs that may know the leader, for replies while the ledger VMs are not known.
    void setHints(LedgerPeers hints)
    {
        hints_ = std::move(hints);
    }
    //! At the leader: sets the newest committed version, which may not have been published.
    void setNewestDocument(std::uint64_t version)
    {
        newestDocument_ = std::max(newestDocument_, version);
    }
    //! At the leader: makes a document the current one.
    void publishDocument(const RouteDocument &document, TimePoint now)
    {
        content_.setDocument(document);
        setNewestDocument(document.version);
        serve(now);
    }
    //! At the leader: makes a newly read list the current one. \returns what has changed
    BackendChanges publishList(std::vector<BackendServer> servers, TimePoint now)
    {
        listReadAt_ = now;
        BackendChanges changes = content_.setList(std::move(servers), term_);
        serve(now);
        return changes;
    }

    //! At the leader: makes the current list of suspects known.
    void publishSuspects(const SuspectList &suspects, TimePoint now)
    {
        content_.setSuspects(suspects);
        serve(now);
    }

    //! This VM has to poll the leader, whose name is given by the caller.
    [[nodiscard]] bool needsFeed(TimePoint now) const
    {
        return !isLeading_ && (isFeedRequired_ || (lastRequestAt_ && now - *lastRequestAt_ < idleAfter));
    }
    //! Keeps the copy up to date even while no entry polls this VM, as on those that may become the leader.
    void requireFeed(bool isRequired)
    {
        isFeedRequired_ = isRequired;
    }
    //! The next request to the leader.
    [[nodiscard]] UpdateRequest feedRequest(TimePoint now) const
    {
        UpdateRequest request;
        content_.describe(request);
        request.peersDigest = peers_.digest();
        request.knownTerm = term_;
        request.staleMs = staleSince_ ? static_cast<std::uint32_t>(toMs(now - *staleSince_)) : 0;
        request.waitMs = static_cast<std::uint32_t>(feedWait.count());
        return request;
    }
    //! Applies a reply to a feedRequest(). \returns false if the sender does not lead
    bool onFeedReply(const VmName &sender, const UpdateReply &reply, TimePoint now)
    {
        if (!reply.isLeader || reply.term < term_ || isLeading_) {
            return false;
        }
        if (reply.peersDigest != peers_.digest()) {
            peers_ = LedgerPeers(reply.peers);
        }
        newestDocument_ = std::max(newestDocument_, reply.documentVersion);
        listReadAt_ = now - Milliseconds(reply.listAgeMs);
        content_.apply(reply);
        const bool isStale = content_.documentVersion() < newestDocument_ || content_.catalog().version() < reply.list;
        if (!isStale) {
            staleSince_.reset();
        } else if (!staleSince_) {
            staleSince_ = now;
        }
        heardAt_ = now;
        noteLeader(sender, reply.term, now);
        return true;
    }

    //! Handles a request of an entry or of another relay. One that may not wait is answered at once, without content.
    void onRequest(UpdateRequest request, Replier replier, TimePoint now)
    {
        if (request.waitMs == 0) {
            reply(request, replier, false, now);
            return;
        }
        if (request.wantsContent) {
            lastRequestAt_ = now;
        }
        // An update may have to wait for bandwidth.
        const Milliseconds wait(request.waitMs);
        const Milliseconds maxWait = hasNewContent(request) ? std::max(minUpdateWait, wait) : wait;
        queue_.add(std::move(request), std::move(replier), now, maxWait);
        serve(now);
    }
    //! Answers the pending requests for which there is an update or whose time has passed.
    void serve(TimePoint now)
    {
        if (queue_.isEmpty()) {
            return;
        }
        queue_.serve(
            now, [this](const UpdateRequest &request) { return isDue(request); },
            [&](const typename Queue::PendingRequest &pending) {
                return reply(pending.request, pending.replier, true, now);
            });
        for (const typename Queue::PendingRequest &pending : queue_.takeExpired(now)) {
            deferred_ += hasNewContent(pending.request) ? 1 : 0;
            reply(pending.request, pending.replier, false, now);
        }
    }
    //! Answers all pending requests.
    void stop(TimePoint now)
    {
        for (const typename Queue::PendingRequest &pending : queue_.takeAll()) {
            reply(pending.request, pending.replier, false, now);
        }
    }

    [[nodiscard]] bool hasPendingRequests() const
    {
        return !queue_.isEmpty();
    }
    //! The leader of the latest term known; empty if there was none.
    [[nodiscard]] const VmName &leader() const
    {
        return leader_;
    }
    [[nodiscard]] Term term() const
    {
        return term_;
    }
    [[nodiscard]] const ContentReplica &content() const
    {
        return content_;
    }
    //! When the list was read, as far as known.
    [[nodiscard]] TimePoint listReadAt() const
    {
        return listReadAt_;
    }
    //! Requests answered without their update, since there was no bandwidth for it in time.
    [[nodiscard]] std::uint64_t deferred() const
    {
        return deferred_;
    }

private:
    // How long a request with an update waits for bandwidth at least.
    static constexpr Milliseconds minUpdateWait {300};

    [[nodiscard]] bool hasNewContent(const UpdateRequest &request) const
    {
        return request.wantsContent
            && (request.documentVersion < content_.documentVersion() || request.list < content_.catalog().version()
                || request.suspectsVersion < content_.suspects().version());
    }
    [[nodiscard]] bool isDue(const UpdateRequest &request) const
    {
        return hasNewContent(request) || (term_ > request.knownTerm && !leader_.empty());
    }
    //! \returns the bytes of content sent
    std::size_t reply(const UpdateRequest &request, const Replier &replier, bool withContent, TimePoint now)
    {
        UpdateReply reply;
        reply.isLeader = isLeading_;
        reply.leader = leader_;
        reply.term = term_;
        reply.ageMs = ageMs(now);
        const LedgerPeers &peers = hasPeers() ? peers_ : hints_;
        reply.peersDigest = peers.digest();
        if (request.peersDigest != reply.peersDigest) {
            reply.peers = peers.list();
        }
        reply.documentVersion = newestDocument_;
        reply.list = content_.catalog().version();
        reply.listAgeMs = static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(toMs(now - listReadAt_), 0, std::numeric_limits<std::uint32_t>::max()));
        const std::size_t bytes = withContent && request.wantsContent ? content_.addTo(reply, request) : 0;
        send_(replier, std::move(reply));
        return bytes;
    }
    [[nodiscard]] std::uint32_t ageMs(TimePoint now) const
    {
        if (isLeading_) {
            return 0;
        }
        const std::int64_t age = heardAt_ ? toMs(now - *heardAt_) : std::numeric_limits<std::uint32_t>::max();
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, std::numeric_limits<std::uint32_t>::max()));
    }

    VmName self_;
    Send send_;
    Queue queue_;
    ContentReplica content_;
    LedgerPeers peers_;
    LedgerPeers hints_;
    bool isLeading_ = false;
    bool isFeedRequired_ = false;
    VmName leader_;
    Term term_ = 0;
    //! When the leader last answered a request of this VM.
    std::optional<TimePoint> heardAt_;
    std::uint64_t newestDocument_ = 0;
    TimePoint listReadAt_ {};
    //! When the leader was first known to have newer content; empty while this VM is up to date.
    std::optional<TimePoint> staleSince_;
    std::optional<TimePoint> lastRequestAt_;
    std::uint64_t deferred_ = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_UPDATE_RELAY_HPP_INCLUDED
