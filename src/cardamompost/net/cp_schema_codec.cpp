#include "cp_schema_codec.hpp"

namespace cardamompost
{

void encodeEntries(const std::vector<LogEntry> &entries, capnp::List<schema::Entry>::Builder out)
{
    for (unsigned i = 0; i < entries.size(); ++i) {
        out[i].setIndex(entries[i].index);
        out[i].setTerm(entries[i].term);
        out[i].setKind(static_cast<std::uint8_t>(entries[i].kind));
        out[i].setPayload(toData(entries[i].payload));
    }
}

std::vector<LogEntry> decodeEntries(capnp::List<schema::Entry>::Reader in)
{
    std::vector<LogEntry> entries;
    entries.reserve(in.size());
    for (const auto entry : in) {
        entries.push_back({entry.getIndex(), entry.getTerm(), decodeEnum(entry.getKind(), EntryKind::Barrier),
                           fromData(entry.getPayload())});
    }
    return entries;
}

void encodeVm(const VmRecord &vm, schema::Vm::Builder out)
{
    out.setName(toText(vm.name));
    out.setBootId(vm.bootId);
    out.setHttpHost(toText(vm.http.host));
    out.setHttpPort(vm.http.port);
    out.setPeerHost(toText(vm.peer.host));
    out.setPeerPort(vm.peer.port);
    out.setFailureDomain(toText(vm.failureDomain));
    out.setIsKeeper(vm.isKeeper);
    out.setState(static_cast<std::uint8_t>(vm.state));
}

VmRecord decodeVm(schema::Vm::Reader in)
{
    VmRecord vm;
    vm.name = fromText(in.getName());
    vm.bootId = in.getBootId();
    vm.http = {fromText(in.getHttpHost()), in.getHttpPort()};
    vm.peer = {fromText(in.getPeerHost()), in.getPeerPort()};
    vm.failureDomain = fromText(in.getFailureDomain());
    vm.isKeeper = in.getIsKeeper();
    vm.state = decodeEnum(in.getState(), VmState::Lost);
    return vm;
}

void encodeBackendServer(const BackendServer &server, schema::BackendServer::Builder out)
{
    out.setId(toText(server.id));
    out.setService(toText(server.service));
    out.setAddress(toText(server.address.toString()));
    out.setFailureDomain(toText(server.failureDomain));
    out.setSlots(server.slots);
    out.setIsLeaving(server.isLeaving);
    out.setBorn(server.incarnation);
    out.setSoftwareVersion(toText(server.softwareVersion));
}

BackendServer decodeBackendServer(schema::BackendServer::Reader in)
{
    return {fromText(in.getId()),
            fromText(in.getService()),
            parseAddress(fromText(in.getAddress())).value_or(Address {}),
            fromText(in.getFailureDomain()),
            in.getSlots(),
            in.getIsLeaving(),
            in.getBorn(),
            fromText(in.getSoftwareVersion())};
}

std::vector<std::string> decodeTexts(capnp::List<capnp::Text>::Reader in)
{
    std::vector<std::string> texts;
    texts.reserve(in.size());
    for (const auto text : in) {
        texts.push_back(fromText(text));
    }
    return texts;
}

void encodeTexts(const std::vector<std::string> &texts, capnp::List<capnp::Text>::Builder out)
{
    for (unsigned i = 0; i < texts.size(); ++i) {
        out.set(i, toText(texts[i]));
    }
}

} // namespace cardamompost
