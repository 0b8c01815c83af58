#ifndef CARDAMOMPOST_CP_PEER_CLIENTS_HPP_INCLUDED
#define CARDAMOMPOST_CP_PEER_CLIENTS_HPP_INCLUDED

#include <cardamompost/net/cp_peer_client.hpp>

#include <unordered_map>

namespace cardamompost
{

//! Clients of the gateway's other processes, created on first use. Thread-safety: none.
class PeerClients
{
public:
    PeerClients(boost::asio::any_io_executor executor, PeerTraffic &traffic)
        : executor_(std::move(executor))
        , traffic_(traffic)
    {
    }

    //! Null if the name is not a valid address.
    [[nodiscard]] std::shared_ptr<PeerClient> client(const VmName &peer)
    {
        auto &client = clients_[peer];
        if (!client) {
            if (const std::optional<Address> address = parseAddress(peer)) {
                client = std::make_shared<PeerClient>(executor_, *address, nullptr, traffic_);
            }
        }
        return client;
    }
    //! Closes the connection to a peer; the next message opens a new one.
    void reconnect(const VmName &peer)
    {
        if (const auto found = clients_.find(peer); found != clients_.end() && found->second) {
            found->second->resetConnection();
        }
    }

private:
    boost::asio::any_io_executor executor_;
    PeerTraffic &traffic_;
    std::unordered_map<VmName, std::shared_ptr<PeerClient>> clients_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_PEER_CLIENTS_HPP_INCLUDED
