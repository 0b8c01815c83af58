#ifndef CARDAMOMPOST_CP_BACKEND_LIST_HPP_INCLUDED
#define CARDAMOMPOST_CP_BACKEND_LIST_HPP_INCLUDED

#include <cardamompost/config/cp_section_reader.hpp>

#include <vector>

namespace cardamompost
{

//! A backend server as the list of live and leaving ones has it.
struct BackendServer {
    std::string id;
    std::string service;
    Address address;
    std::string failureDomain;
    unsigned slots = 1;
    bool isLeaving = false;
    //! When this incarnation started, as the server says, in milliseconds since 1970; 0 where it does not. A server may
    //! start again under its id: the one with the higher number is the later one, and holds nothing of the one before.
    std::uint64_t incarnation = 0;

    friend bool operator==(const BackendServer &, const BackendServer &) = default;
};

//! Keeps one entry of each id: that of the latest incarnation, and of two alike the last one.
//!
//! Guards against a list that lags and shows a server as it was before its restart, in the same list or a later one:
//! that entry would bring a server back that is gone, and what is known of the one that runs would be forgotten. \param
//! before  the list that these servers take the place of; of a server in both the later incarnation stays
[[nodiscard]] std::vector<BackendServer> latestIncarnations(std::vector<BackendServer> servers,
                                                            const std::vector<BackendServer> &before = {});

//! Which of two lists is newer: that of the reader with the higher term, then the later one of the same reader.
struct BackendListVersion {
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const BackendListVersion &, const BackendListVersion &) = default;
};

//! The whole list as one reader saw it.
struct BackendList {
    BackendListVersion version;
    std::vector<BackendServer> servers;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_BACKEND_LIST_HPP_INCLUDED
