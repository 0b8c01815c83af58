#include "cp_request_report.hpp"

#include <boost/json/monotonic_resource.hpp>
#include <fmt/format.h>

namespace cardamompost
{

namespace
{

constexpr std::size_t logLineBytes = 4096;
constexpr std::size_t logLineFields = 27;
constexpr unsigned firstServerError = 500;

//! Whether the request was executed, as a metric label.
std::string_view outcomeOf(const ForwardedRequest &request)
{
    const bool isCompleted = request.cause == nameOf(exchangeEndNames, ExchangeEnd::Completed);
    if (isCompleted) {
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
    const auto elapsed = std::chrono::steady_clock::now() - request.arrived;
    const auto ms = std::chrono::duration_cast<Milliseconds>(elapsed).count();
    const std::string routeName = request.route == nullptr ? std::string("none") : request.route->name;
    const std::string kind(request.route == nullptr ? "none" : nameOf(routeKindNames, request.route->kind));
    const MetricLabels labels {{"class", routeName}, {"kind", kind}, {"outcome", std::string(outcomeOf(request))}};
    parts_.metrics
        .counter("cardamompost_requests_total", {{"class", routeName}, {"status", std::to_string(request.status)}})
        .add();
    parts_.metrics.histogram("cardamompost_request_seconds", labels)
        .observe(std::chrono::duration<double>(elapsed).count());
    // The line is built in a buffer on the stack, since every request writes one.
    std::array<unsigned char, logLineBytes> space;
    boost::json::monotonic_resource memory(space.data(), space.size());
    boost::json::object line(&memory);
    line.reserve(logLineFields);
    line["id"] = request.metadata.id;
    line["status"] = request.status;
    line["cause"] = request.cause;
    line["ms"] = ms;
    line["document"] = request.table ? request.table->version() : 0;
    line["news_age_ms"] = parts_.ledger.updateAge().count();
    if (request.route != nullptr) {
        line["route"] = request.route->name;
        line["program"] = request.metadata.program;
        if (!request.account.empty()) {
            line["account"] = request.account;
        }
        line["backend"] = request.lastBackend;
        if (!request.lastBackendVersion.empty()) {
            line["backend_version"] = request.lastBackendVersion;
        }
        if (!request.metadata.resumes.empty()) {
            line["resumes"] = request.metadata.resumes;
        }
        if (request.isResumption() && request.requiredVersion) {
            line["begun_version"] = request.requiredVersion->softwareVersion;
        }
        if (request.begin) {
            line["placed_by"] = request.isPlacedByLeader ? "leader" : "entry";
        }
        if (!request.promptSource.empty()) {
            line["prompt_source"] = request.promptSource;
        }
        if (request.begin || request.isLimited) {
            line["waited_ms"] = request.admissionTime.count();
        }
        if (request.metadata.programTimeLeft) {
            line["left_ms"] = request.metadata.programTimeLeft->count();
        }
        if (request.framing != ResponseFraming::None) {
            line["framing"] = nameOf(responseFramingNames, request.framing);
        }
        if (outcomeOf(request) == "unknown" || request.isQuarantined) {
            line["fingerprint"] = fmt::format("{:016x}", request.fingerprint());
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
    // Warnings are written at once, so that they are not lost if the process is killed.
    const bool isFailure = request.status == 0 || request.status >= firstServerError;
    parts_.log.write(isFailure ? LogLevel::Warning : LogLevel::Info, "request.end", line);
}

void RequestReport::unfinished(const ForwardedRequest &request) const
{
    const auto elapsed = std::chrono::steady_clock::now() - request.arrived;
    parts_.log.warn("request.unfinished",
                    {{"id", request.metadata.id},
                     {"route", request.route == nullptr ? std::string("none") : request.route->name},
                     {"ms", std::chrono::duration_cast<Milliseconds>(elapsed).count()},
                     {"backend", request.lastBackend},
                     {"runs", request.runs},
                     {"is_sent", request.connection != nullptr},
                     {"has_response_started", request.hasResponseStarted}});
}

} // namespace cardamompost
