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
            return makeError(ErrorKind::InvalidConfiguration, "an account name is empty or not a valid header value");
        }
        if (!names.emplace(account.name, &account).second) {
            return makeError(ErrorKind::InvalidConfiguration, fmt::format("duplicate account name '{}'", account.name));
        }
        for (const KeyHash &key : account.keys) {
            const auto [holder, isNew] = keys.emplace(key, &account);
            if (!isNew && holder->second != &account) {
                return makeError(
                    ErrorKind::InvalidConfiguration,
                    fmt::format("accounts '{}' and '{}' have the same key", holder->second->name, account.name));
            }
        }
    }
    return boost::outcome_v2::success();
}

} // namespace cardamompost
