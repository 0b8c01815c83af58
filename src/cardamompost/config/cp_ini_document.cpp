#include <cardamompost/config/cp_ini_document.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>

namespace cardamompost
{

namespace
{

// Limits the memory that a hostile document can take.
constexpr std::size_t maxDocumentBytes = 16U << 20U;
constexpr std::size_t maxErrors = 1000;

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r";
    const auto begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

bool isContinuation(unsigned char byte)
{
    return (byte & 0xC0U) == 0x80U;
}

// Length of the UTF-8 sequence that begins with a lead byte; 0 for an invalid lead byte.
std::size_t sequenceLength(unsigned char lead)
{
    if (lead < 0x80U) {
        return 1;
    }
    if (lead >= 0xC2U && lead <= 0xDFU) {
        return 2;
    }
    if ((lead & 0xF0U) == 0xE0U) {
        return 3;
    }
    return lead >= 0xF0U && lead <= 0xF4U ? 4 : 0;
}

// Rejects overlong encodings, surrogates and code points above U+10FFFF, which the lead byte does not reveal.
bool isValidSecondByte(unsigned char lead, unsigned char second)
{
    switch (lead) {
    case 0xE0:
        return second >= 0xA0U;
    case 0xED:
        return second <= 0x9FU;
    case 0xF0:
        return second >= 0x90U;
    case 0xF4:
        return second <= 0x8FU;
    default:
        return true;
    }
}

bool isAllowedAscii(unsigned char byte)
{
    return byte >= 0x20U ? byte != 0x7FU : byte == '\t' || byte == '\r' || byte == '\n';
}

} // namespace

bool isCleanUtf8(std::string_view text)
{
    std::size_t offset = 0;
    while (offset < text.size()) {
        const auto lead = static_cast<unsigned char>(text[offset]);
        const std::size_t length = sequenceLength(lead);
        if (length == 0 || offset + length > text.size() || (length == 1 && !isAllowedAscii(lead))) {
            return false;
        }
        for (std::size_t i = 1; i < length; ++i) {
            if (!isContinuation(static_cast<unsigned char>(text[offset + i]))) {
                return false;
            }
        }
        if (length > 1 && !isValidSecondByte(lead, static_cast<unsigned char>(text[offset + 1]))) {
            return false;
        }
        offset += length;
    }
    return true;
}

std::string ConfigError::toString() const
{
    std::string text;
    if (line != 0) {
        text += fmt::format("line {}: ", line);
    }
    if (!section.empty()) {
        text += fmt::format("[{}] ", section);
    }
    if (!key.empty()) {
        text += fmt::format("{}: ", key);
    }
    return text + message;
}

std::string IniSection::header() const
{
    return name.empty() ? kind : kind + " " + name;
}

const IniEntry *IniSection::find(std::string_view key) const
{
    const auto found
        = std::find_if(entries.begin(), entries.end(), [&](const IniEntry &entry) { return entry.key == key; });
    return found == entries.end() ? nullptr : &*found;
}

IniDocument IniDocument::parse(std::string_view text)
{
    IniDocument document;
    if (text.size() > maxDocumentBytes) {
        document.addError(0, {},
                          fmt::format("the document has {} bytes; the limit is {}", text.size(), maxDocumentBytes));
        return document;
    }
    std::size_t number = 0;
    while (!text.empty() && document.errors_.size() < maxErrors) {
        const auto end = text.find('\n');
        document.parseLine(text.substr(0, end), ++number);
        text = end == std::string_view::npos ? std::string_view {} : text.substr(end + 1);
    }
    if (!document.sections_.empty()) {
        document.sections_.back().text += document.pendingComments_;
    }
    return document;
}

void IniDocument::parseLine(std::string_view line, std::size_t number)
{
    if (!isCleanUtf8(line)) {
        addError(number, {}, "the line is not valid UTF-8 text");
        return;
    }
    const std::string_view content = trim(line);
    if (content.empty() || content.front() == ';' || content.front() == '#') {
        pendingComments_ += std::string(line) + "\n";
        return;
    }
    if (content.front() != '[') {
        addEntry(content, number);
        return;
    }
    if (content.back() != ']') {
        addError(number, {}, "the section has no closing bracket");
        return;
    }
    openSection(trim(content.substr(1, content.size() - 2)), number);
}

void IniDocument::openSection(std::string_view inner, std::size_t number)
{
    const auto blank = inner.find_first_of(" \t");
    IniSection section;
    section.kind = std::string(inner.substr(0, blank));
    section.name = blank == std::string_view::npos ? std::string {} : std::string(trim(inner.substr(blank)));
    section.line = number;
    section.text = std::move(pendingComments_);
    pendingComments_.clear();
    section.text += fmt::format("[{}]\n", section.header());
    const bool isEmpty = section.kind.empty();
    sections_.push_back(std::move(section));
    if (isEmpty) {
        addError(number, {}, "the section has no kind");
    }
}

void IniDocument::addEntry(std::string_view line, std::size_t number)
{
    const auto equals = line.find('=');
    if (equals == std::string_view::npos) {
        addError(number, {}, "expected 'key = value'");
        return;
    }
    IniEntry entry {std::string(trim(line.substr(0, equals))), std::string(trim(line.substr(equals + 1))), number};
    if (entry.key.empty()) {
        addError(number, {}, "the key before '=' is missing");
        return;
    }
    if (sections_.empty()) {
        addError(number, entry.key, "the key is outside of any section");
        return;
    }
    IniSection &section = sections_.back();
    if (section.find(entry.key) != nullptr) {
        addError(number, entry.key, "duplicate key");
        return;
    }
    section.text += pendingComments_ + fmt::format("{} = {}\n", entry.key, entry.value);
    pendingComments_.clear();
    section.entries.push_back(std::move(entry));
}

void IniDocument::addError(std::size_t line, std::string key, std::string message)
{
    errors_.push_back(
        {line, sections_.empty() ? std::string {} : sections_.back().header(), std::move(key), std::move(message)});
}

} // namespace cardamompost
