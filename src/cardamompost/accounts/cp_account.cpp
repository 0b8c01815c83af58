#include <cardamompost/accounts/cp_account.hpp>

#include <fmt/format.h>
#include <openssl/sha.h>

#include <algorithm>
#include <map>

namespace cardamompost
{

namespace
{

static_assert(std::tuple_size_v<KeyHash> == SHA256_DIGEST_LENGTH);

bool isHeaderValue(std::string_view text)
{
    const auto isControl = [](unsigned char c) { return c < ' ' || c == 0x7f; };
    return !text.empty() && text.front() != ' ' && text.back() != ' '
        && std::none_of(text.begin(), text.end(), isControl);
}

} // namespace

KeyHash hashKey(std::string_view key)
{
    KeyHash hash {};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), hash.data());
    return hash;
}

Result<void> checkAccounts(const std::vector<Account> &accounts)
{
    std::map<std::string_view, const Account *> names;
    std::map<KeyHash, const Account *> keys;
    for (const Account &account : accounts) {
        if (!isHeaderValue(account.name)) {
            return makeError(ErrorKind::InvalidConfiguration, "an account's name is empty, or can't stand in a header");
        }
        if (!names.emplace(account.name, &account).second) {
            return makeError(ErrorKind::InvalidConfiguration,
                             fmt::format("two accounts have the name '{}'", account.name));
        }
        for (const KeyHash &key : account.keys) {
            const auto [holder, isNew] = keys.emplace(key, &account);
            if (!isNew && holder->second != &account) {
                return makeError(
                    ErrorKind::InvalidConfiguration,
                    fmt::format("the accounts '{}' and '{}' share a key", holder->second->name, account.name));
            }
        }
    }
    return boost::outcome_v2::success();
}

} // namespace cardamompost
