#include "cp_frame_body.hpp"
#include "cp_ledger_schema.hpp"

namespace cardamompost
{

namespace
{

using Body = schema::Frame::Body;

template<typename Message>
std::optional<Outcome> decodeOutcome(const Message &in)
{
    return in.getHasOutcome() ? std::optional(decodeEnum(in.getOutcome(), Outcome::Unknown)) : std::nullopt;
}

RaftMessage decodeRaft(schema::RaftMessage::Reader in)
{
    RaftMessage out;
    out.type = decodeEnum(in.getType(), RaftMessageType::TimeoutNow);
    out.from = fromText(in.getFrom());
    out.to = fromText(in.getTo());
    out.term = in.getTerm();
    out.index = in.getIndex();
    out.indexTerm = in.getIndexTerm();
    out.commit = in.getCommit();
    out.granted = in.getGranted();
    out.isUninitialized = in.getIsBlank();
    out.isTransfer = in.getIsTransfer();
    out.writeTime = Milliseconds(in.getWriteMs());
    out.round = in.getRound();
    out.entries = decodeEntries(in.getEntries());
    out.snapshot.index = in.getSnapshotIndex();
    out.snapshot.term = in.getSnapshotTerm();
    out.snapshot.membership = Membership::decode(fromText(in.getSnapshotMembership())).value_or(Membership {});
    out.snapshot.state = fromData(in.getSnapshotState());
    out.offset = in.getOffset();
    out.isLastChunk = in.getIsLastPiece();
    return out;
}

JournalForget decodeForget(schema::JournalForget::Reader in)
{
    JournalForget out {in.getPartition(), in.getEpoch(), fromText(in.getOwner()), {}};
    for (const auto index : in.getIndexes()) {
        out.indexes.push_back(index);
    }
    return out;
}

StatusReply decodeStatus(schema::StatusReply::Reader in)
{
    StatusReply out {fromText(in.getLeader()), in.getIsLeader(), in.getTerm(), in.getCommitIndex(), {}};
    for (const auto report : in.getReports()) {
        out.reports.push_back({fromText(report.getName()), report.getSinceContactMs(), report.getAppliedIndex(),
                               report.getConfigurationVersion(), report.getPrograms()});
    }
    return out;
}

ApiRequest decodeApi(schema::ApiRequest::Reader in)
{
    ApiRequest out;
    out.operation = decodeEnum(in.getOperation(), ApiOperation::CheckHold);
    out.caller = fromText(in.getCaller());
    out.program = fromText(in.getProgram());
    out.sequence = in.getSequence();
    out.idempotencyKey = fromText(in.getIdempotencyKey());
    out.isKeyGenerated = in.getIsKeyGenerated();
    out.lastEventId = in.getLastEventId();
    out.isStream = in.getIsStream();
    out.format = decodeEnum(in.getForm(), ApiFormat::ChatCompletion);
    out.workClass = fromText(in.getWorkClass());
    if (const auto kind = errorKindFromName(fromText(in.getRefusalKind()))) {
        out.refusal = makeError(*kind, fromText(in.getRefusalMessage()));
        out.refusal->retryAfter = std::chrono::milliseconds(in.getRefusalRetryMs());
    }
    out.body = fromData(in.getBody());
    return out;
}

Error decodeFailure(schema::Failure::Reader in)
{
    Error out;
    out.kind = errorKindFromName(fromText(in.getKind())).value_or(ErrorKind::Internal);
    out.message = fromText(in.getMessage());
    out.outcome = decodeOutcome(in);
    if (in.getRetryAfterMs() != 0) {
        out.retryAfter = std::chrono::milliseconds(in.getRetryAfterMs());
    }
    return out;
}

FrameBody decodeJournalBody(Body::Reader in)
{
    switch (in.which()) {
    case Body::SEAL:
        return SealRequest {in.getSeal().getPartition(), in.getSeal().getEpoch(), fromText(in.getSeal().getOwner())};
    case Body::SEAL_REPLY: {
        const auto reply = in.getSealReply();
        return SealReply {reply.getAccepted(), reply.getPromised(), reply.getLastIndex(), reply.getLastTerm()};
    }
    case Body::APPEND: {
        const auto append = in.getAppend();
        return JournalAppend {append.getPartition(),     append.getEpoch(),        fromText(append.getOwner()),
                              append.getPreviousIndex(), append.getPreviousTerm(), decodeEntries(append.getEntries()),
                              append.getCommit()};
    }
    case Body::APPEND_REPLY: {
        const auto reply = in.getAppendReply();
        return JournalAppendReply {reply.getAccepted(), reply.getPromised(), reply.getIndex()};
    }
    case Body::READ: {
        const auto read = in.getRead();
        return JournalRead {read.getPartition(), read.getEpoch(), read.getFrom(), read.getTo(), read.getMaxBytes()};
    }
    case Body::READ_REPLY: {
        const auto reply = in.getReadReply();
        return JournalReadReply {reply.getAccepted(),
                                 reply.getPromised(),
                                 reply.getPreviousIndex(),
                                 reply.getPreviousTerm(),
                                 decodeEntries(reply.getEntries()),
                                 reply.getIsComplete()};
    }
    case Body::FORGET:
        return decodeForget(in.getForget());
    default:
        return std::monostate {};
    }
}

TurnBeginReply decodeTurnBeginReply(schema::TurnBeginReply::Reader in)
{
    return {decodeEnum(in.getStatus(), TurnBeginStatus::IncompleteHistory),
            fromText(in.getLeader()),
            fromData(in.getHistory()),
            fromText(in.getBackend()),
            in.getRetryAfterMs(),
            decodeServerVersion(in.getVersion()),
            fromText(in.getPromptSource())};
}

//! Messages about requests other than the begin and end of a turn.
FrameBody decodeRequestBody(Body::Reader in)
{
    switch (in.which()) {
    case Body::STREAM_VERSION:
        return StreamVersionRequest {decodeStreamVersion(in.getStreamVersion().getRecord()),
                                     in.getStreamVersion().getIsQuery()};
    case Body::STREAM_VERSION_REPLY:
        return StreamVersionReply {decodeEnum(in.getStreamVersionReply().getStatus(), StreamVersionStatus::Unknown),
                                   decodeServerVersion(in.getStreamVersionReply().getVersion())};
    case Body::SUSPECT:
        return decodeSuspectRequest(in.getSuspect());
    case Body::SUSPECT_REPLY:
        return SuspectReply {decodeEnum(in.getSuspectReply().getStatus(), SuspectStatus::Recorded),
                             in.getSuspectReply().getEnds()};
    case Body::ADMIT:
        return AdmitRequest {fromText(in.getAdmit().getAccount()), fromText(in.getAdmit().getRequest()),
                             fromText(in.getAdmit().getAdmission())};
    case Body::ADMIT_REPLY:
        return AdmitReply {decodeEnum(in.getAdmitReply().getStatus(), AdmitStatus::Limited),
                           in.getAdmitReply().getRetryAfterMs()};
    default:
        return std::monostate {};
    }
}

FrameBody decodeLedgerBody(Body::Reader in)
{
    switch (in.which()) {
    case Body::JOIN:
        return JoinRequest {fromText(in.getJoin().getVm()), fromText(in.getJoin().getPeer()),
                            in.getJoin().getHoldsUpTo(), fromText(in.getJoin().getFailureDomain()),
                            in.getJoin().getHasTerm()};
    case Body::JOIN_REPLY:
        return JoinReply {in.getJoinReply().getIsConfirmed(), decodeGroupView(in.getJoinReply())};
    case Body::LEADER_NOTICE:
        return LeaderNotice {decodeGroupView(in.getLeaderNotice())};
    case Body::TURN_BEGIN:
        return decodeTurnBegin(in.getTurnBegin());
    case Body::TURN_BEGIN_REPLY:
        return decodeTurnBeginReply(in.getTurnBeginReply());
    case Body::TURN_FINISH:
        return decodeTurnFinish(in.getTurnFinish());
    case Body::TURN_FINISH_REPLY:
        return TurnFinishReply {in.getTurnFinishReply().getIsDurable(), fromText(in.getTurnFinishReply().getLeader())};
    case Body::NEWS:
        return decodeUpdateRequest(in.getNews());
    case Body::NEWS_REPLY:
        return decodeUpdateReply(in.getNewsReply());
    case Body::PRESENCE: {
        const auto presence = in.getPresence();
        return Presence {
            fromText(presence.getVm()), fromText(presence.getAddress()), fromText(presence.getFailureDomain()),
            presence.getIsReady(),      presence.getIsDirectory(),       presence.getLoadPermille(),
            presence.getIsAccepting()};
    }
    case Body::TURN_TEXTS: {
        TurnTextsRequest request;
        for (const std::uint64_t index : in.getTurnTexts()) {
            request.indexes.push_back(index);
        }
        return request;
    }
    case Body::TURN_TEXTS_REPLY: {
        TurnTextsReply reply;
        for (const auto item : in.getTurnTextsReply()) {
            reply.texts.push_back({item.getIndex(), fromData(item.getText())});
        }
        return reply;
    }
    default:
        return decodeRequestBody(in);
    }
}

FrameBody decodeControlBody(Body::Reader in)
{
    switch (in.which()) {
    case Body::LEASE: {
        const auto lease = in.getLease();
        return LeaseRequest {decodeVm(lease.getVm()), lease.getAppliedIndex(), lease.getConfigurationVersion(),
                             lease.getPrograms(), lease.getIsConfirmed()};
    }
    case Body::LEASE_REPLY: {
        const auto reply = in.getLeaseReply();
        return LeaseReply {reply.getGranted(), fromText(reply.getLeader()), reply.getDurationMs(), reply.getMinIndex(),
                           reply.getConfigurationVersion()};
    }
    case Body::PROPOSE:
        return ProposeRequest {fromData(in.getPropose())};
    case Body::PROPOSE_REPLY: {
        const auto reply = in.getProposeReply();
        const ApplyResult result {decodeEnum(reply.getResultKind(), ApplyKind::Stale), reply.getResultVersion()};
        return ProposeReply {reply.getAccepted(), fromText(reply.getLeader()), reply.getIndex(), result};
    }
    case Body::PULL:
        return PullRequest {in.getPull().getAfterIndex(), in.getPull().getWaitMs()};
    case Body::PULL_REPLY: {
        const auto reply = in.getPullReply();
        return PullReply {decodeEntries(reply.getEntries()), reply.getSnapshotIndex(), fromData(reply.getSnapshot())};
    }
    case Body::STATUS:
        return StatusRequest {};
    case Body::LIMIT:
        return LimitRequest {fromText(in.getLimit().getCaller()), in.getLimit().getWanted()};
    case Body::LIMIT_REPLY:
        return LimitReply {in.getLimitReply().getGranted(), in.getLimitReply().getRetryAfterMs()};
    case Body::PROBE:
        return ProbeRequest {};
    case Body::PROBE_REPLY:
        return ProbeReply {in.getProbeReply().getIsFormed(), in.getProbeReply().getTerm()};
    case Body::STATUS_REPLY:
        return decodeStatus(in.getStatusReply());
    default:
        return in.which() >= Body::JOIN ? decodeLedgerBody(in) : decodeJournalBody(in);
    }
}

} // namespace

FrameBody decodeBody(schema::Frame::Body::Reader in)
{
    switch (in.which()) {
    case Body::RAFT:
        return decodeRaft(in.getRaft());
    case Body::API:
        return decodeApi(in.getApi());
    case Body::API_CHUNK: {
        const auto chunk = in.getApiChunk();
        return ApiChunk {chunk.getStatus(), decodeOutcome(chunk), chunk.getEventId(), fromData(chunk.getBody()),
                         chunk.getIsLast()};
    }
    case Body::FAILURE:
        return FailureReply {decodeFailure(in.getFailure())};
    default:
        return decodeControlBody(in);
    }
}

} // namespace cardamompost
