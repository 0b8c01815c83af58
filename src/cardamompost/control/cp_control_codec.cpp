#include "../net/cp_schema_codec.hpp"

#include <cardamompost/control/cp_control_state.hpp>

#include <kj/exception.h>

namespace cardamompost
{

namespace
{

void encodeChange(const SectionChange &change, schema::SectionChange::Builder out)
{
    out.setHeader(toText(change.header));
    out.setAfter(toText(change.after));
    out.setText(toText(change.text));
}

SectionChange decodeChange(schema::SectionChange::Reader in)
{
    return {fromText(in.getHeader()), fromText(in.getAfter()), fromText(in.getText())};
}

void encodeConfiguration(const ConfigurationChange &change, schema::ConfigurationChange::Builder out)
{
    out.setRequestId(toText(change.requestId));
    out.setBaseVersion(change.baseVersion);
    out.setAuthor(toText(change.author));
    out.setDocumentHash(change.documentHash);
    auto upserts = out.initUpserts(static_cast<unsigned>(change.delta.upserts.size()));
    for (unsigned i = 0; i < upserts.size(); ++i) {
        encodeChange(change.delta.upserts[i], upserts[i]);
    }
    encodeTexts(change.delta.removals, out.initRemovals(static_cast<unsigned>(change.delta.removals.size())));
}

ConfigurationChange decodeConfiguration(schema::ConfigurationChange::Reader in)
{
    ConfigurationChange change {
        fromText(in.getRequestId()), in.getBaseVersion(), fromText(in.getAuthor()), in.getDocumentHash(), {}};
    for (const auto upsert : in.getUpserts()) {
        change.delta.upserts.push_back(decodeChange(upsert));
    }
    change.delta.removals = decodeTexts(in.getRemovals());
    return change;
}

void encodeMove(const PartitionMove &move, schema::PartitionMove::Builder out)
{
    out.setPartition(move.partition);
    out.setExpectedEpoch(move.expectedEpoch);
    out.setOwner(toText(move.owner));
    encodeTexts(move.keepers, out.initKeepers(static_cast<unsigned>(move.keepers.size())));
}

ControlCommand decodeCommandMessage(schema::ControlCommand::Reader in)
{
    if (in.isConfiguration()) {
        return decodeConfiguration(in.getConfiguration());
    }
    if (in.isVm()) {
        return decodeVm(in.getVm());
    }
    std::vector<PartitionMove> moves;
    for (const auto move : in.getPartitions()) {
        moves.push_back(
            {move.getPartition(), move.getExpectedEpoch(), fromText(move.getOwner()), decodeTexts(move.getKeepers())});
    }
    return moves;
}

} // namespace

std::string encodeCommand(const ControlCommand &command)
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<schema::ControlCommand>();
    if (const auto *change = std::get_if<ConfigurationChange>(&command)) {
        encodeConfiguration(*change, out.initConfiguration());
    } else if (const auto *vm = std::get_if<VmRecord>(&command)) {
        encodeVm(*vm, out.initVm());
    } else {
        const auto &moves = std::get<std::vector<PartitionMove>>(command);
        auto list = out.initPartitions(static_cast<unsigned>(moves.size()));
        for (unsigned i = 0; i < list.size(); ++i) {
            encodeMove(moves[i], list[i]);
        }
    }
    return toBytes(message);
}

Result<ControlCommand> decodeCommand(std::string_view bytes)
{
    try {
        return decodeCommandMessage(AlignedMessage(bytes).root<schema::ControlCommand>());
    } catch (const kj::Exception &error) {
        return makeError(ErrorKind::InvalidRequest,
                         std::string("cannot decode control command: ") + error.getDescription().cStr());
    }
}

std::string ControlState::encode() const
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<schema::ControlSnapshot>();
    out.setConfigurationVersion(version_);
    auto sections = out.initSections(static_cast<unsigned>(document_.sections().size()));
    for (unsigned i = 0; i < sections.size(); ++i) {
        encodeChange({document_.sections()[i].header, {}, document_.sections()[i].text}, sections[i]);
    }
    auto requests = out.initRequests(static_cast<unsigned>(requestOrder_.size()));
    for (unsigned i = 0; i < requests.size(); ++i) {
        const RequestRecord &record = requests_.at(requestOrder_[i]);
        requests[i].setId(toText(requestOrder_[i]));
        requests[i].setVersion(record.version);
        requests[i].setHash(record.hash);
    }
    auto vms = out.initVms(static_cast<unsigned>(vms_.size()));
    unsigned next = 0;
    for (const auto &[name, vm] : vms_) {
        encodeVm(vm, vms[next++]);
    }
    auto partitions = out.initPartitions(static_cast<unsigned>(partitions_.size()));
    for (unsigned i = 0; i < partitions.size(); ++i) {
        partitions[i].setEpoch(partitions_[i].epoch);
        partitions[i].setOwner(toText(partitions_[i].owner));
        encodeTexts(partitions_[i].keepers,
                    partitions[i].initKeepers(static_cast<unsigned>(partitions_[i].keepers.size())));
    }
    return toBytes(message);
}

Result<ControlState> ControlState::decode(std::string_view bytes)
{
    try {
        AlignedMessage message(bytes);
        const auto in = message.root<schema::ControlSnapshot>();
        const auto partitions = in.getPartitions();
        ControlState state(partitions.size());
        state.version_ = in.getConfigurationVersion();
        DocumentDelta delta;
        std::string previous;
        for (const auto section : in.getSections()) {
            delta.upserts.push_back({fromText(section.getHeader()), previous, fromText(section.getText())});
            previous = delta.upserts.back().header;
        }
        state.document_.apply(delta);
        for (const auto request : in.getRequests()) {
            state.recordRequest(fromText(request.getId()), {request.getVersion(), request.getHash()});
        }
        for (const auto vm : in.getVms()) {
            VmRecord record = decodeVm(vm);
            state.vms_.emplace(record.name, std::move(record));
        }
        for (unsigned i = 0; i < partitions.size(); ++i) {
            const auto record = partitions[i];
            state.partitions_[i] = {record.getEpoch(), fromText(record.getOwner()), decodeTexts(record.getKeepers())};
        }
        return state;
    } catch (const kj::Exception &error) {
        return makeError(ErrorKind::StorageCorrupt,
                         std::string("cannot decode control snapshot: ") + error.getDescription().cStr());
    }
}

} // namespace cardamompost
