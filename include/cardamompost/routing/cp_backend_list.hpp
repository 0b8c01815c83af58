#ifndef CARDAMOMPOST_CP_BACKEND_LIST_HPP_INCLUDED
#define CARDAMOMPOST_CP_BACKEND_LIST_HPP_INCLUDED

#include <cardamompost/config/cp_section_reader.hpp>

#include <vector>

namespace cardamompost
{

//! A backend server as the list of live and leaving ones has it.
struct BackendServer {
    //! New with each start of the server.
    std::string id;
    std::string service;
    Address address;
    std::string failureDomain;
    unsigned slots = 1;
    bool isLeaving = false;

    friend bool operator==(const BackendServer &, const BackendServer &) = default;
};

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
