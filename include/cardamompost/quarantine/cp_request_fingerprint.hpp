#ifndef CARDAMOMPOST_CP_REQUEST_FINGERPRINT_HPP_INCLUDED
#define CARDAMOMPOST_CP_REQUEST_FINGERPRINT_HPP_INCLUDED

#include <cardamompost/core/cp_ids.hpp>

namespace cardamompost
{

//! Identifies requests that ask for the same work, independently of the request id, the caller and the entry.
using RequestFingerprint = std::uint64_t;

//! \param body  as sent by the caller; the history of a turn is not part of it, since a program that is repeated has
//! other ids and outputs
[[nodiscard]] inline RequestFingerprint fingerprintOf(std::string_view method, std::string_view host,
                                                      std::string_view target, std::string_view body)
{
    return stableHash(body, stableHash(target, stableHash(host, stableHash(method))));
}

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_REQUEST_FINGERPRINT_HPP_INCLUDED
