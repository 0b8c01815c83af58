#include "cp_ledger_service.hpp"

#include <fmt/ranges.h>

namespace cardamompost
{

namespace
{

constexpr Milliseconds joinInterval {500};
// A VM without a copy asks more often: until it has one, the next loss may be one too many.
constexpr Milliseconds blankJoinInterval {120};
constexpr Milliseconds joinTimeout {400};
constexpr Milliseconds planInterval {200};
// Often enough that a lost message makes nobody dark (PresenceTable::unreachableAfter).
constexpr Milliseconds tellInterval {250};
// A member that was silent for so long may be replaced, if there is another VM to take its place.
constexpr Milliseconds lostAfter {1500};
// A VM outside the group counts as live when it has asked to join within this time.
constexpr Milliseconds joinFreshFor {2500};
// A new leader has not heard from anybody yet; it judges nobody before this.
constexpr Milliseconds settlingTime {2000};
// A VM that asks every joinInterval and was not heard for so long does not know this leader.
constexpr Milliseconds callAfter {1200};
// Searches shorter than this are an ordinary change of leader.
constexpr Milliseconds longSearch {1000};
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

std::vector<VmName> LedgerService::otherMembers() const
{
    std::vector<VmName> others;
    if (!driver_.isStarted()) {
        return others;
    }
    const Membership &members = driver_.node().membership();
    const VmName leader = driver_.leader();
    // A learner may lack the same as this member.
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

void LedgerService::keepJoining()
{
    askToJoin();
    joinTimer_.expires_after(driver_.isStarted() ? joinInterval : blankJoinInterval);
    joinTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            keepJoining();
        }
    });
}

void LedgerService::keepTelling()
{
    const Presence presence {parts_.settings.vm, parts_.settings.directory.toString(), parts_.settings.failureDomain,
                             false, true};
    std::set<VmName> others;
    for (const auto &[vm, record] : state_.vms()) {
        others.insert(record.peer);
    }
    others.erase(self_);
    for (const VmName &other : others) {
        if (const auto client = parts_.peers.client(other)) {
            client->notify(presence);
        }
    }
    notifySilentPeers();
    tellTimer_.expires_after(tellInterval);
    tellTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            keepTelling();
        }
    });
}

void LedgerService::notifySilentPeers()
{
    if (!leads()) {
        return;
    }
    // Guards against a leader that nobody finds. After everything was off, VMs outside of the group know seeds that may
    // be blank or strangers to the group, and entries know nobody else: all of them ask, and no one asked knows a
    // member. The leader's table has the address of whoever once asked it, and its own settings name the seeds that
    // strangers ask first; so it tells those of them that do not ask it.
    const TimePoint now = std::chrono::steady_clock::now();
    const LeaderNotice notice {groupView()};
    const std::vector<VmName> peers = knownPeers();
    std::set<VmName> known(peers.begin(), peers.end());
    for (const auto &[vm, record] : state_.vms()) {
        known.insert(record.peer);
    }
    known.erase(self_);
    for (const VmName &peer : known) {
        const auto requester = joinRequesters_.find(peer);
        const bool isSilent = requester == joinRequesters_.end() || now - requester->second.at > callAfter;
        const auto client = isSilent ? parts_.peers.client(peer) : nullptr;
        if (client) {
            client->notify(notice);
        }
    }
}

void LedgerService::onLeaderNotice(const LeaderNotice &notice)
{
    const bool isNews = discovery_.noteNotice(notice.group);
    if (isNews && driver_.leader().empty()) {
        parts_.log.info("ledger.called", {{"leader", notice.group.leader}, {"term", notice.group.term}});
        askToJoin();
    }
}

GroupView LedgerService::groupView() const
{
    GroupView group;
    group.leader = leader();
    group.documentVersion = state_.documentVersion();
    // Seeds and those remembered: who asks this VM may ask them in turn.
    group.members = knownPeers();
    if (driver_.isStarted() && !driver_.leader().empty()) {
        const Membership &members = driver_.node().membership();
        group.term = driver_.node().term();
        group.members.assign(members.voters.begin(), members.voters.end());
    }
    return group;
}

void LedgerService::logSearch(const VmName &asked, const std::vector<VmName> &peers)
{
    const TimePoint now = std::chrono::steady_clock::now();
    if (!leader().empty()) {
        searchingSince_.reset();
        return;
    }
    searchingSince_ = searchingSince_.value_or(now);
    if (now - *searchingSince_ < longSearch || now - lastSearchLog_ < searchLogInterval) {
        return;
    }
    lastSearchLog_ = now;
    parts_.log.warn("ledger.searching",
                    {{"for_ms", toMs(now - *searchingSince_)},
                     {"asked", asked},
                     {"known", fmt::format("{}", fmt::join(peers, ","))}});
}

void LedgerService::askToJoin()
{
    // The leader learns each VM's name and address from this, members' too, and that those outside are live.
    const LogIndex completeUpTo = driver_.isStarted() && state_.texts().missing().empty() ? driver_.applied() : 0;
    const JoinRequest request {parts_.settings.vm, self_, completeUpTo, parts_.settings.failureDomain};
    if (leads()) {
        onJoin(request, nullptr);
        return;
    }
    const std::vector<VmName> peers = knownPeers();
    VmName target = leader();
    if (target.empty() && !peers.empty()) {
        target = peers[nextAsked_++ % peers.size()];
    }
    logSearch(target, peers);
    const auto client = target.empty() || target == self_ ? nullptr : parts_.peers.client(target);
    if (!client) {
        discovery_.forgetLeader();
        return;
    }
    client->request(request, joinTimeout, [this, target](Result<FrameBody> reply, bool) {
        const JoinReply *joined = reply ? std::get_if<JoinReply>(&reply.value()) : nullptr;
        // Handlers come on the client's strand, which the one thread of this process runs.
        onJoined(target, joined != nullptr ? *joined : JoinReply {});
    });
}

