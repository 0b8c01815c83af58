#ifndef CARDAMOMPOST_CP_SCOPED_ID_HPP_INCLUDED
#define CARDAMOMPOST_CP_SCOPED_ID_HPP_INCLUDED

#include <string>
#include <string_view>

namespace cardamompost
{

//! Separates the account's name from the id. It cannot occur in a header value, and so in neither part.
inline constexpr char scopeSeparator = '\n';

//! Qualifies a turn or program id with its account, so that equal ids of different accounts never share state. An empty
//! id stays empty; without an account the id is returned unchanged.
[[nodiscard]] inline std::string scopedId(std::string_view account, std::string_view id)
{
    if (account.empty() || id.empty()) {
        return std::string(id);
    }
    std::string scoped;
    scoped.reserve(account.size() + 1 + id.size());
    scoped += account;
    scoped += scopeSeparator;
    scoped += id;
    return scoped;
}

//! The id as the client sent it.
[[nodiscard]] inline std::string_view unscopedId(std::string_view scoped)
{
    const std::size_t at = scoped.find(scopeSeparator);
    return at == std::string_view::npos ? scoped : scoped.substr(at + 1);
}

//! Empty for an id without an account.
[[nodiscard]] inline std::string_view accountOf(std::string_view scoped)
{
    const std::size_t at = scoped.find(scopeSeparator);
    return at == std::string_view::npos ? std::string_view() : scoped.substr(0, at);
}

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_SCOPED_ID_HPP_INCLUDED
