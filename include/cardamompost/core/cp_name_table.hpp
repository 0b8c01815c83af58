#ifndef CARDAMOMPOST_CP_NAME_TABLE_HPP_INCLUDED
#define CARDAMOMPOST_CP_NAME_TABLE_HPP_INCLUDED

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace cardamompost
{

//! An enumerator with its external name.
template<typename Enum>
struct Named {
    Enum value;
    std::string_view name;
};

template<typename Enum>
Named(Enum, const char *) -> Named<Enum>;

//! The name of an enumerator; empty if the table lacks it.
template<typename Enum, std::size_t Size>
[[nodiscard]] constexpr std::string_view nameOf(const std::array<Named<Enum>, Size> &table, Enum value)
{
    for (const auto &row : table) {
        if (row.value == value) {
            return row.name;
        }
    }
    return {};
}

//! The enumerator with a name, compared case-sensitively; empty if the table lacks it.
template<typename Enum, std::size_t Size>
[[nodiscard]] constexpr std::optional<Enum> valueOf(const std::array<Named<Enum>, Size> &table, std::string_view name)
{
    for (const auto &row : table) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_NAME_TABLE_HPP_INCLUDED
