#include "../net/cp_ledger_schema.hpp"

#include <cardamompost/ledger/cp_ledger_state.hpp>

namespace cardamompost
{

namespace
{

template<typename Visitor>
auto visitMessage(const std::string &bytes, Visitor visitor)
{
    // The reader wants whole, aligned words.
    const std::size_t words = bytes.size() / sizeof(capnp::word);
    auto aligned = kj::heapArray<capnp::word>(words);
    std::memcpy(aligned.begin(), bytes.data(), words * sizeof(capnp::word));
    capnp::FlatArrayMessageReader reader(aligned, readerOptions());
    return visitor(reader);
}

void encodeVmRecord(const LedgerVm &in, schema::LedgerVm::Builder out)
{
    out.setVm(toText(in.vm));
    out.setPeer(toText(in.peer));
    out.setIsRetiring(in.isRetiring);
}

LedgerVm decodeVmRecord(schema::LedgerVm::Reader in)
{
    return {fromText(in.getVm()), fromText(in.getPeer()), in.getIsRetiring()};
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
    } else {
        encodeVmRecord(std::get<LedgerVm>(command.action), out.initVm());
    }
    return toBytes(message);
}

Result<LedgerCommand> decodeLedgerCommand(const std::string &bytes)
{
    try {
        return visitMessage(bytes,
                            [](auto &reader) { return readCommand(reader.template getRoot<schema::LedgerCommand>()); });
    } catch (const kj::Exception &) {
        return makeError(ErrorKind::InvalidRequest, "the bytes are not a command of the ledger");
    }
}

std::string LedgerState::encode() const
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<schema::LedgerSnapshot>();
    out.setNowMs(nowMs_);
    out.setDocumentVersion(document_.version);
    out.setDocument(toData(document_.bytes));
    auto vms = out.initVms(static_cast<unsigned>(vms_.size()));
    unsigned index = 0;
    for (const auto &[name, vm] : vms_) {
        encodeVmRecord(vm, vms[index++]);
    }
    auto programs = out.initPrograms(static_cast<unsigned>(programs_.size()));
    index = 0;
    for (const auto &[name, program] : programs_) {
        auto item = programs[index++];
        item.setProgram(toText(name));
        item.setSpent(program.spent);
        item.setExpiresMs(program.expiresMs);
        auto reservations = item.initReservations(static_cast<unsigned>(program.reservations.size()));
        unsigned place = 0;
        for (const auto &[turn, tokens] : program.reservations) {
            reservations[place].setTurn(toText(turn));
            reservations[place++].setTokens(tokens);
        }
    }
    auto turns = out.initTurns(static_cast<unsigned>(turns_.size()));
    index = 0;
    for (const auto &[name, turn] : turns_) {
        auto item = turns[index++];
        item.setTurn(toText(name));
        item.setPrevious(toText(turn.previous));
        item.setExpiresMs(turn.expiresMs);
        item.setInput(toData(turn.input));
        item.setOutput(toData(turn.output));
    }
    return toBytes(message);
}

Result<LedgerState> LedgerState::decode(const std::string &bytes)
{
    if (bytes.empty()) {
        return LedgerState {};
    }
    try {
        return visitMessage(bytes, [](auto &reader) {
            const auto in = reader.template getRoot<schema::LedgerSnapshot>();
            LedgerState state;
            state.nowMs_ = in.getNowMs();
            state.document_ = {in.getDocumentVersion(), fromData(in.getDocument())};
            for (const auto vm : in.getVms()) {
                state.applyVm(decodeVmRecord(vm));
            }
            for (const auto item : in.getPrograms()) {
                Program &program = state.programs_[fromText(item.getProgram())];
                program.spent = item.getSpent();
                program.expiresMs = item.getExpiresMs();
                for (const auto reservation : item.getReservations()) {
                    program.reservations.emplace(fromText(reservation.getTurn()), reservation.getTokens());
                }
            }
            for (const auto item : in.getTurns()) {
                Turn turn {fromText(item.getPrevious()), item.getExpiresMs(), fromData(item.getInput()),
                           fromData(item.getOutput())};
                state.turnBytes_ += turn.input.size() + turn.output.size();
                state.turns_.emplace(fromText(item.getTurn()), std::move(turn));
            }
            return state;
        });
    } catch (const kj::Exception &) {
        return makeError(ErrorKind::StorageCorrupt, "the bytes are not a snapshot of the ledger");
    }
}

} // namespace cardamompost
