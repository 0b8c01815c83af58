#include "cp_frame_body.hpp"
#include "cp_ledger_schema.hpp"

namespace cardamompost
{

namespace
{

using Body = schema::Frame::Body;

template<typename Message>
void encodeOutcome(const std::optional<Outcome> &outcome, Message &out)
{
    out.setHasOutcome(outcome.has_value());
    out.setOutcome(static_cast<std::uint8_t>(outcome.value_or(Outcome::Unknown)));
}

//! Visitor that writes a body into the union of a frame.
struct BodyEncoder {
    Body::Builder out;

    void operator()(const std::monostate & /*none*/)
    {
        out.setNone();
    }

    void operator()(const RaftMessage &in)
    {
        auto message = out.initRaft();
        message.setType(static_cast<std::uint8_t>(in.type));
        message.setFrom(toText(in.from));
        message.setTo(toText(in.to));
        message.setTerm(in.term);
        message.setIndex(in.index);
        message.setIndexTerm(in.indexTerm);
        message.setCommit(in.commit);
        message.setGranted(in.granted);
        message.setIsBlank(in.isUninitialized);
        message.setIsTransfer(in.isTransfer);
        message.setWriteMs(static_cast<std::uint32_t>(in.writeTime.count()));
        message.setRound(in.round);
        encodeEntries(in.entries, message.initEntries(static_cast<unsigned>(in.entries.size())));
        message.setSnapshotIndex(in.snapshot.index);
        message.setSnapshotTerm(in.snapshot.term);
        message.setSnapshotMembership(toText(in.snapshot.membership.encode()));
        message.setSnapshotState(toData(in.snapshot.state));
        message.setOffset(in.offset);
        message.setIsLastPiece(in.isLastChunk);
    }

    void operator()(const SealRequest &in)
    {
        auto message = out.initSeal();
        message.setPartition(in.partition);
        message.setEpoch(in.epoch);
        message.setOwner(toText(in.owner));
    }

    void operator()(const SealReply &in)
    {
        auto message = out.initSealReply();
        message.setAccepted(in.accepted);
        message.setPromised(in.promised);
        message.setLastIndex(in.lastIndex);
        message.setLastTerm(in.lastTerm);
    }

    void operator()(const JournalAppend &in)
    {
        auto message = out.initAppend();
        message.setPartition(in.partition);
        message.setEpoch(in.epoch);
        message.setOwner(toText(in.owner));
        message.setPreviousIndex(in.previousIndex);
        message.setPreviousTerm(in.previousTerm);
        encodeEntries(in.entries, message.initEntries(static_cast<unsigned>(in.entries.size())));
        message.setCommit(in.commit);
    }

    void operator()(const JournalAppendReply &in)
    {
        auto message = out.initAppendReply();
        message.setAccepted(in.accepted);
        message.setPromised(in.promised);
        message.setIndex(in.index);
    }

    void operator()(const JournalRead &in)
    {
        auto message = out.initRead();
        message.setPartition(in.partition);
        message.setEpoch(in.epoch);
        message.setFrom(in.from);
        message.setTo(in.to);
        message.setMaxBytes(in.maxBytes);
    }

    void operator()(const JournalReadReply &in)
    {
        auto message = out.initReadReply();
        message.setAccepted(in.accepted);
        message.setPromised(in.promised);
        message.setPreviousIndex(in.previousIndex);
        message.setPreviousTerm(in.previousTerm);
        encodeEntries(in.entries, message.initEntries(static_cast<unsigned>(in.entries.size())));
        message.setIsComplete(in.isComplete);
    }

    void operator()(const JournalForget &in)
    {
        auto message = out.initForget();
        message.setPartition(in.partition);
        message.setEpoch(in.epoch);
        message.setOwner(toText(in.owner));
        auto indexes = message.initIndexes(static_cast<unsigned>(in.indexes.size()));
        for (unsigned i = 0; i < indexes.size(); ++i) {
            indexes.set(i, in.indexes[i]);
        }
    }

    void operator()(const LeaseRequest &in)
    {
        auto message = out.initLease();
        encodeVm(in.vm, message.initVm());
        message.setAppliedIndex(in.appliedIndex);
        message.setConfigurationVersion(in.configurationVersion);
        message.setPrograms(in.programs);
        message.setIsConfirmed(in.needsConfirmedLeader);
    }

