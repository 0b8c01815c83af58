#include "../net/cp_ledger_schema.hpp"

#include <cardamompost/ledger/cp_membership_cache.hpp>

#include <algorithm>

namespace cardamompost
{

bool MembershipCache::note(const GroupView &groupView)
{
    // Only a newer document is no reason to write: changes come by the thousand and tell nothing of the way.
    const bool isNew
        = groupView.leader != last_.leader || groupView.term != last_.term || groupView.members != last_.members;
    last_ = groupView;
    std::vector<VmName> peers = groupView.members;
    if (!groupView.leader.empty() && std::ranges::find(peers, groupView.leader) == peers.end()) {
        peers.push_back(groupView.leader);
    }
    for (const VmName &former : peers_) {
        if (peers.size() < maxPeers && std::ranges::find(peers, former) == peers.end()) {
            peers.push_back(former);
        }
    }
    peers_ = std::move(peers);
    return isNew;
}

std::string MembershipCache::encode(std::int64_t wallMs) const
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<schema::StoredPeerBook>();
    out.setWrittenAtMs(wallMs);
    encodeGroupView(last_, out.initLast());
    encodeTexts(peers_, out.initPeers(static_cast<unsigned>(peers_.size())));
    return toBytes(message);
}

Result<MembershipCache::Stored> MembershipCache::decode(const std::string &bytes)
{
    try {
        AlignedMessage message(bytes);
        const auto in = message.root<schema::StoredPeerBook>();
        Stored stored;
        stored.wallMs = in.getWrittenAtMs();
        stored.cache.last_ = decodeGroupView(in.getLast());
        stored.cache.peers_ = decodeTexts(in.getPeers());
        return stored;
    } catch (const kj::Exception &) {
        return makeError(ErrorKind::StorageCorrupt, "the bytes are not a peer book");
    }
}

} // namespace cardamompost
