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

//! SHA-256 of an access key. Keys themselves are not kept.
using KeyHash = std::array<std::uint8_t, 32>;

[[nodiscard]] KeyHash hashKey(std::string_view key);

//! How many requests an account may send, over all entries together.
struct RequestLimit {
    //! 0 for no limit.
    double perSecond = 0;
    //! Requests that may come at once on top.
    double burst = 0;

    [[nodiscard]] bool isBounded() const
    {
        return perSecond > 0;
    }
    friend bool operator==(const RequestLimit &, const RequestLimit &) = default;
};

//! A client account, as the operators' document declares it.
struct Account {
    std::string name;
    std::vector<KeyHash> keys;
    //! Compared before the rank of a request's route; 0 goes first. Nothing for an account without one.
    std::optional<unsigned> rank;
    RequestLimit limit;

    friend bool operator==(const Account &, const Account &) = default;
};

//! Errors: InvalidConfiguration for a name that is empty, used twice or no header value, and for a key of two accounts.
//! The message has the accounts' names and no key.
[[nodiscard]] Result<void> checkAccounts(const std::vector<Account> &accounts);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ACCOUNT_HPP_INCLUDED
