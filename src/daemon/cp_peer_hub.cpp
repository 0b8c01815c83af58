#include "cp_peer_hub.hpp"

#include "cp_control_replica.hpp"

namespace cardamompost
{

PeerHub::PeerHub(boost::asio::any_io_executor executor, std::shared_ptr<boost::asio::ssl::context> tls,
                 PeerTraffic &traffic, const std::vector<KeeperPeer> &keepers)
    : executor_(std::move(executor))
    , tls_(std::move(tls))
    , traffic_(traffic)
{
    for (const KeeperPeer &keeper : keepers) {
        setAddress(keeper.name, keeper.address);
    }
}

void PeerHub::setAddress(const VmName &name, const Address &address)
{
    const std::lock_guard lock(mutex_);
    Peer &peer = peers_[name];
    if (peer.client && peer.address == address) {
        return;
    }
    if (peer.client) {
        peer.client->close();
    }
    peer = {address, std::make_shared<PeerClient>(executor_, address, tls_, traffic_)};
}

std::shared_ptr<PeerClient> PeerHub::client(const VmName &name)
{
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(name);
    return found == peers_.end() ? nullptr : found->second.client;
}

void PeerHub::update(const ControlView &view)
{
    for (const auto &[name, vm] : view.state.vms()) {
        setAddress(name, vm.peer);
    }
}

void PeerHub::closeAll()
{
    const std::lock_guard lock(mutex_);
    for (auto &[name, peer] : peers_) {
        peer.client->close();
    }
}

} // namespace cardamompost
