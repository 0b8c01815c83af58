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

// Of milliseconds or tokens; sums of many stay far from where numbers end.
constexpr std::int64_t maxJsonInteger = 1'000'000'000'000;
// Requests that one server can run or queue; a report of more is none.
constexpr std::int64_t mostRequests = 1'000'000;
// Seconds; no connection rests longer, whatever a server says.
constexpr std::int64_t longestKeepAlive = 3600;

//! A header's number; nothing when there is no such header, or it can't be read, which is noted.
template<typename Fields>
std::optional<std::int64_t> headerNumber(const Fields &fields, const std::string &name, RequestFacts &facts)
{
    if (fields.find(name) == fields.end()) {
        return std::nullopt;
    }
    const std::optional<std::int64_t> number = readNumber(headerValue(fields, name));
    if (!number) {
        facts.fault = name;
    }
    return number;
}

void readTimes(const CallerRequest &request, const HeaderNames &names, RequestFacts &facts)
{
    if (const auto callerTimeout = headerNumber(request, names.deadline, facts)) {
        facts.callerTimeout = Milliseconds(std::max<std::int64_t>(*callerTimeout, 0));
    }
    if (const auto left = headerNumber(request, names.programTimeLeft, facts)) {
        facts.programTimeLeft = Milliseconds(*left);
    }
}

//! Guards the budgets: what can't be read must not stand for "no bound" or "costs nothing", and a turn that costs less
//! than nothing would give back what others have reserved.
void readTokens(const CallerRequest &request, const HeaderNames &names, RequestFacts &facts)
{
    if (const auto budget = headerNumber(request, names.tokenBudget, facts)) {
        facts.budget = *budget;
        if (*budget < 0) {
            facts.fault = names.tokenBudget;
        }
    }
    if (request.find(names.tokenUsage) == request.end()) {
        return;
    }
    const std::string_view usage = headerValue(request, names.tokenUsage);
    const std::size_t comma = usage.find(',');
    const auto in = readNumber(usage.substr(0, comma));
    const auto out = comma == std::string_view::npos ? std::nullopt : readNumber(usage.substr(comma + 1));
    if (!in || !out || *in < 0 || *out < 0) {
        facts.fault = names.tokenUsage;
        return;
    }
    facts.tokensIn = *in;
    facts.tokensOutAtMost = *out;
}

} // namespace

std::optional<std::int64_t> readNumber(std::string_view text)
{
    while (text.starts_with(' ')) {
        text.remove_prefix(1);
    }
    while (text.ends_with(' ')) {
        text.remove_suffix(1);
    }
    std::int64_t number = 0;
    const char *last = text.data() + text.size();
    auto [end, error] = std::from_chars(text.data(), last, number);
    if (error != std::errc() || number > maxJsonInteger || number < -maxJsonInteger) {
        return std::nullopt;
    }
    if (end != last && *end == '.') {
        end = std::find_if(end + 1, last, [](char c) { return c < '0' || c > '9'; });
    }
    return end == last ? std::optional(number) : std::nullopt;
}

std::optional<LoadReport> readLoad(std::string_view text)
{
    const std::vector<std::string> counts = splitList(text);
    if (counts.size() < 2) {
        return std::nullopt;
    }
    // Guards against a server that reports nonsense: below 0, it would look as busy as can be and get nothing any more.
    const auto isSound
        = [](std::optional<std::int64_t> count) { return count && *count >= 0 && *count <= mostRequests; };
    const auto running = readNumber(counts[0]);
    const auto waiting = readNumber(counts[1]);
    if (!isSound(running) || !isSound(waiting)) {
        return std::nullopt;
    }
    return LoadReport {static_cast<unsigned>(*running), static_cast<unsigned>(*waiting)};
}

std::optional<Milliseconds> readKeepAlive(std::string_view text)
{
    constexpr std::string_view key = "timeout=";
    const std::size_t at = text.find(key);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view value = text.substr(at + key.size());
    const auto seconds = readNumber(value.substr(0, value.find_first_of(", ")));
    return std::chrono::seconds(std::clamp<std::int64_t>(seconds.value_or(0), 0, longestKeepAlive));
}

RequestFacts readFacts(const CallerRequest &request, const HeaderNames &names)
{
    RequestFacts facts;
    facts.id = headerValue(request, names.requestId);
    facts.program = headerValue(request, names.program);
    facts.session = headerValue(request, names.session);
    facts.previousTurn = headerValue(request, names.previousTurn);
    facts.lastEventId = headerValue(request, names.lastEventId);
    facts.affinity = headerValue(request, names.affinity);
    readTimes(request, names, facts);
    readTokens(request, names, facts);
    return facts;
}

std::optional<KeyHash> readKeyHash(const CallerRequest &request, const HeaderNames &names)
{
    const auto [first, end] = request.equal_range(names.accessKey);
    if (first == end) {
        return std::nullopt;
    }
    const std::string_view key = view(first->value());
    const bool isOneKey = std::all_of(first, end, [&](const auto &field) { return view(field.value()) == key; });
    return isOneKey ? std::optional(hashKey(key)) : std::nullopt;
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
            || (!facts.lastEventId.empty() && isSame(name, names.lastEventId))
            || (facts.hidesKeys && (isSame(name, names.accessKey) || isSame(name, names.account)));
        if (!isOwn && !isHopByHop(field.name()) && !isOneOf(name, dropped)) {
            addHeader(text, name, view(field.value()));
        }
    }
    addHeader(text, names.deadline, fmt::to_string(facts.timeLeft.count()));
    addHeader(text, names.expectedInstance, facts.expectedInstance);
    if (!facts.account.empty()) {
        addHeader(text, names.account, facts.account);
    }
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
