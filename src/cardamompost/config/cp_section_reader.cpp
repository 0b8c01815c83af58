#include <cardamompost/config/cp_section_reader.hpp>

#include <fmt/format.h>

#include <arpa/inet.h>
#include <charconv>

namespace cardamompost
{

namespace
{

template<typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc {} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

bool isIpAddress(const std::string &host)
{
    in_addr v4 {};
    in6_addr v6 {};
    return inet_pton(AF_INET, host.c_str(), &v4) == 1 || inet_pton(AF_INET6, host.c_str(), &v6) == 1;
}

} // namespace

std::string Address::toString() const
{
    return host.find(':') == std::string::npos ? fmt::format("{}:{}", host, port) : fmt::format("[{}]:{}", host, port);
}

std::optional<Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
    if (!port || *port == 0 || !isIpAddress(std::string(host))) {
        return std::nullopt;
    }
    return Address {std::string(host), *port};
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> items;
    while (!text.empty()) {
        const auto comma = text.find(',');
        std::string_view item = text.substr(0, comma);
        const auto begin = item.find_first_not_of(" \t");
        if (begin != std::string_view::npos) {
            items.emplace_back(item.substr(begin, item.find_last_not_of(" \t") - begin + 1));
        }
        text = comma == std::string_view::npos ? std::string_view {} : text.substr(comma + 1);
    }
    return items;
}

SectionReader::SectionReader(const IniSection &section, std::vector<ConfigError> &errors)
    : section_(section)
    , errors_(errors)
{
}

const IniEntry *SectionReader::readEntry(std::string_view key)
{
    readKeys_.emplace(key);
    return section_.find(key);
}

std::string SectionReader::text(std::string_view key, std::string_view fallback)
{
    const IniEntry *entry = readEntry(key);
    return entry == nullptr ? std::string(fallback) : entry->value;
}

std::string SectionReader::requiredText(std::string_view key)
{
    std::string value = text(key);
    if (value.empty()) {
        addError(key, "a value is required");
    }
    return value;
}

std::int64_t SectionReader::integer(std::string_view key, std::int64_t fallback, std::int64_t min, std::int64_t max)
{
    const IniEntry *entry = readEntry(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto value = parseNumber<std::int64_t>(entry->value);
    if (!value || *value < min || *value > max) {
        addError(key, fmt::format("'{}' is not a whole number from {} to {}", entry->value, min, max));
        return fallback;
    }
    return *value;
}

double SectionReader::number(std::string_view key, double fallback, double min, double max)
{
    const IniEntry *entry = readEntry(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto value = parseNumber<double>(entry->value);
    if (!value || !(*value >= min && *value <= max)) {
        addError(key, fmt::format("'{}' is not a number from {} to {}", entry->value, min, max));
        return fallback;
    }
    return *value;
}

bool SectionReader::boolean(std::string_view key, bool fallback)
{
    const IniEntry *entry = readEntry(key);
    if (entry == nullptr) {
        return fallback;
    }
    if (entry->value != "true" && entry->value != "false") {
        addError(key, fmt::format("'{}' is neither true nor false", entry->value));
    }
    return entry->value == "true";
}

Address SectionReader::address(std::string_view key)
{
    const std::string value = requiredText(key);
    const auto parsed = parseAddress(value);
    if (!value.empty() && !parsed) {
        addError(key, fmt::format("'{}' is not an IP address with a port", value));
    }
    return parsed.value_or(Address {});
}

std::vector<std::string> SectionReader::list(std::string_view key)
{
    return splitList(text(key));
}

void SectionReader::addError(std::string_view key, std::string message)
{
    const IniEntry *entry = section_.find(key);
    const std::size_t line = entry == nullptr ? section_.line : entry->line;
    errors_.push_back({line, section_.header(), std::string(key), std::move(message)});
}

void SectionReader::finish()
{
    for (const IniEntry &entry : section_.entries) {
        if (!readKeys_.contains(entry.key)) {
            addError(entry.key, "unknown key in this section");
        }
    }
}

} // namespace cardamompost
