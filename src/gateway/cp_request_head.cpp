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

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

bool isOneOf(std::string_view name, const std::vector<std::string> &names)
{
    return std::any_of(names.begin(), names.end(),
                       [&](const std::string &other) { return equalsIgnoringCase(name, other); });
}

//! Headers that apply to a single connection (RFC 9110, 7.6.1), and those that the gateway sets itself.
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

//! Names listed in the Connection header, which are hop-by-hop too.
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

// Milliseconds or tokens; keeps sums far from integer overflow.
constexpr std::int64_t maxHeaderNumber = 1'000'000'000'000;
// Running or queued requests; a report of more is rejected as malformed.
constexpr std::int64_t maxReportedRequests = 1'000'000;
constexpr std::int64_t maxKeepAliveSeconds = 3600;

//! Parses a header's number; nothing if the header is absent or malformed. Records a malformed one in the metadata.
template<typename Fields>
std::optional<std::int64_t> headerNumber(const Fields &fields, const std::string &name, RequestMetadata &metadata)
{
    if (fields.find(name) == fields.end()) {
        return std::nullopt;
    }
    const std::optional<std::int64_t> number = readNumber(headerValue(fields, name));
    if (!number) {
        metadata.malformedHeader = name;
    }
    return number;
}

void parseTimeouts(const CallerRequest &request, const HeaderNames &names, RequestMetadata &metadata)
{
    if (const auto callerTimeout = headerNumber(request, names.deadline, metadata)) {
        metadata.callerTimeout = Milliseconds(std::max<std::int64_t>(*callerTimeout, 0));
    }
    if (const auto timeLeft = headerNumber(request, names.programTimeLeft, metadata)) {
        metadata.programTimeLeft = Milliseconds(*timeLeft);
    }
}

//! Rejects malformed and negative values: they must not count as no budget or no cost, and a negative cost would
//! release tokens that other turns have reserved.
void parseTokenCounts(const CallerRequest &request, const HeaderNames &names, RequestMetadata &metadata)
{
    if (const auto budget = headerNumber(request, names.tokenBudget, metadata)) {
        metadata.budget = *budget;
        if (*budget < 0) {
            metadata.malformedHeader = names.tokenBudget;
        }
    }
    // An estimate that can't be read is no reason to reject the request.
    const auto expected = readNumber(headerValue(request, names.expectedOutput));
    if (expected && *expected > 0) {
        metadata.expectedOutputTokens = expected;
    }
    if (request.find(names.tokenUsage) == request.end()) {
        return;
    }
    const std::string_view usage = headerValue(request, names.tokenUsage);
    const std::size_t comma = usage.find(',');
    const auto in = readNumber(usage.substr(0, comma));
    const auto out = comma == std::string_view::npos ? std::nullopt : readNumber(usage.substr(comma + 1));
    if (!in || !out || *in < 0 || *out < 0) {
        metadata.malformedHeader = names.tokenUsage;
        return;
    }
    metadata.tokensIn = *in;
    metadata.maxOutputTokens = *out;
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
    if (error != std::errc() || number > maxHeaderNumber || number < -maxHeaderNumber) {
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
    // A negative count would wrap to a huge load, and the server would get no more requests.
    const auto isValid
        = [](std::optional<std::int64_t> count) { return count && *count >= 0 && *count <= maxReportedRequests; };
    const auto running = readNumber(counts[0]);
    const auto waiting = readNumber(counts[1]);
    if (!isValid(running) || !isValid(waiting)) {
        return std::nullopt;
    }
    return LoadReport {static_cast<unsigned>(*running), static_cast<unsigned>(*waiting)};
}

std::optional<Milliseconds> readKeepAlive(std::string_view text)
{
    constexpr std::string_view key = "timeout=";
    const std::size_t position = text.find(key);
    if (position == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view value = text.substr(position + key.size());
    const auto seconds = readNumber(value.substr(0, value.find_first_of(", ")));
    return std::chrono::seconds(std::clamp<std::int64_t>(seconds.value_or(0), 0, maxKeepAliveSeconds));
}

RequestMetadata parseRequestMetadata(const CallerRequest &request, const HeaderNames &names)
{
    RequestMetadata metadata;
    metadata.id = headerValue(request, names.requestId);
    metadata.program = headerValue(request, names.program);
    metadata.session = headerValue(request, names.session);
    metadata.previousTurn = headerValue(request, names.previousTurn);
    metadata.lastEventId = headerValue(request, names.lastEventId);
    metadata.resumes = headerValue(request, names.resumes);
    metadata.affinity = headerValue(request, names.affinity);
    parseTimeouts(request, names, metadata);
    parseTokenCounts(request, names, metadata);
    return metadata;
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

std::string makeBackendHead(const CallerRequest &request, const HeaderNames &names, const BackendHeadOptions &options)
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
        const bool isExcluded = equalsIgnoringCase(name, names.deadline)
            || equalsIgnoringCase(name, names.expectedInstance) || equalsIgnoringCase(name, names.priority)
            || isOneOf(name, names.reserved)
            || (!options.lastEventId.empty() && equalsIgnoringCase(name, names.lastEventId))
            || (options.stripsCredentials
                && (equalsIgnoringCase(name, names.accessKey) || equalsIgnoringCase(name, names.account)));
        if (!isExcluded && !isHopByHop(field.name()) && !isOneOf(name, dropped)) {
            addHeader(text, name, view(field.value()));
        }
    }
    addHeader(text, names.deadline, fmt::to_string(options.timeLeft.count()));
    addHeader(text, names.expectedInstance, options.expectedInstance);
    if (!options.account.empty()) {
        addHeader(text, names.account, options.account);
    }
    if (options.priority >= 0) {
        addHeader(text, names.priority, fmt::to_string(options.priority));
    }
    if (!options.promptSource.empty()) {
        addHeader(text, names.promptSource, options.promptSource);
    }
    if (!options.lastEventId.empty()) {
        addHeader(text, names.lastEventId, options.lastEventId);
    }
    const bool mayHaveBody = request.method() != http::verb::get && request.method() != http::verb::head;
    if (mayHaveBody || options.bodyBytes != 0) {
        addHeader(text, "Content-Length", fmt::to_string(options.bodyBytes));
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
        if (!isHopByHop(field.name()) && !isOneOf(name, dropped) && !equalsIgnoringCase(name, names.serverLoad)) {
            addHeader(text, name, view(field.value()));
        }
    }
    if (framing.length) {
        addHeader(text, "Content-Length", fmt::to_string(*framing.length));
    } else if (framing.hasBody) {
        addHeader(text, "Transfer-Encoding", "chunked");
    }
    if (!framing.keepsOpen) {
        addHeader(text, "Connection", "close");
    }
    text += "\r\n";
    return text;
}

} // namespace cardamompost