    void operator()(const LeaseReply &in)
    {
        auto message = out.initLeaseReply();
        message.setGranted(in.granted);
        message.setLeader(toText(in.leader));
        message.setDurationMs(in.durationMs);
        message.setMinIndex(in.minIndex);
        message.setConfigurationVersion(in.configurationVersion);
    }

    void operator()(const ProposeRequest &in)
    {
        out.setPropose(toData(in.command));
    }

    void operator()(const ProposeReply &in)
    {
        auto message = out.initProposeReply();
        message.setAccepted(in.accepted);
        message.setLeader(toText(in.leader));
        message.setIndex(in.index);
        message.setResultKind(static_cast<std::uint8_t>(in.result.kind));
        message.setResultVersion(in.result.version);
    }

    void operator()(const PullRequest &in)
    {
        auto message = out.initPull();
        message.setAfterIndex(in.afterIndex);
        message.setWaitMs(in.waitMs);
    }

    void operator()(const PullReply &in)
    {
        auto message = out.initPullReply();
        encodeEntries(in.entries, message.initEntries(static_cast<unsigned>(in.entries.size())));
        message.setSnapshotIndex(in.snapshotIndex);
        message.setSnapshot(toData(in.snapshot));
    }

    void operator()(const StatusRequest & /*in*/)
    {
        out.setStatus();
    }

    void operator()(const StatusReply &in)
    {
        auto message = out.initStatusReply();
        message.setLeader(toText(in.leader));
        message.setIsLeader(in.isLeader);
        message.setTerm(in.term);
        message.setCommitIndex(in.commitIndex);
        auto reports = message.initReports(static_cast<unsigned>(in.reports.size()));
        for (unsigned i = 0; i < reports.size(); ++i) {
            reports[i].setName(toText(in.reports[i].name));
            reports[i].setSinceContactMs(in.reports[i].sinceContactMs);
            reports[i].setAppliedIndex(in.reports[i].appliedIndex);
            reports[i].setConfigurationVersion(in.reports[i].configurationVersion);
            reports[i].setPrograms(in.reports[i].programs);
        }
    }

    void operator()(const ProbeRequest & /*in*/)
    {
        out.setProbe();
    }

    void operator()(const ProbeReply &in)
    {
        auto message = out.initProbeReply();
        message.setIsFormed(in.isFormed);
        message.setTerm(in.term);
    }

    void operator()(const LimitRequest &in)
    {
        auto message = out.initLimit();
        message.setCaller(toText(in.caller));
        message.setWanted(in.wanted);
    }

    void operator()(const LimitReply &in)
    {
        auto message = out.initLimitReply();
        message.setGranted(in.granted);
        message.setRetryAfterMs(in.retryAfterMs);
    }

    void operator()(const ApiRequest &in)
    {
        auto message = out.initApi();
        message.setOperation(static_cast<std::uint8_t>(in.operation));
        message.setCaller(toText(in.caller));
        message.setProgram(toText(in.program));
        message.setSequence(in.sequence);
        message.setIdempotencyKey(toText(in.idempotencyKey));
        message.setIsKeyGenerated(in.isKeyGenerated);
        message.setLastEventId(in.lastEventId);
        message.setIsStream(in.isStream);
        message.setForm(static_cast<std::uint8_t>(in.format));
        message.setWorkClass(toText(in.workClass));
        if (in.refusal) {
            message.setRefusalKind(std::string(answerFor(in.refusal->kind).name).c_str());
            message.setRefusalMessage(toText(in.refusal->message));
            message.setRefusalRetryMs(
                static_cast<std::uint32_t>(in.refusal->retryAfter.value_or(std::chrono::milliseconds(0)).count()));
        }
        message.setBody(toData(in.body));
    }

    void operator()(const ApiChunk &in)
    {
        auto message = out.initApiChunk();
        message.setStatus(static_cast<std::uint16_t>(in.status));
        encodeOutcome(in.outcome, message);
        message.setEventId(in.eventId);
        message.setBody(toData(in.body));
        message.setIsLast(in.isLast);
    }

    void operator()(const JoinRequest &in)
    {
        auto message = out.initJoin();
        message.setVm(toText(in.vm));
        message.setPeer(toText(in.peer));
        message.setHoldsUpTo(in.completeUpTo);
        message.setFailureDomain(toText(in.failureDomain));
        message.setHasTerm(in.hasTerm);
    }

