#include "../net/cp_ledger_schema.hpp"

#include <cardamompost/ledger/cp_ledger_state.hpp>

namespace cardamompost
{

namespace
{

void encodeVmRecord(const LedgerVm &in, schema::LedgerVm::Builder out)
{
    out.setVm(toText(in.vm));
    out.setPeer(toText(in.peer));
    out.setIsRetiring(in.isRetiring);
    out.setFailureDomain(toText(in.failureDomain));
}

LedgerVm decodeVmRecord(schema::LedgerVm::Reader in)
{
    return {fromText(in.getVm()), fromText(in.getPeer()), in.getIsRetiring(), fromText(in.getFailureDomain())};
}

void encodeUsage(const UsageReport &in, capnp::List<schema::AccountUsage>::Builder out)
{
    for (unsigned i = 0; i < out.size(); ++i) {
        out[i].setAccount(toText(in.usage[i].account));
        out[i].setRequests(in.usage[i].requests);
    }
}

UsageReport decodeUsage(capnp::List<schema::AccountUsage>::Reader in)
{
    UsageReport report;
    for (const auto usage : in) {
        report.usage.push_back({fromText(usage.getAccount()), usage.getRequests()});
    }
    return report;
}

LedgerCommand readCommand(schema::LedgerCommand::Reader in)
{
    LedgerCommand command;
    command.nowMs = in.getNowMs();
    switch (in.which()) {
    case schema::LedgerCommand::DOCUMENT:
        command.action = RouteDocumentPut {in.getDocument().getVersion(), fromData(in.getDocument().getBytes())};
        break;
    case schema::LedgerCommand::RESERVE:
        command.action = decodeTurnBegin(in.getReserve());
        break;
    case schema::LedgerCommand::FINISH:
        command.action = decodeTurnFinish(in.getFinish());
        break;
    case schema::LedgerCommand::VM:
        command.action = decodeVmRecord(in.getVm());
        break;
    case schema::LedgerCommand::STREAM:
        command.action = decodeStreamVersion(in.getStream());
        break;
    case schema::LedgerCommand::BACKEND_END:
        command.action = decodeBackendEnd(in.getBackendEnd());
        break;
    case schema::LedgerCommand::SUSPECT_CLEARANCE:
        command.action = SuspectClearance {in.getSuspectClearance().getRequest(),
                                           fromText(in.getSuspectClearance().getSoftwareVersion())};
        break;
    case schema::LedgerCommand::USAGE:
        command.action = decodeUsage(in.getUsage());
        break;
    }
    return command;
}

} // namespace

std::string encodeLedgerCommand(const LedgerCommand &command)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<schema::LedgerCommand>();
    out.setNowMs(command.nowMs);
    if (const auto *put = std::get_if<RouteDocumentPut>(&command.action)) {
        out.initDocument().setVersion(put->version);
        out.getDocument().setBytes(toData(put->bytes));
    } else if (const auto *begin = std::get_if<TurnBegin>(&command.action)) {
        encodeTurnBegin(*begin, out.initReserve());
    } else if (const auto *finish = std::get_if<TurnFinish>(&command.action)) {
        encodeTurnFinish(*finish, out.initFinish());
    } else if (const auto *stream = std::get_if<StreamVersion>(&command.action)) {
        encodeStreamVersion(*stream, out.initStream());
    } else if (const auto *end = std::get_if<BackendEnd>(&command.action)) {
        encodeBackendEnd(*end, out.initBackendEnd());
    } else if (const auto *clearance = std::get_if<SuspectClearance>(&command.action)) {
        out.initSuspectClearance().setRequest(clearance->request);
        out.getSuspectClearance().setSoftwareVersion(toText(clearance->softwareVersion));
    } else if (const auto *report = std::get_if<UsageReport>(&command.action)) {
        encodeUsage(*report, out.initUsage(static_cast<unsigned>(report->usage.size())));
    } else {
        encodeVmRecord(std::get<LedgerVm>(command.action), out.initVm());
    }
    return toBytes(message);
}

Result<LedgerCommand> decodeLedgerCommand(const std::string &bytes)
{
    try {
        AlignedMessage message(bytes);
        return readCommand(message.root<schema::LedgerCommand>());
    } catch (const kj::Exception &) {
        return makeError(ErrorKind::InvalidRequest, "invalid ledger command");
    }
}

class LedgerSnapshotCodec
{
public:
    static void encode(const LedgerState &state, schema::LedgerSnapshot::Builder out)
    {
        out.setNowMs(state.nowMs_);
        out.setDocumentVersion(state.document_.version);
        out.setDocument(toData(state.document_.bytes));
        auto vms = out.initVms(static_cast<unsigned>(state.vms_.size()));
        unsigned index = 0;
        for (const auto &[name, vm] : state.vms_) {
            encodeVmRecord(vm, vms[index++]);
        }
        auto programs = out.initPrograms(static_cast<unsigned>(state.programs_.size()));
        index = 0;
        for (const auto &[name, program] : state.programs_) {
            auto item = programs[index++];
            item.setProgram(toText(name));
            item.setSpent(program.spent);
            item.setExpiresMs(program.expiresMs);
            auto reservations = item.initReservations(static_cast<unsigned>(program.reservations.size()));
            unsigned position = 0;
            for (const auto &[turn, reservation] : program.reservations) {
                reservations[position].setTurn(toText(turn));
                if (!reservation.admission.empty()) {
                    reservations[position].setAdmission(toText(reservation.admission));
                }
                reservations[position++].setTokens(reservation.tokens);
            }
        }
        encodeTurns(state, out.initTurns(static_cast<unsigned>(state.turns_.size())));
        encodeUsageLog(state.usage_, out);
        encodeStreams(state, out.initStreams(static_cast<unsigned>(state.streams_.size())));
        encodeQuarantine(state.quarantine_, out);
    }

