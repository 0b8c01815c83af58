#ifndef CARDAMOMPOST_CP_SECTION_READER_HPP_INCLUDED
#define CARDAMOMPOST_CP_SECTION_READER_HPP_INCLUDED

#include <cardamompost/config/cp_ini_document.hpp>

#include <cstdint>
#include <set>

namespace cardamompost
{

//! An IP address and a port.
struct Address {
    std::string host;
    std::uint16_t port = 0;

    [[nodiscard]] std::string toString() const;
    friend bool operator==(const Address &, const Address &) = default;
};

//! Parses "IP:port" or "[IPv6]:port". Host names are rejected, as no process resolves names.
[[nodiscard]] std::optional<Address> parseAddress(std::string_view text);

//! Splits a comma-separated list, trimming items and skipping empty ones.
[[nodiscard]] std::vector<std::string> splitList(std::string_view text);

//! Reads typed values of a section and reports an error for each key that is missing, malformed or unknown.
class SectionReader
{
public:
    SectionReader(const IniSection &section, std::vector<ConfigError> &errors);

    //! The value, or the fallback if the key is absent.
    std::string text(std::string_view key, std::string_view fallback = {});
    //! As text(), but reports an error if the key is absent or empty.
    std::string requiredText(std::string_view key);
    std::int64_t integer(std::string_view key, std::int64_t fallback, std::int64_t min, std::int64_t max);
    double number(std::string_view key, double fallback, double min, double max);
    bool boolean(std::string_view key, bool fallback);
    Address address(std::string_view key);
    std::vector<std::string> list(std::string_view key);

    //! Reports an error at a key of this section.
    void addError(std::string_view key, std::string message);
    //! Reports an error for each key of the section that was not read.
    void finish();

private:
    //! The entry with the key, or null; marks the key as read.
    const IniEntry *readEntry(std::string_view key);

    const IniSection &section_;
    std::vector<ConfigError> &errors_;
    std::set<std::string, std::less<>> readKeys_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_SECTION_READER_HPP_INCLUDED
