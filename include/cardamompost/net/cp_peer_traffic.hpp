#ifndef CARDAMOMPOST_CP_PEER_TRAFFIC_HPP_INCLUDED
#define CARDAMOMPOST_CP_PEER_TRAFFIC_HPP_INCLUDED

#include <atomic>
#include <cstdint>

namespace cardamompost
{

//! Bytes of frames exchanged with peers, without TCP and TLS overhead.
struct PeerTraffic {
    std::atomic<std::uint64_t> sent {0};
    std::atomic<std::uint64_t> received {0};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_PEER_TRAFFIC_HPP_INCLUDED
