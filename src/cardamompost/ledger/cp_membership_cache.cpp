#include "../net/cp_ledger_schema.hpp"

#include <cardamompost/ledger/cp_membership_cache.hpp>

#include <algorithm>

namespace cardamompost
{

bool MembershipCache::update(const GroupView &groupView)
{
    // The document version is ignored: it changes often and does not help to find the group.
    const bool hasChanged = groupView.leader != lastView_.leader || groupView.term != lastView_.term
        || groupView.members != lastView_.members;
    lastView_ = groupView;
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
    return hasChanged;
}

std::string MembershipCache::encode(std::int64_t wallMs) const
{
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<schema::StoredPeerBook>();
    out.setWrittenAtMs(wallMs);
    encodeGroupView(lastView_, out.initLast());
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
        stored.cache.lastView_ = decodeGroupView(in.getLast());
        stored.cache.peers_ = decodeTexts(in.getPeers());
        return stored;
    } catch (const kj::Exception &) {
        return makeError(ErrorKind::StorageCorrupt, "invalid membership cache");
    }
}

} // namespace cardamompost
