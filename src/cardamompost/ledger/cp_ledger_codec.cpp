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

// What a turn takes in a snapshot besides its texts.
constexpr std::size_t turnOverheadBytes = 160;

void appendMessage(std::string &bytes, capnp::MessageBuilder &message)
{
    const std::string item = toBytes(message);
    const auto length = static_cast<std::uint32_t>(item.size());
    bytes.append(reinterpret_cast<const char *>(&length), sizeof(length));
    bytes += item;
}

//! The message at a place, which then moves behind it; nothing when it is not there as a whole.
std::optional<std::string> takeMessage(const std::string &bytes, std::size_t &begin)
{
    std::uint32_t length = 0;
    if (bytes.size() - begin < sizeof(length)) {
        return std::nullopt;
    }
    std::memcpy(&length, bytes.data() + begin, sizeof(length));
    if (bytes.size() - begin - sizeof(length) < length) {
        return std::nullopt;
    }
    const std::size_t from = begin + sizeof(length);
    begin = from + length;
    return bytes.substr(from, length);
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

class LedgerSnapshotCodec
{
public:
    static void encodeHead(const LedgerState &state, schema::LedgerSnapshot::Builder out)
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
            unsigned place = 0;
            for (const auto &[turn, tokens] : program.reservations) {
                reservations[place].setTurn(toText(turn));
                reservations[place++].setTokens(tokens);
            }
        }
    }

    static void decodeHead(LedgerState &state, schema::LedgerSnapshot::Reader in)
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
                program.reservations.emplace(fromText(reservation.getTurn()), reservation.getTokens());
            }
        }
    }

    static std::string encodeTurns(const LedgerState &state, std::string bytes)
    {
        for (const auto &[name, turn] : state.turns_) {
            capnp::MallocMessageBuilder message;
            auto item = message.initRoot<schema::LedgerSnapshot::KeptTurn>();
            item.setTurn(toText(name));
            item.setPrevious(toText(turn.previous));
            item.setExpiresMs(turn.expiresMs);
            item.setInput(toData(turn.input));
            item.setOutput(toData(turn.output));
            appendMessage(bytes, message);
        }
        return bytes;
    }

    static void decodeTurn(LedgerState &state, schema::LedgerSnapshot::KeptTurn::Reader in)
    {
        LedgerState::Turn turn {fromText(in.getPrevious()), in.getExpiresMs(), fromData(in.getInput()),
                                fromData(in.getOutput())};
        state.turnBytes_ += turn.input.size() + turn.output.size();
        state.turns_.emplace(fromText(in.getTurn()), std::move(turn));
    }
};

// A snapshot is a sequence of messages, each behind its length: one with all but the turns, then one a turn. As a
// single message it would stand in memory three times while it is made, which is more than the smallest VMs have.
std::string LedgerState::encode() const
{
    std::string bytes;
    bytes.reserve(turnBytes_ + turns_.size() * turnOverheadBytes);
    capnp::MallocMessageBuilder head;
    LedgerSnapshotCodec::encodeHead(*this, head.initRoot<schema::LedgerSnapshot>());
    appendMessage(bytes, head);
    return LedgerSnapshotCodec::encodeTurns(*this, std::move(bytes));
}

Result<LedgerState> LedgerState::decode(const std::string &bytes)
{
    LedgerState state;
    std::size_t begin = 0;
    bool isHead = true;
    try {
        while (begin < bytes.size()) {
            const std::optional<std::string> item = takeMessage(bytes, begin);
            if (!item) {
                return makeError(ErrorKind::StorageCorrupt, "the ledger's snapshot ends within a message");
            }
            visitMessage(*item, [&](auto &reader) {
                if (isHead) {
                    LedgerSnapshotCodec::decodeHead(state, reader.template getRoot<schema::LedgerSnapshot>());
                } else {
                    LedgerSnapshotCodec::decodeTurn(state, reader.template getRoot<schema::LedgerSnapshot::KeptTurn>());
                }
            });
            isHead = false;
        }
    } catch (const kj::Exception &) {
        return makeError(ErrorKind::StorageCorrupt, "the bytes are not a snapshot of the ledger");
    }
    return state;
}

} // namespace cardamompost
