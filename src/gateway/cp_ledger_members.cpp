#include "cp_ledger_service.hpp"

#include <fmt/ranges.h>

namespace cardamompost
{

namespace
{

constexpr Milliseconds joinInterval {500};
// Shorter than joinInterval, since a VM without data reduces redundancy until it has joined.
constexpr Milliseconds uninitializedJoinInterval {120};
constexpr Milliseconds joinTimeout {400};
constexpr Milliseconds planInterval {200};
// Short enough that one lost message doesn't exceed PresenceTable::unreachableAfter.
constexpr Milliseconds presenceInterval {250};
// A member silent for this long may be replaced by another VM.
constexpr Milliseconds memberLossTimeout {1500};
// A VM outside the group counts as live if its last join request is at most this old.
constexpr Milliseconds joinRequestMaxAge {2500};
// A new leader waits for this long before it changes the membership, so that members have time to contact it.
constexpr Milliseconds membershipGracePeriod {2000};
// A VM that has sent no join request for this long, although it sends one every joinInterval, doesn't know this leader.
constexpr Milliseconds silentPeerTimeout {1200};
// Shorter searches are part of an ordinary leader election.
constexpr Milliseconds minLoggedSearch {1000};
constexpr Milliseconds searchLogInterval {2000};

} // namespace

std::vector<VmName> LedgerService::knownPeers() const
{
    std::set<VmName> known;
    const auto add = [&known](const auto &names) { known.insert(names.begin(), names.end()); };
    add(parts_.settings.seedPeers());
    add(discovery_.peers());
    if (driver_.isStarted()) {
        add(driver_.node().membership().voters);
    }
    known.erase(self_);
    return {known.begin(), known.end()};
}

std::vector<VmName> LedgerService::otherVoters() const
{
    std::vector<VmName> others;
    if (!driver_.isStarted()) {
        return others;
    }
    const Membership &members = driver_.node().membership();
    const VmName leader = driver_.leader();
    // Learners are excluded: they may lack the same data as this member.
    for (const VmName &voter : members.voters) {
        if (voter != self_ && voter != leader) {
            others.push_back(voter);
        }
    }
    if (!leader.empty() && leader != self_) {
        others.push_back(leader);
    }
    return others;
}

void LedgerService::joinPeriodically()
{
    requestJoin();
    joinTimer_.expires_after(driver_.isStarted() ? joinInterval : uninitializedJoinInterval);
    joinTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            joinPeriodically();
        }
    });
}

void LedgerService::announcePeriodically()
{
    const Presence presence {parts_.settings.vm, parts_.settings.directory.toString(), parts_.settings.failureDomain,
                             false, true};
    for (const VmName &other : servingVms()) {
        if (const auto client = parts_.peers.client(other)) {
            client->notify(presence);
        }
    }
    notifySilentPeers();
    presenceTimer_.expires_after(presenceInterval);
    presenceTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            announcePeriodically();
        }
    });
}

std::set<VmName> LedgerService::servingVms() const
{
    std::set<VmName> vms;
    const Membership members = driver_.isStarted() ? driver_.node().membership() : Membership {};
    for (const LedgerPeer &peer : servingPeers(state_.vms(), members)) {
        vms.insert(peer.peer);
    }
    vms.erase(self_);
    return vms;
}

std::set<VmName> LedgerService::allPeers() const
{
    std::set<VmName> peers = servingVms();
    for (VmName &peer : knownPeers()) {
        peers.insert(std::move(peer));
    }
    return peers;
}

void LedgerService::notify(const std::set<VmName> &peers)
{
    const LeaderNotice notice {groupView()};
    for (const VmName &peer : peers) {
        if (const auto client = parts_.peers.client(peer)) {
            client->notify(notice);
        }
    }
}

void LedgerService::notifyAllPeers()
{
    notify(allPeers());
}

void LedgerService::notifySilentPeers()
{
    if (!leads()) {
        return;
    }
    // After a full outage, a VM outside the group may know only seeds that aren't members, and so may the entries that
    // query it. The leader knows the VMs from its state and settings, and notifies those that send it no join requests.
    const TimePoint now = std::chrono::steady_clock::now();
    std::set<VmName> silent = allPeers();
    std::erase_if(silent, [&](const VmName &peer) {
        const auto requester = joinRequesters_.find(peer);
        return requester != joinRequesters_.end() && now - requester->second.requestedAt <= silentPeerTimeout;
    });
    notify(silent);
}

void LedgerService::onLeaderNotice(const LeaderNotice &notice)
{
    updates_.onLeaderNotice(notice.group.leader, notice.group.term);
    const bool isNewLeader = discovery_.recordNotice(notice.group);
    if (isNewLeader && driver_.leader().empty()) {
        parts_.log.info("ledger.called", {{"leader", notice.group.leader}, {"term", notice.group.term}});
        requestJoin();
    }
}

