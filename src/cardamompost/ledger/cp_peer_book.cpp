#include "../net/cp_ledger_schema.hpp"

#include <cardamompost/ledger/cp_peer_book.hpp>

#include <algorithm>

namespace cardamompost
{

bool PeerBook::note(const GroupSighting &sighting)
{
    // Only a newer document is no reason to write: changes come by the thousand and tell nothing of the way.
    const bool isNew
        = sighting.leader != last_.leader || sighting.term != last_.term || sighting.members != last_.members;
    last_ = sighting;
    std::vector<VmName> peers = sighting.members;
    if (!sighting.leader.empty() && std::ranges::find(peers, sighting.leader) == peers.end()) {
        peers.push_back(sighting.leader);
    }
    for (const VmName &former : peers_) {
        if (peers.size() < mostPeers && std::ranges::find(peers, former) == peers.end()) {
            peers.push_back(former);
        }
    }
    peers_ = std::move(peers);
    return isNew;
}

std::string PeerBook::encode(std::int64_t wallMs) const
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<schema::StoredPeerBook>();
    out.setWrittenAtMs(wallMs);
    encodeSighting(last_, out.initLast());
    encodeTexts(peers_, out.initPeers(static_cast<unsigned>(peers_.size())));
    return toBytes(message);
}

Result<PeerBook::Stored> PeerBook::decode(const std::string &bytes)
{
    try {
        AlignedMessage message(bytes);
        const auto in = message.root<schema::StoredPeerBook>();
        Stored stored;
        stored.wallMs = in.getWrittenAtMs();
        stored.book.last_ = decodeSighting(in.getLast());
        stored.book.peers_ = decodeTexts(in.getPeers());
        return stored;
    } catch (const kj::Exception &) {
        return makeError(ErrorKind::StorageCorrupt, "the bytes are not a peer book");
    }
}

} // namespace cardamompost
