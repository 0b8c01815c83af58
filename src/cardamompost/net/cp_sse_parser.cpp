#include <cardamompost/net/cp_sse_parser.hpp>

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace cardamompost
{

bool SseParser::feed(std::string_view bytes, const Handler &handler)
{
    return lines_.feed(bytes, [&](const SseLine &line) { return parseLine(line.text, handler); });
}

bool SseParser::parseLine(std::string_view line, const Handler &handler)
{
    if (line.empty()) {
        const SseEvent event = std::exchange(event_, {});
        return event.data.empty() || handler(event);
    }
    const auto colon = line.find(':');
    const std::string_view field = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view {} : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    if (field == "data") {
        event_.data += value;
    } else if (field == "id") {
        std::from_chars(value.data(), value.data() + value.size(), event_.id);
    } else if (field == "event") {
        event_.name = value;
    }
    return true;
}

std::string formatSse(std::uint64_t id, std::string_view name, std::string_view data)
{
    std::string text;
    if (id != 0) {
        text += fmt::format("id: {}\n", id);
    }
    if (!name.empty()) {
        text += fmt::format("event: {}\n", name);
    }
    return text + fmt::format("data: {}\n\n", data);
}

} // namespace cardamompost
