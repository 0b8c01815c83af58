#ifndef CARDAMOMPOST_CP_BACKEND_LIST_HPP_INCLUDED
#define CARDAMOMPOST_CP_BACKEND_LIST_HPP_INCLUDED

#include <cardamompost/config/cp_section_reader.hpp>

#include <tuple>
#include <vector>

namespace cardamompost
{

//! Software version of the servers of one service. Versions have no order.
struct ServerVersion {
    std::string service;
    //! Empty if unknown.
    std::string softwareVersion;

    [[nodiscard]] bool isKnown() const
    {
        return !softwareVersion.empty();
    }
    friend bool operator==(const ServerVersion &, const ServerVersion &) = default;
};

//! Cached prompts are of use only to servers of the same service and software version. Unknown versions count as equal.
[[nodiscard]] inline bool canExchangePrompts(const ServerVersion &left, const ServerVersion &right)
{
    return left.service == right.service
        && (!left.isKnown() || !right.isKnown() || left.softwareVersion == right.softwareVersion);
}

//! An item of the list of active and draining backend servers.
struct BackendServer {
    std::string id;
    std::string service;
    Address address;
    std::string failureDomain;
    unsigned slots = 1;
    //! The server drains and gets no new requests.
    bool isLeaving = false;
    //! Start time that the server reports, in milliseconds since 1970; 0 if it reports none. A server that restarts
    //! under the same id has a higher value and keeps no state of its previous incarnation.
    std::uint64_t incarnation = 0;
    //! Version of the server's software, without an order; empty if unknown.
    std::string softwareVersion {};

    [[nodiscard]] ServerVersion version() const
    {
        return {service, softwareVersion};
    }
    friend bool operator==(const BackendServer &, const BackendServer &) = default;
};

//! Keeps one server per id: the one with the latest incarnation, or the last one of equal incarnations.
//!
//! Stale data may list a server with an incarnation from before its restart. Using that item would discard the state
//! of the running incarnation.
//! \param previous  the list that `servers` replaces; for an id in both lists, the later incarnation is kept
[[nodiscard]] std::vector<BackendServer> latestIncarnations(std::vector<BackendServer> servers,
                                                            const std::vector<BackendServer> &previous = {});

//! Orders lists by the term of the reader, then by sequence number within the term.
struct BackendListVersion {
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;

    friend bool operator==(const BackendListVersion &, const BackendListVersion &) = default;
    friend bool operator<(const BackendListVersion &left, const BackendListVersion &right)
    {
        return std::tie(left.term, left.sequence) < std::tie(right.term, right.sequence);
    }
    friend bool operator>(const BackendListVersion &left, const BackendListVersion &right)
    {
        return right < left;
    }
    friend bool operator<=(const BackendListVersion &left, const BackendListVersion &right)
    {
        return !(right < left);
    }
};

//! A complete list as read by one reader.
struct BackendList {
    BackendListVersion version;
    std::vector<BackendServer> servers;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_BACKEND_LIST_HPP_INCLUDED
