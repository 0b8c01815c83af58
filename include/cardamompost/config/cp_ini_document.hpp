#ifndef CARDAMOMPOST_CP_INI_DOCUMENT_HPP_INCLUDED
#define CARDAMOMPOST_CP_INI_DOCUMENT_HPP_INCLUDED

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompost
{

//! An error in a document, with its position.
struct ConfigError {
    //! Counted from 1; 0 if the error belongs to no line.
    std::size_t line = 0;
    std::string section;
    std::string key;
    std::string message;

    //! "line 3: [section] key: message", omitting empty parts.
    [[nodiscard]] std::string toString() const;
};

//! A key with its value and line number.
struct IniEntry {
    std::string key;
    std::string value;
    std::size_t line = 0;
};

//! A section "[kind name]" with its entries in the order of the file.
struct IniSection {
    std::string kind;
    //! Empty for a section without a name.
    std::string name;
    std::size_t line = 0;
    std::vector<IniEntry> entries;
    //! Text of the section with the comments above it, as stored and shown.
    std::string text;

    //! "kind name", as between the brackets.
    [[nodiscard]] std::string header() const;

    //! The entry with a key; null if absent.
    [[nodiscard]] const IniEntry *find(std::string_view key) const;
};

//! An INI document parsed into sections and entries, whose values are not interpreted.
//!
//! A line is "[kind name]", "key = value", a comment that begins with ';' or '#', or blank. Collects errors instead of
//! stopping at the first one.
class IniDocument
{
public:
    //! Never fails: lines that are invalid are reported by errors().
    [[nodiscard]] static IniDocument parse(std::string_view text);

    [[nodiscard]] const std::vector<IniSection> &sections() const
    {
        return sections_;
    }

    [[nodiscard]] const std::vector<ConfigError> &errors() const
    {
        return errors_;
    }

private:
    void parseLine(std::string_view line, std::size_t number);
    void openSection(std::string_view inner, std::size_t number);
    void addEntry(std::string_view line, std::size_t number);
    void addError(std::size_t line, std::string key, std::string message);

    std::vector<IniSection> sections_;
    std::vector<ConfigError> errors_;
    std::string pendingComments_;
};

//! True for well-formed UTF-8 without control characters other than tab, carriage return and line feed.
[[nodiscard]] bool isCleanUtf8(std::string_view text);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_INI_DOCUMENT_HPP_INCLUDED
