#ifndef CARDAMOMPOST_CP_ACCOUNT_TABLE_HPP_INCLUDED
#define CARDAMOMPOST_CP_ACCOUNT_TABLE_HPP_INCLUDED

#include <cardamompost/accounts/cp_account.hpp>

#include <cstring>
#include <unordered_map>

namespace cardamompost
{

//! Finds the account that holds a key. Immutable.
class AccountTable
{
public:
    //! \param accounts  checked ones; they outlive the table
    explicit AccountTable(const std::vector<Account> &accounts)
    {
        for (const Account &account : accounts) {
            for (const KeyHash &key : account.keys) {
                byKey_.emplace(key, &account);
            }
        }
    }

    //! Null for a key that no account holds. Only hashes are compared, so the time tells nothing about a key.
    [[nodiscard]] const Account *find(const KeyHash &key) const
    {
        const auto found = byKey_.find(key);
        return found == byKey_.end() ? nullptr : found->second;
    }

private:
    struct Hasher {
        //! The bytes of a SHA-256 are spread evenly already.
        std::size_t operator()(const KeyHash &key) const
        {
            std::size_t value = 0;
            std::memcpy(&value, key.data(), sizeof(value));
            return value;
        }
    };

    std::unordered_map<KeyHash, const Account *, Hasher> byKey_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ACCOUNT_TABLE_HPP_INCLUDED