    static void decode(LedgerState &state, schema::LedgerSnapshot::Reader in)
    {
        state.nowMs_ = in.getNowMs();
        state.document_ = {in.getDocumentVersion(), fromData(in.getDocument())};
        for (const auto vm : in.getVms()) {
            state.applyVm(decodeVmRecord(vm));
        }
        for (const auto item : in.getPrograms()) {
            LedgerState::Program &program = state.programs_[fromText(item.getProgram())];
            program.spent = item.getSpent();
            program.expiresMs = item.getExpiresMs();
            for (const auto reservation : item.getReservations()) {
                program.reservations.emplace(
                    fromText(reservation.getTurn()),
                    LedgerState::Program::Reservation {reservation.getTokens(), fromText(reservation.getAdmission())});
            }
        }
        state.turns_.reserve(in.getTurns().size());
        for (const auto item : in.getTurns()) {
            const LedgerState::Turn turn {fromText(item.getPrevious()), item.getExpiresMs(), item.getIndex(),
                                          item.getBytes()};
            state.turnBytes_ += turn.bytes;
            state.turns_.emplace(fromText(item.getTurn()), turn);
        }
        for (const auto item : in.getUsage()) {
            state.usage_.restore(fromText(item.getAccount()), {item.getAtMs(), item.getRequests()});
        }
        state.streams_.reserve(in.getStreams().size());
        for (const auto item : in.getStreams()) {
            const LedgerState::Stream stream {decodeServerVersion(item.getVersion()), item.getAttempt(),
                                              item.getExpiresMs()};
            state.streams_.emplace(fromText(item.getStream()), stream);
        }
        Quarantine::Records records;
        for (const auto item : in.getSuspects()) {
            Quarantine::Record &record = records[item.getRequest()];
            record.lastEndMs = item.getLastEndMs();
            for (const auto end : item.getEnds()) {
                record.ends.push_back(decodeBackendEnd(end));
            }
        }
        state.quarantine_.restore(std::move(records), in.getSuspectsVersion());
    }

private:
    using KeptTurns = capnp::List<schema::LedgerSnapshot::KeptTurn>::Builder;

    static void encodeUsageLog(const UsageLog &usage, schema::LedgerSnapshot::Builder snapshot)
    {
        std::size_t count = 0;
        for (const auto &[account, items] : usage.items()) {
            count += items.size();
        }
        auto out = snapshot.initUsage(static_cast<unsigned>(count));
        unsigned position = 0;
        for (const auto &[account, items] : usage.items()) {
            for (const UsageLog::Item &item : items) {
                out[position].setAccount(toText(account));
                out[position].setAtMs(item.atMs);
                out[position++].setRequests(item.requests);
            }
        }
    }

    static void encodeQuarantine(const Quarantine &quarantine, schema::LedgerSnapshot::Builder snapshot)
    {
        snapshot.setSuspectsVersion(quarantine.suspects().version());
        auto out = snapshot.initSuspects(static_cast<unsigned>(quarantine.records().size()));
        unsigned position = 0;
        for (const auto &[request, record] : quarantine.records()) {
            auto item = out[position++];
            item.setRequest(request);
            item.setLastEndMs(record.lastEndMs);
            auto ends = item.initEnds(static_cast<unsigned>(record.ends.size()));
            for (unsigned i = 0; i < ends.size(); ++i) {
                encodeBackendEnd(record.ends[i], ends[i]);
            }
        }
    }

    static void encodeStreams(const LedgerState &state, capnp::List<schema::LedgerSnapshot::KeptStream>::Builder out)
    {
        unsigned position = 0;
        for (const auto &[name, stream] : state.streams_) {
            auto item = out[position++];
            item.setStream(toText(name));
            encodeServerVersion(stream.version, item.initVersion());
            item.setAttempt(stream.attempt);
            item.setExpiresMs(stream.expiresMs);
        }
    }

    static void encodeTurns(const LedgerState &state, KeptTurns out)
    {
        unsigned position = 0;
        for (const auto &[name, turn] : state.turns_) {
            auto item = out[position++];
            item.setTurn(toText(name));
            item.setPrevious(toText(turn.previous));
            item.setExpiresMs(turn.expiresMs);
            item.setIndex(turn.index);
            item.setBytes(turn.bytes);
        }
    }
};

std::string LedgerState::encode() const
{
    capnp::MallocMessageBuilder message;
    LedgerSnapshotCodec::encode(*this, message.initRoot<schema::LedgerSnapshot>());
    return toBytes(message);
}

Result<LedgerState> LedgerState::decode(const std::string &bytes)
{
    LedgerState state;
    try {
        AlignedMessage message(bytes);
        LedgerSnapshotCodec::decode(state, message.root<schema::LedgerSnapshot>());
    } catch (const kj::Exception &) {
        return makeError(ErrorKind::StorageCorrupt, "invalid ledger snapshot");
    }
    return state;
}

} // namespace cardamompost