void LedgerService::onJoined(const VmName &asked, const JoinReply &reply)
{
    if (!reply.isConfirmed) {
        // A notice that came meanwhile says more than the silence, or the ignorance, of the one that was asked before.
        const bool isOld = discovery_.leader() != asked && !discovery_.leader().empty();
        if (!isOld) {
            discovery_.noteHint(reply.group.leader == asked ? GroupView {} : reply.group);
        }
        return;
    }
    discovery_.noteConfirmed(reply.group);
    if (driver_.isStarted()) {
        return;
    }
    // Guards against a VM that comes back without its disk and follows a deposed leader as if it had never promised
    // anything: a leader that a quorum without this VM has just confirmed has a term that is not below any that
    // this VM ever voted in, since every quorum of such a term shares a member with the confirming one.
    RaftStoredState blank;
    blank.hard = {reply.group.term, std::string(unknownVote)};
    parts_.log.info("ledger.joining", {{"leader", reply.group.leader}, {"term", reply.group.term}});
    static_cast<void>(startMember(std::move(blank)));
}

void LedgerService::onJoin(const JoinRequest &request, const Replier &replier)
{
    if (!leads()) {
        if (replier) {
            replier->reply(JoinReply {false, groupView()});
        }
        return;
    }
    joinRequesters_[request.peer] = {std::chrono::steady_clock::now(), request.completeUpTo, request.failureDomain};
    const auto known = state_.vms().find(request.vm);
    const bool isKnown = known != state_.vms().end() && known->second.peer == request.peer;
    // Asked again while it is proposed, as while the ledger is slow, it is not proposed once more.
    if (!isKnown && proposedVms_.insert(request.vm).second) {
        propose(LedgerVm {request.vm, request.peer, false}, [this, vm = request.vm](bool) { proposedVms_.erase(vm); });
    }
    if (!replier) {
        return;
    }
    driver_.confirmRead([this, replier](bool isConfirmed) { replier->reply(JoinReply {isConfirmed, groupView()}); });
}

void LedgerService::retire(const VmName &vm, OrderDone done)
{
    confirm([this, vm, done = std::move(done)](OrderResult confirmed) {
        const auto found = state_.vms().find(vm);
        if (confirmed != OrderResult::Done || found == state_.vms().end()) {
            done(confirmed == OrderResult::Done ? OrderResult::NotFound : confirmed);
            return;
        }
        if (found->second.isRetiring) {
            done(OrderResult::Done);
            return;
        }
        std::size_t left = 0;
        for (const auto &[peer, candidate] : candidates()) {
            left += candidate.isLive && !candidate.isRetiring && peer != found->second.peer ? 1 : 0;
        }
        if (left < desiredVoters()) {
            parts_.log.warn("retire.refused", {{"target", vm}, {"left", left}, {"needed", desiredVoters()}});
            done(OrderResult::TooFewLeft);
            return;
        }
        propose(LedgerVm {vm, found->second.peer, true}, [this, vm, done](bool isCommitted) {
            parts_.log.info("retire.accepted", {{"target", vm}, {"committed", isCommitted}});
            done(isCommitted ? OrderResult::Done : OrderResult::Unknown);
        });
    });
}

void LedgerService::retirement(const VmName &vm, OrderDone done)
{
    confirm([this, vm, done = std::move(done)](OrderResult confirmed) {
        const auto found = state_.vms().find(vm);
        if (confirmed != OrderResult::Done || found == state_.vms().end()) {
            done(confirmed == OrderResult::Done ? OrderResult::NotFound : confirmed);
            return;
        }
        const Membership &members = driver_.node().membership();
        const VmName &peer = found->second.peer;
        const bool isOut = !members.voters.contains(peer) && !members.learners.contains(peer)
            && members.voters.size() >= desiredVoters();
        done(found->second.isRetiring && isOut ? OrderResult::Done : OrderResult::Running);
    });
}

MemberCandidates LedgerService::candidates() const
{
    MemberCandidates result;
    const RaftNode &node = driver_.node();
    for (const auto &[vm, record] : state_.vms()) {
        MemberCandidate &candidate = result[record.peer];
        candidate.isRetiring = record.isRetiring;
        if (const auto requester = joinRequesters_.find(record.peer); requester != joinRequesters_.end()) {
            candidate.isLive = std::chrono::steady_clock::now() - requester->second.at < joinFreshFor;
            candidate.failureDomain = requester->second.failureDomain;
        }
    }
    const Membership &members = node.membership();
    for (const auto *group : {&members.voters, &members.learners}) {
        for (const VmName &peer : *group) {
            MemberCandidate &candidate = result[peer];
            candidate.isLeader = peer == self_;
            candidate.isLive = candidate.isLeader || driver_.silenceOf(peer) < lostAfter;
            // Guards against a newcomer that has the log and not what turns said, which no snapshot holds: were it to
            // take a lost member's place, the next loss could be one too many.
            const auto requester = joinRequesters_.find(peer);
            const bool hasTexts
                = requester != joinRequesters_.end() && requester->second.completeUpTo >= node.log().snapshot().index;
            candidate.isCaughtUp = hasTexts && node.matchOf(peer) >= node.commitIndex();
        }
    }
    return result;
}

void LedgerService::planMembers()
{
    const TimePoint now = std::chrono::steady_clock::now();
    if (!leads() || now < nextPlan_ || now - leadingSince_ < settlingTime) {
        return;
    }
    nextPlan_ = now + planInterval;
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
