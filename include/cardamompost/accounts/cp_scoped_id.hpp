#ifndef CARDAMOMPOST_CP_SCOPED_ID_HPP_INCLUDED
#define CARDAMOMPOST_CP_SCOPED_ID_HPP_INCLUDED

#include <string>
#include <string_view>

namespace cardamompost
{

//! Between an account's name and an id. No header value has it, so neither part can contain it.
inline constexpr char scopeSeparator = '\n';

//! The id of a turn or program within its account, so that accounts that use the same ids never share state.
//! An empty id stays empty; without an account the id is returned as it is.
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

//! The id as the caller sent it.
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
