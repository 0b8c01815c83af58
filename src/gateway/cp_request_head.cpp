#include "cp_request_head.hpp"

#include <cardamompost/config/cp_section_reader.hpp>

#include <boost/beast/core/string.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace cardamompost
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

bool isSame(std::string_view left, std::string_view right)
{
    return beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

bool isOneOf(std::string_view name, const std::vector<std::string> &names)
{
    return std::any_of(names.begin(), names.end(), [&](const std::string &other) { return isSame(name, other); });
}

//! Headers that concern one connection only, whatever the message says of them.
bool isHopByHop(http::field field)
{
    switch (field) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
        return true;
    default:
        return false;
    }
}

//! Names that the message's own Connection header makes hop-by-hop.
template<typename Fields>
std::vector<std::string> connectionNames(const Fields &fields)
{
    std::vector<std::string> names;
    const auto range = fields.equal_range(http::field::connection);
    for (auto item = range.first; item != range.second; ++item) {
        for (std::string &name : splitList(view(item->value()))) {
            names.push_back(std::move(name));
        }
    }
    return names;
}

template<typename Fields>
std::string_view headerValue(const Fields &fields, const std::string &name)
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string_view {} : view(found->value());
}

void addHeader(std::string &text, std::string_view name, std::string_view value)
{
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
}

} // namespace

std::optional<std::int64_t> readNumber(std::string_view text)
{
    while (text.starts_with(' ')) {
        text.remove_prefix(1);
    }
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end == text.data()) {
        return std::nullopt;
    }
    return number;
}

RequestFacts readFacts(const CallerRequest &request, const HeaderNames &names)
{
    RequestFacts facts;
    facts.id = headerValue(request, names.requestId);
    facts.program = headerValue(request, names.program);
    facts.session = headerValue(request, names.session);
    facts.previousTurn = headerValue(request, names.previousTurn);
    facts.lastEventId = headerValue(request, names.lastEventId);
    if (const auto patience = readNumber(headerValue(request, names.deadline))) {
        facts.patience = Milliseconds(std::max<std::int64_t>(*patience, 0));
    }
    if (const auto left = readNumber(headerValue(request, names.programTimeLeft))) {
        facts.programTimeLeft = Milliseconds(*left);
    }
    facts.budget = readNumber(headerValue(request, names.tokenBudget)).value_or(-1);
    const std::string_view usage = headerValue(request, names.tokenUsage);
    if (const std::size_t comma = usage.find(','); comma != std::string_view::npos) {
        facts.tokensIn = readNumber(usage.substr(0, comma)).value_or(0);
        facts.tokensOutAtMost = readNumber(usage.substr(comma + 1)).value_or(0);
    }
    return facts;
}

std::string makeBackendHead(const CallerRequest &request, const HeaderNames &names, const SendFacts &facts)
{
    const std::vector<std::string> dropped = connectionNames(request);
    std::string text;
    text.reserve(1024);
    text += view(request.method_string());
    text += ' ';
    text += view(request.target());
    text += " HTTP/1.1\r\n";
    for (const auto &field : request) {
        const std::string_view name = view(field.name_string());
        const bool isOwn = isSame(name, names.deadline) || isSame(name, names.expectedInstance)
            || isSame(name, names.priority) || isOneOf(name, names.reserved)
            || (!facts.lastEventId.empty() && isSame(name, names.lastEventId));
        if (!isOwn && !isHopByHop(field.name()) && !isOneOf(name, dropped)) {
            addHeader(text, name, view(field.value()));
        }
    }
    addHeader(text, names.deadline, fmt::to_string(facts.timeLeft.count()));
    addHeader(text, names.expectedInstance, facts.expectedInstance);
    if (facts.priority >= 0) {
        addHeader(text, names.priority, fmt::to_string(facts.priority));
    }
    if (!facts.lastEventId.empty()) {
        addHeader(text, names.lastEventId, facts.lastEventId);
    }
    const bool mayHaveBody = request.method() != http::verb::get && request.method() != http::verb::head;
    if (mayHaveBody || facts.bodyBytes != 0) {
        addHeader(text, "Content-Length", fmt::to_string(facts.bodyBytes));
    }
    text += "\r\n";
    return text;
}

std::string makeCallerHead(const http::response_header<> &header, const HeaderNames &names, const BodyFraming &framing)
{
    const std::vector<std::string> dropped = connectionNames(header);
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", header.result_int(), view(header.reason()));
    for (const auto &field : header) {
        const std::string_view name = view(field.name_string());
        if (!isHopByHop(field.name()) && !isOneOf(name, dropped) && !isSame(name, names.serverLoad)) {
            addHeader(text, name, view(field.value()));
        }
    }
    if (framing.length) {
        addHeader(text, "Content-Length", fmt::to_string(*framing.length));
    } else {
        addHeader(text, "Transfer-Encoding", "chunked");
    }
    if (!framing.keepsOpen) {
        addHeader(text, "Connection", "close");
    }
    text += "\r\n";
    return text;
}

} // namespace cardamompost
