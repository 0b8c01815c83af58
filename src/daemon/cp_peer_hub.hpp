#ifndef CARDAMOMPOST_CP_PEER_HUB_HPP_INCLUDED
#define CARDAMOMPOST_CP_PEER_HUB_HPP_INCLUDED

#include <cardamompost/config/cp_settings.hpp>
#include <cardamompost/net/cp_peer_client.hpp>

#include <mutex>

namespace cardamompost
{

struct ControlView;

//! Peer clients by VM name. Thread-safe.
class PeerHub
{
public:
    PeerHub(boost::asio::any_io_executor executor, std::shared_ptr<boost::asio::ssl::context> tls, PeerTraffic &traffic,
            const std::vector<KeeperPeer> &keepers);

    //! Null if the VM's address is unknown.
    [[nodiscard]] std::shared_ptr<PeerClient> client(const VmName &name);
    //! Updates the addresses from the control state.
    void update(const ControlView &view);
    void closeAll();

private:
    struct Peer {
        Address address;
        std::shared_ptr<PeerClient> client;
    };

    void setAddress(const VmName &name, const Address &address);

    boost::asio::any_io_executor executor_;
    std::shared_ptr<boost::asio::ssl::context> tls_;
    PeerTraffic &traffic_;
    std::mutex mutex_;
    std::map<VmName, Peer> peers_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_PEER_HUB_HPP_INCLUDED
