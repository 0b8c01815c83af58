#ifndef CARDAMOMPOST_CP_PEER_TRAFFIC_HPP_INCLUDED
#define CARDAMOMPOST_CP_PEER_TRAFFIC_HPP_INCLUDED

#include <cardamompost/net/cp_frame.hpp>

#include <atomic>

namespace cardamompost
{

//! Frames exchanged with peers, without TCP and TLS overhead. Thread-safe.
struct PeerTraffic {
    struct Count {
        std::atomic<std::uint64_t> messages {0};
        std::atomic<std::uint64_t> bytes {0};

        void add(std::uint64_t messageBytes)
        {
            messages.fetch_add(1, std::memory_order_relaxed);
            bytes.fetch_add(messageBytes, std::memory_order_relaxed);
        }
    };
    //! By the index of the alternative in FrameBody.
    using CountByBody = std::array<Count, std::variant_size_v<FrameBody>>;

    //! Bytes of all frames.
    std::atomic<std::uint64_t> sent {0};
    std::atomic<std::uint64_t> received {0};
    CountByBody sentByBody;
    CountByBody receivedByBody;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_PEER_TRAFFIC_HPP_INCLUDED