GroupView LedgerService::groupView() const
{
    GroupView group;
    group.leader = leader();
    group.documentVersion = state_.documentVersion();
    // Without a known leader: the seeds and the remembered peers.
    group.members = knownPeers();
    if (driver_.isStarted() && !driver_.leader().empty()) {
        const Membership &members = driver_.node().membership();
        group.term = driver_.node().term();
        group.members.assign(members.voters.begin(), members.voters.end());
    }
    return group;
}

void LedgerService::logSearch(const VmName &target, const std::vector<VmName> &peers)
{
    const TimePoint now = std::chrono::steady_clock::now();
    if (!leader().empty()) {
        searchingSince_.reset();
        return;
    }
    searchingSince_ = searchingSince_.value_or(now);
    if (now - *searchingSince_ < minLoggedSearch || now - lastSearchLogAt_ < searchLogInterval) {
        return;
    }
    lastSearchLogAt_ = now;
    parts_.log.warn("ledger.searching",
                    {{"for_ms", toMs(now - *searchingSince_)},
                     {"asked", target},
                     {"known", fmt::format("{}", fmt::join(peers, ","))}});
}

void LedgerService::requestJoin()
{
    // Join requests also report the address of members, and that VMs outside the group are live.
    const LogIndex completeUpTo = driver_.isStarted() && state_.texts().missing().empty() ? driver_.applied() : 0;
    const JoinRequest request {parts_.settings.vm, self_, completeUpTo, parts_.settings.failureDomain,
                               driver_.isStarted()};
    if (leads()) {
        onJoin(request, nullptr);
        return;
    }
    const std::vector<VmName> peers = knownPeers();
    VmName target = leader();
    if (target.empty() && !peers.empty()) {
        target = peers[nextJoinTarget_++ % peers.size()];
    }
    logSearch(target, peers);
    const auto client = target.empty() || target == self_ ? nullptr : parts_.peers.client(target);
    if (!client) {
        discovery_.forgetLeader();
        return;
    }
    client->request(request, joinTimeout, [this, target](Result<FrameBody> reply, bool) {
        const JoinReply *joined = reply ? std::get_if<JoinReply>(&reply.value()) : nullptr;
        // Handlers run on the client's strand, which this process's only thread serves.
        onJoinReply(target, joined != nullptr ? *joined : JoinReply {});
    });
}

void LedgerService::onJoinReply(const VmName &target, const JoinReply &reply)
{
    if (!reply.isConfirmed) {
        // A notice received meanwhile takes precedence over a failed or negative reply.
        const bool isSuperseded = discovery_.leader() != target && !discovery_.leader().empty();
        if (!isSuperseded) {
            discovery_.recordHint(reply.group.leader == target ? GroupView {} : reply.group);
        }
        return;
    }
    discovery_.recordConfirmed(reply.group);
    if (driver_.isStarted()) {
        return;
    }
    // A VM that lost its disk has lost the record of its votes, and must not follow a deposed leader. The confirmed
    // leader's term is at least as high as any that this VM voted in, since the quorum of such a term intersects the
    // confirming one.
    RaftStoredState uninitialized;
    uninitialized.hard = {reply.group.term, std::string(unknownVotedFor)};
    parts_.log.info("ledger.joining", {{"leader", reply.group.leader}, {"term", reply.group.term}});
    static_cast<void>(startMember(std::move(uninitialized)));
}

void LedgerService::onJoin(const JoinRequest &request, const Replier &replier)
{
    if (!leads()) {
        if (replier) {
            replier->reply(JoinReply {false, groupView()});
        }
        return;
    }
    joinRequesters_[request.peer]
        = {std::chrono::steady_clock::now(), request.completeUpTo, request.failureDomain, request.vm};
    const auto known = state_.vms().find(request.vm);
    const bool isKnown = known != state_.vms().end() && known->second.peer == request.peer
        && known->second.failureDomain == request.failureDomain;
    // Retries while the record is being committed don't propose it again.
    if (!isKnown && proposedVms_.insert(request.vm).second) {
        const bool isRetiring
            = known != state_.vms().end() && known->second.peer == request.peer && known->second.isRetiring;
        propose(LedgerVm {request.vm, request.peer, isRetiring, request.failureDomain},
                [this, vm = request.vm](bool) { proposedVms_.erase(vm); });
    }
    if (!replier) {
        return;
    }
    if (request.hasTerm && driver_.hasLease()) {
        // Requests come from all ledger VMs at intervals; a quorum round for each would grow with their number.
        replier->reply(JoinReply {true, groupView()});
        return;
    }
    driver_.confirmRead([this, replier](bool isConfirmed) { replier->reply(JoinReply {isConfirmed, groupView()}); });
}

