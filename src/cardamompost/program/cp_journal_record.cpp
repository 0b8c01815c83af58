#include "../net/cp_schema_codec.hpp"

#include <cardamompost/program/cp_journal_record.hpp>

#include <kj/exception.h>

namespace cardamompost
{

namespace
{

struct RecordEncoder {
    schema::JournalRecord::Builder out;

    void operator()(const ProgramCreated &in)
    {
        auto created = out.initCreated();
        created.setCaller(toText(in.caller));
        created.setDeployment(toText(in.deployment));
        created.setWorkClass(toText(in.workClass));
        created.setBudgetTokens(in.budgetTokens);
        created.setDeadlineMs(in.deadlineMs);
        created.setIdempotencyKey(toText(in.idempotencyKey));
        created.setBodyHash(in.bodyHash);
        created.setIsSingleCall(in.isSingleCall);
        created.setParent(toText(in.parent));
    }

    void operator()(const CallAccepted &in)
    {
        auto accepted = out.initAccepted();
        accepted.setSequence(in.sequence);
        accepted.setIdempotencyKey(toText(in.idempotencyKey));
        accepted.setBodyHash(in.bodyHash);
        accepted.setKind(static_cast<std::uint8_t>(in.kind));
        accepted.setIsIdempotent(in.isIdempotent);
        accepted.setReservedTokens(in.reservedTokens);
        accepted.setRequest(toData(in.request));
    }

    void operator()(const CallIntent &in)
    {
        auto intent = out.initIntent();
        intent.setSequence(in.sequence);
        intent.setAttempt(in.attempt);
        intent.setBackend(toText(in.backend));
        intent.setDeadlineMs(in.deadlineMs);
        intent.setRootAttempt(in.rootAttempt);
        intent.setKeptTokens(in.priorTokens);
        intent.setKeptText(toData(in.priorText));
    }

    void operator()(const CallResult &in)
    {
        auto result = out.initResult();
        result.setSequence(in.sequence);
        result.setAttempt(in.attempt);
        result.setOutcome(static_cast<std::uint8_t>(in.outcome));
        result.setErrorKind(toText(in.errorKind));
        result.setErrorMessage(toText(in.errorMessage));
        result.setStatus(in.status);
        result.setAnswer(toData(in.answer));
        result.setPromptTokens(in.promptTokens);
        result.setCompletionTokens(in.completionTokens);
        result.setCachedTokens(in.cachedTokens);
        result.setRootAttempt(in.rootAttempt);
        result.setIsCutOff(in.isCutOff);
    }

    void operator()(const CallRefused &in)
    {
        auto refused = out.initRefused();
        refused.setIdempotencyKey(toText(in.idempotencyKey));
        refused.setErrorKind(toText(in.errorKind));
        refused.setErrorMessage(toText(in.errorMessage));
    }

    void operator()(const ProgramEnded &in)
    {
        out.setEnded(toText(in.reason));
    }

    void operator()(const BackendReleased &in)
    {
        out.setReleased(toText(in.backend));
    }
};

ProgramCreated decodeCreated(schema::ProgramCreated::Reader in)
{
    return {fromText(in.getCaller()), fromText(in.getDeployment()), fromText(in.getWorkClass()),
            in.getBudgetTokens(),     in.getDeadlineMs(),           fromText(in.getIdempotencyKey()),
            in.getBodyHash(),         in.getIsSingleCall(),         fromText(in.getParent())};
}

CallAccepted decodeAccepted(schema::CallAccepted::Reader in)
{
    return {in.getSequence(),         fromText(in.getIdempotencyKey()),
            in.getBodyHash(),         decodeEnum(in.getKind(), CallKind::Service),
            in.getIsIdempotent(),     in.getReservedTokens(),
            fromData(in.getRequest())};
}

CallResult decodeResult(schema::CallResult::Reader in)
{
    CallResult out;
    out.sequence = in.getSequence();
    out.attempt = in.getAttempt();
    out.outcome = decodeEnum(in.getOutcome(), Outcome::Unknown);
    out.errorKind = fromText(in.getErrorKind());
    out.errorMessage = fromText(in.getErrorMessage());
    out.status = in.getStatus();
    out.answer = fromData(in.getAnswer());
    out.promptTokens = in.getPromptTokens();
    out.completionTokens = in.getCompletionTokens();
    out.cachedTokens = in.getCachedTokens();
    out.rootAttempt = in.getRootAttempt();
    out.isCutOff = in.getIsCutOff();
    return out;
}

void decodeBody(schema::JournalRecord::Reader in, JournalRecord &out)
{
    switch (in.which()) {
    case schema::JournalRecord::CREATED:
        out.body = decodeCreated(in.getCreated());
        break;
    case schema::JournalRecord::ACCEPTED:
        out.body = decodeAccepted(in.getAccepted());
        break;
    case schema::JournalRecord::INTENT: {
        const auto intent = in.getIntent();
        out.body = CallIntent {intent.getSequence(),          intent.getAttempt(),     fromText(intent.getBackend()),
                               intent.getDeadlineMs(),        intent.getRootAttempt(), intent.getKeptTokens(),
                               fromData(intent.getKeptText())};
        break;
    }
    case schema::JournalRecord::RESULT:
        out.body = decodeResult(in.getResult());
        break;
    case schema::JournalRecord::REFUSED: {
        const auto refused = in.getRefused();
        out.body = CallRefused {fromText(refused.getIdempotencyKey()), fromText(refused.getErrorKind()),
                                fromText(refused.getErrorMessage())};
        break;
    }
    case schema::JournalRecord::ENDED:
        out.body = ProgramEnded {fromText(in.getEnded())};
        break;
    case schema::JournalRecord::RELEASED:
        out.body = BackendReleased {fromText(in.getReleased())};
        break;
    }
}

} // namespace

std::string encodeRecord(const JournalRecord &record)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<schema::JournalRecord>();
    out.setProgram(toText(record.program));
    out.setWallMs(record.wallMs);
    std::visit(RecordEncoder {out}, record.body);
    return toBytes(message);
}

Result<JournalRecord> decodeRecord(std::string_view bytes)
{
    try {
        AlignedMessage message(bytes);
        const auto in = message.root<schema::JournalRecord>();
        JournalRecord record;
        record.program = fromText(in.getProgram());
        record.wallMs = in.getWallMs();
        decodeBody(in, record);
        return record;
    } catch (const kj::Exception &error) {
        return makeError(ErrorKind::StorageCorrupt,
                         std::string("malformed journal record: ") + error.getDescription().cStr());
    }
}

} // namespace cardamompost