    void operator()(const JoinReply &in)
    {
        auto message = out.initJoinReply();
        message.setIsConfirmed(in.isConfirmed);
        encodeGroupView(in.group, message);
    }

    void operator()(const LeaderNotice &in)
    {
        encodeGroupView(in.group, out.initLeaderNotice());
    }

    void operator()(const TurnBegin &in)
    {
        encodeTurnBegin(in, out.initTurnBegin());
    }

    void operator()(const TurnBeginReply &in)
    {
        auto message = out.initTurnBeginReply();
        message.setStatus(static_cast<std::uint8_t>(in.status));
        message.setLeader(toText(in.leader));
        message.setHistory(toData(in.history));
        message.setBackend(toText(in.backend));
        message.setRetryAfterMs(in.retryAfterMs);
        if (in.version.isKnown()) {
            encodeServerVersion(in.version, message.initVersion());
        }
        if (!in.promptSource.empty()) {
            message.setPromptSource(toText(in.promptSource));
        }
    }

    void operator()(const StreamVersionRequest &in)
    {
        auto message = out.initStreamVersion();
        encodeStreamVersion(in.record, message.initRecord());
        message.setIsQuery(in.isQuery);
    }

    void operator()(const StreamVersionReply &in)
    {
        auto message = out.initStreamVersionReply();
        message.setStatus(static_cast<std::uint8_t>(in.status));
        encodeServerVersion(in.version, message.initVersion());
    }

    void operator()(const SuspectRequest &in)
    {
        encodeSuspectRequest(in, out.initSuspect());
    }

    void operator()(const SuspectReply &in)
    {
        auto message = out.initSuspectReply();
        message.setStatus(static_cast<std::uint8_t>(in.status));
        message.setEnds(in.ends);
    }

    void operator()(const AdmitRequest &in)
    {
        auto message = out.initAdmit();
        message.setAccount(toText(in.account));
        message.setRequest(toText(in.request));
        message.setAdmission(toText(in.admission));
    }

    void operator()(const AdmitReply &in)
    {
        auto message = out.initAdmitReply();
        message.setStatus(static_cast<std::uint8_t>(in.status));
        message.setRetryAfterMs(in.retryAfterMs);
    }

    void operator()(const TurnFinish &in)
    {
        encodeTurnFinish(in, out.initTurnFinish());
    }

    void operator()(const TurnFinishReply &in)
    {
        auto message = out.initTurnFinishReply();
        message.setIsDurable(in.isDurable);
        message.setLeader(toText(in.leader));
    }

    void operator()(const UpdateRequest &in)
    {
        encodeUpdateRequest(in, out.initNews());
    }

    void operator()(const UpdateReply &in)
    {
        encodeUpdateReply(in, out.initNewsReply());
    }

    void operator()(const Presence &in)
    {
        auto message = out.initPresence();
        message.setVm(toText(in.vm));
        message.setAddress(toText(in.address));
        message.setFailureDomain(toText(in.failureDomain));
        message.setIsReady(in.isReady);
        message.setIsDirectory(in.isDirectory);
        message.setLoadPermille(in.loadPermille);
        message.setIsAccepting(in.isAccepting);
    }

    void operator()(const TurnTextsRequest &in)
    {
        auto indexes = out.initTurnTexts(static_cast<unsigned>(in.indexes.size()));
        for (unsigned i = 0; i < indexes.size(); ++i) {
            indexes.set(i, in.indexes[i]);
        }
    }

    void operator()(const TurnTextsReply &in)
    {
        auto texts = out.initTurnTextsReply(static_cast<unsigned>(in.texts.size()));
        for (unsigned i = 0; i < texts.size(); ++i) {
            texts[i].setIndex(in.texts[i].index);
            texts[i].setText(toData(in.texts[i].text));
        }
    }

    void operator()(const FailureReply &reply)
    {
        const Error &in = reply.error;
        auto message = out.initFailure();
        message.setKind(std::string(answerFor(in.kind).name).c_str());
        message.setMessage(toText(in.message));
        encodeOutcome(in.outcome, message);
        message.setRetryAfterMs(
            static_cast<std::uint32_t>(in.retryAfter.value_or(std::chrono::milliseconds(0)).count()));
    }
};

} // namespace

void encodeBody(const FrameBody &body, schema::Frame::Body::Builder out)
{
    std::visit(BodyEncoder {out}, body);
}

} // namespace cardamompost