void LedgerService::retire(const VmName &vm, OperationCallback done)
{
    confirmLeadership([this, vm, done = std::move(done)](OperationResult confirmed) {
        const auto found = state_.vms().find(vm);
        if (confirmed != OperationResult::Done || found == state_.vms().end()) {
            done(confirmed == OperationResult::Done ? OperationResult::NotFound : confirmed);
            return;
        }
        if (found->second.isRetiring) {
            done(OperationResult::Done);
            return;
        }
        std::size_t remaining = 0;
        for (const auto &[peer, candidate] : candidates()) {
            remaining += candidate.isLive && !candidate.isRetiring && peer != found->second.peer ? 1 : 0;
        }
        if (remaining < desiredVoters()) {
            parts_.log.warn("retire.refused", {{"target", vm}, {"left", remaining}, {"needed", desiredVoters()}});
            done(OperationResult::NotEnoughVms);
            return;
        }
        propose(LedgerVm {vm, found->second.peer, true, found->second.failureDomain},
                [this, vm, done](bool isCommitted) {
                    parts_.log.info("retire.accepted", {{"target", vm}, {"committed", isCommitted}});
                    done(isCommitted ? OperationResult::Done : OperationResult::Unknown);
                });
    });
}

void LedgerService::queryRetirement(const VmName &vm, OperationCallback done)
{
    confirmLeadership([this, vm, done = std::move(done)](OperationResult confirmed) {
        const auto found = state_.vms().find(vm);
        if (confirmed != OperationResult::Done || found == state_.vms().end()) {
            done(confirmed == OperationResult::Done ? OperationResult::NotFound : confirmed);
            return;
        }
        const Membership &members = driver_.node().membership();
        const VmName &peer = found->second.peer;
        const bool isMember
            = !isAddressTaken(found->second) && (members.voters.contains(peer) || members.learners.contains(peer));
        const bool isRemoved = !isMember && members.voters.size() >= desiredVoters();
        done(found->second.isRetiring && isRemoved ? OperationResult::Done : OperationResult::Running);
    });
}

bool LedgerService::isAddressTaken(const LedgerVm &record) const
{
    const auto requester = joinRequesters_.find(record.peer);
    return requester != joinRequesters_.end() && requester->second.vm != record.vm;
}

MemberCandidates LedgerService::candidates() const
{
    MemberCandidates result;
    const RaftNode &node = driver_.node();
    for (const auto &[vm, record] : state_.vms()) {
        if (isAddressTaken(record)) {
            continue;
        }
        const auto requester = joinRequesters_.find(record.peer);
        const auto [item, isFirst] = result.try_emplace(record.peer);
        MemberCandidate &candidate = item->second;
        candidate.isRetiring = record.isRetiring && (isFirst || candidate.isRetiring);
        if (requester != joinRequesters_.end()) {
            candidate.isLive = std::chrono::steady_clock::now() - requester->second.requestedAt < joinRequestMaxAge;
            candidate.failureDomain = requester->second.failureDomain;
        }
    }
    const Membership &members = node.membership();
    for (const auto *group : {&members.voters, &members.learners}) {
        for (const VmName &peer : *group) {
            MemberCandidate &candidate = result[peer];
            candidate.isLeader = peer == self_;
            candidate.isLive = candidate.isLeader || driver_.silenceOf(peer) < memberLossTimeout;
            // Snapshots hold no turn texts. A learner counts as caught up only once it has fetched them, or the loss of
            // another member could lose the texts for good.
            const auto requester = joinRequesters_.find(peer);
            const bool hasTexts
                = requester != joinRequesters_.end() && requester->second.completeUpTo >= node.log().snapshot().index;
            candidate.isCaughtUp = hasTexts && node.matchIndexOf(peer) >= node.commitIndex();
        }
    }
    return result;
}

void LedgerService::planMembers()
{
    const TimePoint now = std::chrono::steady_clock::now();
    if (!leads() || now < nextPlanAt_ || now - leadingSince_ < membershipGracePeriod) {
        return;
    }
    nextPlanAt_ = now + planInterval;
    const Membership &current = driver_.node().membership();
    const std::optional<Membership> next = planMembership(current, candidates(), desiredVoters());
    if (!next) {
        return;
    }
    const std::string before = current.encode();
    const Result<void> proposed = driver_.proposeMembership(*next);
    parts_.log.info("members.change", {{"from", before}, {"to", next->encode()}, {"proposed", proposed.has_value()}});
}

} // namespace cardamompost
