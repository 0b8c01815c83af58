#ifndef CARDAMOMPOST_CP_INI_DOCUMENT_HPP_INCLUDED
#define CARDAMOMPOST_CP_INI_DOCUMENT_HPP_INCLUDED

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompost
{

//! A fault in a document, with its position.
struct ConfigFault {
    //! Counted from 1; 0 if the fault belongs to no line.
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
//! A line is "[kind name]", "key = value", a comment that begins with ';' or '#', or blank. Collects faults instead of
//! stopping at the first one.
class IniDocument
{
public:
    //! Never fails: lines that are invalid are reported by faults().
    [[nodiscard]] static IniDocument parse(std::string_view text);

    [[nodiscard]] const std::vector<IniSection> &sections() const
    {
        return sections_;
    }

    [[nodiscard]] const std::vector<ConfigFault> &faults() const
    {
        return faults_;
    }

private:
    void parseLine(std::string_view line, std::size_t number);
    void openSection(std::string_view inner, std::size_t number);
    void addEntry(std::string_view line, std::size_t number);
    void addFault(std::size_t line, std::string key, std::string message);

    std::vector<IniSection> sections_;
    std::vector<ConfigFault> faults_;
    std::string pendingComments_;
};

//! True for well-formed UTF-8 without control characters other than tab, carriage return and line feed.
[[nodiscard]] bool isCleanUtf8(std::string_view text);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_INI_DOCUMENT_HPP_INCLUDED
