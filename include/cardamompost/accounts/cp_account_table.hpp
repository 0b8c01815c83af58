#ifndef CARDAMOMPOST_CP_ACCOUNT_TABLE_HPP_INCLUDED
#define CARDAMOMPOST_CP_ACCOUNT_TABLE_HPP_INCLUDED

#include <cardamompost/accounts/cp_account.hpp>

#include <cstring>
#include <unordered_map>

namespace cardamompost
{

//! Immutable index of accounts by key hash.
class AccountTable
{
public:
    //! \param accounts  validated by checkAccounts(); must outlive the table
    explicit AccountTable(const std::vector<Account> &accounts)
    {
        for (const Account &account : accounts) {
            for (const KeyHash &key : account.keys) {
                byKey_.emplace(key, &account);
            }
        }
    }

    //! Null for an unknown key. Only hashes are compared, so timing reveals nothing about a key.
    [[nodiscard]] const Account *find(const KeyHash &key) const
    {
        const auto found = byKey_.find(key);
        return found == byKey_.end() ? nullptr : found->second;
    }

private:
    struct Hasher {
        //! SHA-256 bytes are uniformly distributed already.
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
