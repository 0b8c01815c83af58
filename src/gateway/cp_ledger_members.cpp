#include "cp_ledger_service.hpp"

namespace cardamompost
{

namespace
{

constexpr Milliseconds joinInterval {500};
// A VM without a copy asks more often: until it has one, the next loss may be one too many.
constexpr Milliseconds blankJoinInterval {120};
constexpr Milliseconds joinTimeout {400};
constexpr Milliseconds planInterval {200};
// Often enough that a lost message makes nobody dark (PresenceTable::darkAfter).
constexpr Milliseconds tellInterval {250};
// A member that was silent for so long may be replaced, if there is another VM to take its place.
constexpr Milliseconds lostAfter {1500};
// A VM outside the group counts as live when it has asked to join within this time.
constexpr Milliseconds joinFreshFor {2500};
// A new leader has not heard from anybody yet; it judges nobody before this.
constexpr Milliseconds settlingTime {2000};

} // namespace

std::vector<VmName> LedgerService::knownPeers() const
{
    std::vector<VmName> peers = parts_.settings.seedPeers();
    if (driver_.isStarted()) {
        const Membership &members = driver_.node().membership();
        peers.insert(peers.end(), members.voters.begin(), members.voters.end());
    }
    std::erase(peers, self_);
    return peers;
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
    tellTimer_.expires_after(tellInterval);
    tellTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            keepTelling();
        }
    });
}

void LedgerService::askToJoin()
{
    // The leader learns each VM's name and address from this, members' too, and that those outside are live.
    const LogIndex holdsUpTo = driver_.isStarted() && state_.texts().missing().empty() ? driver_.applied() : 0;
    if (leads()) {
        const JoinRequest own {parts_.settings.vm, self_, holdsUpTo};
        onJoin(own, nullptr);
        return;
    }
    const VmName known = driver_.leader().empty() ? leaderHint_ : driver_.leader();
    const std::vector<VmName> peers = knownPeers();
    VmName target = known;
    if (known.empty() && !peers.empty()) {
        target = peers[nextAsked_++ % peers.size()];
    }
    const auto client = target.empty() || target == self_ ? nullptr : parts_.peers.client(target);
    if (!client) {
        leaderHint_.clear();
        return;
    }
    const JoinRequest request {parts_.settings.vm, self_, holdsUpTo};
    client->request(request, joinTimeout, [this](Result<FrameBody> reply, bool) {
        const JoinReply *joined = reply ? std::get_if<JoinReply>(&reply.value()) : nullptr;
        // Handlers come on the client's strand, which the one thread of this process runs.
        onJoined(joined != nullptr ? *joined : JoinReply {});
    });
}

void LedgerService::onJoined(const JoinReply &reply)
{
    leaderHint_ = reply.leader;
    if (driver_.isStarted() || !reply.isConfirmed) {
        return;
    }
    // Guards against a VM that comes back without its disk and follows a deposed leader as if it had never promised
    // anything: a leader that a quorum without this VM has just confirmed has a term that is not below any that
    // this VM ever voted in, since every quorum of such a term shares a member with the confirming one.
    RaftStoredState blank;
    blank.hard = {reply.term, std::string(unknownVote)};
    parts_.log.info("ledger.joining", {{"leader", reply.leader}, {"term", reply.term}});
    static_cast<void>(startMember(std::move(blank)));
}

void LedgerService::onJoin(const JoinRequest &request, const Replier &replier)
{
    if (!leads()) {
        if (replier) {
            replier->reply(JoinReply {false, driver_.leader(), 0});
        }
        return;
    }
    lastJoin_[request.peer] = std::chrono::steady_clock::now();
    holdsUpTo_[request.peer] = request.holdsUpTo;
    const auto known = state_.vms().find(request.vm);
    if (known == state_.vms().end() || known->second.peer != request.peer) {
        propose(LedgerVm {request.vm, request.peer, false}, [](bool) {});
    }
    if (!replier) {
        return;
    }
    driver_.confirmRead([this, replier](bool isConfirmed) {
        replier->reply(JoinReply {isConfirmed, driver_.leader(), driver_.node().term()});
    });
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
    const auto isFresh = [&](const VmName &peer) {
        const auto found = lastJoin_.find(peer);
        return found != lastJoin_.end() && std::chrono::steady_clock::now() - found->second < joinFreshFor;
    };
    for (const auto &[vm, record] : state_.vms()) {
        MemberCandidate &candidate = result[record.peer];
        candidate.isLive = isFresh(record.peer);
        candidate.isRetiring = record.isRetiring;
    }
    const Membership &members = node.membership();
    for (const auto *group : {&members.voters, &members.learners}) {
        for (const VmName &peer : *group) {
            MemberCandidate &candidate = result[peer];
            candidate.isLive = peer == self_ || driver_.silenceOf(peer) < lostAfter;
            // Guards against a newcomer that has the log and not what turns said, which no snapshot holds: were it to
            // take a lost member's place, the next loss could be one too many.
            const auto held = holdsUpTo_.find(peer);
            const bool hasTexts = held != holdsUpTo_.end() && held->second >= node.log().snapshot().index;
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
