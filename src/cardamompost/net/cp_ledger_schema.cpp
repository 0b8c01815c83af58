#include "cp_ledger_schema.hpp"

namespace cardamompost
{

namespace
{

void encodePlacementRequest(const PlacementRequest &in, schema::PlacementWish::Builder out)
{
    out.setService(toText(in.service));
    out.setFailureDomain(toText(in.failureDomain));
    out.setRank(in.rank);
    out.setProgramTimeLeftMs(in.programTimeLeftMs);
    out.setPatienceMs(in.timeLeftMs);
    auto unreachable = out.initUnreachable(static_cast<unsigned>(in.unreachable.size()));
    for (unsigned i = 0; i < unreachable.size(); ++i) {
        unreachable.set(i, toText(in.unreachable[i]));
    }
    if (!in.softwareVersion.empty()) {
        out.setSoftwareVersion(toText(in.softwareVersion));
    }
    out.setPromptTokens(in.promptTokens);
    out.setOutputTokens(in.outputTokens);
}

PlacementRequest decodePlacementRequest(schema::PlacementWish::Reader in)
{
    PlacementRequest placement {fromText(in.getService()),
                                fromText(in.getFailureDomain()),
                                in.getRank(),
                                in.getProgramTimeLeftMs(),
                                in.getPatienceMs(),
                                {},
                                fromText(in.getSoftwareVersion()),
                                in.getPromptTokens(),
                                in.getOutputTokens()};
    for (const auto server : in.getUnreachable()) {
        placement.unreachable.push_back(fromText(server));
    }
    return placement;
}

void encodeDelta(const ContentDelta &in, schema::ContentDelta::Builder out)
{
    out.setRest(in.remainingBuckets);
    out.setChecksum(in.checksum);
    auto buckets = out.initBuckets(static_cast<unsigned>(in.buckets.size()));
    for (unsigned i = 0; i < buckets.size(); ++i) {
        buckets[i].setNumber(in.buckets[i].number);
        buckets[i].setBytes(toData(in.buckets[i].bytes));
    }
}

ContentDelta decodeDelta(schema::ContentDelta::Reader in)
{
    ContentDelta delta {{}, in.getRest(), in.getChecksum()};
    for (const auto bucket : in.getBuckets()) {
        delta.buckets.push_back({bucket.getNumber(), fromData(bucket.getBytes())});
    }
    return delta;
}

void encodePeers(const std::vector<LedgerPeer> &in, capnp::List<schema::LedgerPeer>::Builder out)
{
    for (unsigned i = 0; i < out.size(); ++i) {
        out[i].setPeer(toText(in[i].peer));
        out[i].setFailureDomain(toText(in[i].failureDomain));
    }
}

std::vector<LedgerPeer> decodePeers(capnp::List<schema::LedgerPeer>::Reader in)
{
    std::vector<LedgerPeer> peers;
    for (const auto peer : in) {
        peers.push_back({fromText(peer.getPeer()), fromText(peer.getFailureDomain())});
    }
    return peers;
}

void encodeChanges(const BackendChanges &in, schema::BackendChanges::Builder out)
{
    auto changed = out.initChanged(static_cast<unsigned>(in.changed.size()));
    for (unsigned i = 0; i < changed.size(); ++i) {
        encodeBackendServer(in.changed[i], changed[i]);
    }
    encodeTexts(in.removed, out.initRemoved(static_cast<unsigned>(in.removed.size())));
    out.setChecksum(in.checksum);
}

BackendChanges decodeChanges(schema::BackendChanges::Reader in)
{
    BackendChanges changes;
    for (const auto server : in.getChanged()) {
        changes.changed.push_back(decodeBackendServer(server));
    }
    changes.removed = decodeTexts(in.getRemoved());
    changes.checksum = in.getChecksum();
    return changes;
}

void encodeDigests(const BucketBytes::Digests &in, capnp::List<std::uint32_t>::Builder out)
{
    for (unsigned i = 0; i < out.size(); ++i) {
        out.set(i, in[i]);
    }
}

void encodeFingerprints(const std::vector<RequestFingerprint> &in, capnp::List<std::uint64_t>::Builder out)
{
    for (unsigned i = 0; i < out.size(); ++i) {
        out.set(i, in[i]);
    }
}

std::vector<RequestFingerprint> decodeFingerprints(capnp::List<std::uint64_t>::Reader in)
{
    std::vector<RequestFingerprint> fingerprints;
    for (const std::uint64_t fingerprint : in) {
        fingerprints.push_back(fingerprint);
    }
    return fingerprints;
}

void encodeSuspects(const SuspectChanges &in, schema::SuspectChanges::Builder out)
{
    out.setSince(in.since);
    out.setVersion(in.version);
    encodeFingerprints(in.added, out.initAdded(static_cast<unsigned>(in.added.size())));
    encodeFingerprints(in.removed, out.initRemoved(static_cast<unsigned>(in.removed.size())));
}

SuspectChanges decodeSuspects(schema::SuspectChanges::Reader in)
{
    return {in.getSince(), in.getVersion(), decodeFingerprints(in.getAdded()), decodeFingerprints(in.getRemoved())};
}

BucketBytes::Digests decodeDigests(capnp::List<std::uint32_t>::Reader in)
{
    BucketBytes::Digests digests;
    for (const std::uint32_t digest : in) {
        digests.push_back(digest);
    }
    return digests;
}

} // namespace

void encodeServerVersion(const ServerVersion &in, schema::ServerVersion::Builder out)
{
    out.setService(toText(in.service));
    out.setSoftwareVersion(toText(in.softwareVersion));
}

ServerVersion decodeServerVersion(schema::ServerVersion::Reader in)
{
    return {fromText(in.getService()), fromText(in.getSoftwareVersion())};
}

void encodeStreamVersion(const StreamVersion &in, schema::StreamVersion::Builder out)
{
    out.setStream(toText(in.stream));
    encodeServerVersion(in.version, out.initVersion());
    out.setAttempt(in.attempt);
    out.setRetentionMs(in.retentionMs);
}

StreamVersion decodeStreamVersion(schema::StreamVersion::Reader in)
{
    return {fromText(in.getStream()), decodeServerVersion(in.getVersion()), in.getAttempt(), in.getRetentionMs()};
}

void encodeBackendEnd(const BackendEnd &in, schema::BackendEnd::Builder out)
{
    out.setRequest(in.request);
    out.setBackend(toText(in.backend));
    out.setIncarnation(in.incarnation);
    out.setSoftwareVersion(toText(in.softwareVersion));
}

BackendEnd decodeBackendEnd(schema::BackendEnd::Reader in)
{
    return {in.getRequest(), fromText(in.getBackend()), in.getIncarnation(), fromText(in.getSoftwareVersion())};
}

void encodeSuspectRequest(const SuspectRequest &in, schema::SuspectRequest::Builder out)
{
    out.setAction(static_cast<std::uint8_t>(in.action));
    out.setRun(in.run);
    out.setRequestId(toText(in.requestId));
    encodeBackendEnd(in.end, out.initEnd());
    out.setTimeLeftMs(in.timeLeftMs);
}

SuspectRequest decodeSuspectRequest(schema::SuspectRequest::Reader in)
{
    return {decodeEnum(in.getAction(), SuspectAction::Success), in.getRun(), fromText(in.getRequestId()),
            decodeBackendEnd(in.getEnd()), in.getTimeLeftMs()};
}

void encodeTurnBegin(const TurnBegin &in, schema::TurnBegin::Builder out)
{
    out.setTurn(toText(in.turn));
    out.setProgram(toText(in.program));
    out.setPrevious(toText(in.previous));
    out.setTokensAtMost(in.maxTokens);
    out.setBudget(in.budget);
    out.setRetentionMs(in.retentionMs);
    if (!in.account.empty()) {
        out.setAccount(toText(in.account));
    }
    // Entries stored in the log have no placement request.
    if (!in.placement.service.empty()) {
        encodePlacementRequest(in.placement, out.initWish());
    }
    out.setStreamRetentionMs(in.streamRetentionMs);
    out.setIsRetained(in.isRetained);
    if (!in.admission.empty()) {
        out.setAdmission(toText(in.admission));
    }
    if (in.version.isKnown()) {
        encodeServerVersion(in.version, out.initVersion());
    }
}

TurnBegin decodeTurnBegin(schema::TurnBegin::Reader in)
{
    return {fromText(in.getTurn()),
            fromText(in.getProgram()),
            fromText(in.getPrevious()),
            in.getTokensAtMost(),
            in.getBudget(),
            in.getRetentionMs(),
            decodePlacementRequest(in.getWish()),
            fromText(in.getAccount()),
            in.getStreamRetentionMs(),
            in.getIsRetained(),
            fromText(in.getAdmission()),
            decodeServerVersion(in.getVersion())};
}

void encodeTurnFinish(const TurnFinish &in, schema::TurnFinish::Builder out)
{
    out.setTurn(toText(in.turn));
    out.setProgram(toText(in.program));
    out.setPrevious(toText(in.previous));
    out.setEnding(static_cast<std::uint8_t>(in.ending));
    out.setTokens(in.tokens);
    out.setRetentionMs(in.retentionMs);
    out.setIsKept(in.isRetained);
    out.setInput(toData(in.input));
    out.setOutput(toData(in.output));
    out.setBackend(toText(in.backend));
    out.setPromptTokens(in.timing.promptTokens);
    out.setFirstEventMs(in.timing.firstEventMs);
    out.setStreamMs(in.timing.streamMs);
    out.setStreamTokens(in.timing.streamTokens);
    out.setTurnsAtBackend(in.timing.turnsAtBackend);
    out.setService(toText(in.timing.service));
    out.setBorn(in.timing.incarnation);
}

TurnFinish decodeTurnFinish(schema::TurnFinish::Reader in)
{
    // An unknown ending, from a newer release, is charged as an interrupted turn.
    const auto ending = in.getEnding() <= static_cast<std::uint8_t>(TurnEnding::Interrupted)
        ? static_cast<TurnEnding>(in.getEnding())
        : TurnEnding::Interrupted;
    return {fromText(in.getTurn()),
            fromText(in.getProgram()),
            fromText(in.getPrevious()),
            ending,
            in.getTokens(),
            in.getRetentionMs(),
            in.getIsKept(),
            fromData(in.getInput()),
            fromData(in.getOutput()),
            fromText(in.getBackend()),
            {in.getPromptTokens(), in.getFirstEventMs(), in.getStreamMs(), in.getStreamTokens(), in.getTurnsAtBackend(),
             fromText(in.getService()), in.getBorn()}};
}

void encodeUpdateRequest(const UpdateRequest &in, schema::NewsRequest::Builder out)
{
    out.setDocumentVersion(in.documentVersion);
    out.setListTerm(in.list.term);
    out.setListSequence(in.list.sequence);
    out.setWaitMs(in.waitMs);
    out.setWantsContent(in.wantsContent);
    out.setBehindMs(in.staleMs);
    out.setPeersDigest(in.peersDigest);
    out.setKnownTerm(in.knownTerm);
    out.setSuspectsVersion(in.suspectsVersion);
    encodeDigests(in.documentDigests, out.initDocumentDigests(static_cast<unsigned>(in.documentDigests.size())));
    encodeDigests(in.listDigests, out.initListDigests(static_cast<unsigned>(in.listDigests.size())));
}

UpdateRequest decodeUpdateRequest(schema::NewsRequest::Reader in)
{
    UpdateRequest request;
    request.documentVersion = in.getDocumentVersion();
    request.list = {in.getListTerm(), in.getListSequence()};
    request.documentDigests = decodeDigests(in.getDocumentDigests());
    request.listDigests = decodeDigests(in.getListDigests());
    request.staleMs = in.getBehindMs();
    request.peersDigest = in.getPeersDigest();
    request.knownTerm = in.getKnownTerm();
    request.suspectsVersion = in.getSuspectsVersion();
    request.waitMs = in.getWaitMs();
    request.wantsContent = in.getWantsContent();
    return request;
}

void encodeUpdateReply(const UpdateReply &in, schema::NewsReply::Builder out)
{
    out.setIsLeader(in.isLeader);
    out.setLeader(toText(in.leader));
    out.setTerm(in.term);
    encodePeers(in.peers, out.initPeers(static_cast<unsigned>(in.peers.size())));
    out.setPeersDigest(in.peersDigest);
    out.setAgeMs(in.ageMs);
    out.setDocumentVersion(in.documentVersion);
    out.setListTerm(in.list.term);
    out.setListSequence(in.list.sequence);
    out.setListAgeMs(in.listAgeMs);
    if (in.documentDelta) {
        encodeDelta(*in.documentDelta, out.initDocument());
    }
    if (in.listDelta) {
        encodeDelta(*in.listDelta, out.initList());
    }
    if (in.listChanges) {
        encodeChanges(*in.listChanges, out.initListChanges());
    }
    out.setMustResyncList(in.mustResyncList);
    if (in.suspects) {
        encodeSuspects(*in.suspects, out.initSuspects());
    }
}

UpdateReply decodeUpdateReply(schema::NewsReply::Reader in)
{
    UpdateReply reply;
    reply.isLeader = in.getIsLeader();
    reply.leader = fromText(in.getLeader());
    reply.term = in.getTerm();
    reply.peers = decodePeers(in.getPeers());
    reply.peersDigest = in.getPeersDigest();
    reply.ageMs = in.getAgeMs();
    reply.documentVersion = in.getDocumentVersion();
    reply.list = {in.getListTerm(), in.getListSequence()};
    reply.listAgeMs = in.getListAgeMs();
    if (in.hasDocument()) {
        reply.documentDelta = decodeDelta(in.getDocument());
    }
    if (in.hasList()) {
        reply.listDelta = decodeDelta(in.getList());
    }
    if (in.hasListChanges()) {
        reply.listChanges = decodeChanges(in.getListChanges());
    }
    reply.mustResyncList = in.getMustResyncList();
    if (in.hasSuspects()) {
        reply.suspects = decodeSuspects(in.getSuspects());
    }
    return reply;
}

} // namespace cardamompost
