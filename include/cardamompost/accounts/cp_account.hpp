#ifndef CARDAMOMPOST_CP_ACCOUNT_HPP_INCLUDED
#define CARDAMOMPOST_CP_ACCOUNT_HPP_INCLUDED

#include <cardamompost/core/cp_error.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamompost
{

//! SHA-256 of an access key. The keys themselves are not stored.
using KeyHash = std::array<std::uint8_t, 32>;

[[nodiscard]] KeyHash hashKey(std::string_view key);

//! Request limit of an account over all entries.
struct RequestLimit {
    //! 0 means unlimited.
    double perSecond = 0;
    //! Requests allowed at once in addition to the rate.
    double burst = 0;

    [[nodiscard]] bool isBounded() const
    {
        return perSecond > 0;
    }
    friend bool operator==(const RequestLimit &, const RequestLimit &) = default;
};

//! A client account as declared by the operator.
struct Account {
    std::string name;
    std::vector<KeyHash> keys;
    //! Compared before the rank of the request's route; 0 goes first. Empty if the account has none.
    std::optional<unsigned> rank;
    RequestLimit limit;

    friend bool operator==(const Account &, const Account &) = default;
};

//! Checks accounts for valid and unique names and for shared keys.
//!
//! Errors: InvalidConfiguration for a name that is empty, duplicate or not a header value, and for a key that belongs
//! to two accounts. The message names the accounts and never a key.
[[nodiscard]] Result<void> checkAccounts(const std::vector<Account> &accounts);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ACCOUNT_HPP_INCLUDED
