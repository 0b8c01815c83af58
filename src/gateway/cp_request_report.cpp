#include "cp_request_report.hpp"

#include <boost/json/monotonic_resource.hpp>
#include <fmt/format.h>

namespace cardamompost
{

namespace
{

constexpr std::size_t logLineBytes = 4096;
constexpr std::size_t logLineFields = 22;
constexpr unsigned firstServerError = 500;

//! What is known of whether a request ran, for the metrics.
std::string_view outcomeOf(const ForwardedRequest &request)
{
    const bool isAnswered = request.cause == nameOf(exchangeEndNames, ExchangeEnd::Answered);
    if (isAnswered) {
        return "ran";
    }
    return request.runs == 0 ? "not-run" : "unknown";
}

} // namespace

RequestReport::RequestReport(Parts parts)
    : parts_(parts)
    , onStaleUpdates_(parts.metrics.counter("cardamompost_requests_on_old_news_total"))
{
}

void RequestReport::end(const ForwardedRequest &request) const
{
    const auto time = std::chrono::steady_clock::now() - request.arrived;
    const auto ms = std::chrono::duration_cast<Milliseconds>(time).count();
    const std::string work = request.route == nullptr ? std::string("none") : request.route->name;
    const std::string kind(request.route == nullptr ? "none" : nameOf(routeKindNames, request.route->kind));
    const MetricLabels labels {{"class", work}, {"kind", kind}, {"outcome", std::string(outcomeOf(request))}};
    parts_.metrics.counter("cardamompost_requests_total", {{"class", work}, {"status", std::to_string(request.status)}})
        .add();
    parts_.metrics.histogram("cardamompost_request_seconds", labels)
        .observe(std::chrono::duration<double>(time).count());
    // In one block on the stack: a line of each request has some sixteen fields.
    std::array<unsigned char, logLineBytes> space;
    boost::json::monotonic_resource memory(space.data(), space.size());
    boost::json::object line(&memory);
    line.reserve(logLineFields);
    line["id"] = request.facts.id;
    line["status"] = request.status;
    line["cause"] = request.cause;
    line["ms"] = ms;
    line["document"] = request.table ? request.table->version() : 0;
    line["news_age_ms"] = parts_.ledger.updateAge().count();
    if (request.route != nullptr) {
        line["route"] = request.route->name;
        line["program"] = request.facts.program;
        if (!request.account.empty()) {
            line["account"] = request.account;
        }
        line["backend"] = request.lastBackend;
        if (request.begin) {
            line["placed_by"] = request.isPlacedByLeader ? "leader" : "entry";
        }
        if (request.begin || request.isLimited) {
            line["waited_ms"] = request.waited.count();
        }
        if (request.facts.programTimeLeft) {
            line["left_ms"] = request.facts.programTimeLeft->count();
        }
        line["sends"] = request.sends;
        line["runs"] = request.runs;
        line["list"] = fmt::format("{}.{}", parts_.pool.version().term, parts_.pool.version().sequence);
    }
    if (!request.detail.empty()) {
        line["detail"] = request.detail;
    }
    if (parts_.ledger.updateAge() > LedgerClient::maxUpdateAge) {
        onStaleUpdates_.add();
    }
    // Guards the lines that somebody will look for: a warning is written at once, so that it outlives a process that is
    // killed the moment after.
    const bool isFailure = request.status == 0 || request.status >= firstServerError;
    parts_.log.write(isFailure ? LogLevel::Warning : LogLevel::Info, "request.end", line);
}

} // namespace cardamompost
