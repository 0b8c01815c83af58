#include "cp_gateway_settings.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <sys/resource.h>

namespace cardamompost
{

namespace
{

constexpr std::int64_t maxToleratedLosses = 4;
constexpr std::int64_t defaultGraceMs = 8000;
constexpr std::int64_t defaultDirectoryLifetimeMs = 300;
constexpr std::int64_t defaultLifetimeUnreachableMs = 3000;
constexpr std::int64_t defaultListIntervalMs = 800;
constexpr std::int64_t defaultRevocationMs = 5000;
constexpr double maxLimitWindowSeconds = 600;
constexpr double maxExcessRequests = 1'000'000;
constexpr std::int64_t maxDurationMs = 600'000;
constexpr std::int64_t defaultMemoryMb = GatewaySettings::defaultMemoryBytes >> 20U;
constexpr std::int64_t minMemoryMb = GatewaySettings::minMemoryBytes >> 20U;
constexpr std::int64_t maxMemoryMb = 1'000'000;
constexpr std::int64_t minDescriptors = 264;
constexpr std::int64_t maxDescriptors = 10'000'000;
// Descriptors of the limit in the settings that are not for connections.
constexpr std::int64_t otherDescriptors = 200;
constexpr std::int64_t maxPort = 65'535;
constexpr double minProcessorShare = 0.001;
constexpr double maxProcessorShare = 1024;
constexpr std::int64_t maxNearEntries = 64;

//! The part of a limit, and of the limit that the process runs with, that is left for connections.
std::size_t usableDescriptors(std::int64_t limit)
{
    rlimit own {};
    const bool hasLimit = ::getrlimit(RLIMIT_NOFILE, &own) == 0 && own.rlim_cur != RLIM_INFINITY;
    const auto usable = static_cast<std::size_t>(limit - otherDescriptors);
    return hasLimit ? std::min(usable, static_cast<std::size_t>(own.rlim_cur)) : usable;
}

void readRoleSettings(SectionReader &reader, GatewaySettings &settings)
{
    const std::string role = reader.requiredText("role");
    const std::optional<GatewayRole> parsedRole = valueOf(gatewayRoleNames, role);
    if (!parsedRole) {
        reader.addError("role", fmt::format("'{}' is neither 'entry' nor 'ledger'", role));
    }
    settings.role = parsedRole.value_or(GatewayRole::Entry);
    if (settings.role == GatewayRole::Entry) {
        settings.front = reader.address("front");
        settings.ready = reader.address("ready");
        return;
    }
    settings.control = reader.address("control");
    settings.directory = reader.address("directory");
    settings.backendList = reader.address("backend_list");
    settings.dataFolder = reader.requiredText("data_folder");
}

void readGatewaySection(const IniSection &section, GatewaySettingsResult &result)
{
    SectionReader reader(section, result.errors);
    GatewaySettings &settings = result.settings;
    const auto duration = [&](std::string_view key, std::int64_t fallback) {
        return Milliseconds(reader.integer(key, fallback, 1, maxDurationMs));
    };
    settings.vm = reader.requiredText("vm");
    settings.failureDomain = reader.requiredText("failure_domain");
    settings.peer = reader.address("peer");
    settings.peerListen = reader.text("peer_listen").empty() ? settings.peer : reader.address("peer_listen");
    readRoleSettings(reader, settings);
    settings.seedPort = static_cast<std::uint16_t>(reader.integer("seed_port", 0, 0, maxPort));
    settings.isFirstStart = reader.boolean("first_start", false);
    settings.toleratedLosses = static_cast<unsigned>(reader.integer("losses_to_bear", 1, 0, maxToleratedLosses));
    settings.memoryBytes
        = static_cast<std::size_t>(reader.integer("memory_mb", defaultMemoryMb, minMemoryMb, maxMemoryMb)) << 20U;
    settings.descriptors = usableDescriptors(
        reader.integer("file_descriptors", GatewaySettings::defaultDescriptors, minDescriptors, maxDescriptors));
    settings.processorShare = reader.number("processor_share", 1, minProcessorShare, maxProcessorShare);
    settings.grace = duration("grace_ms", defaultGraceMs);
    const std::string drainForwarding = reader.text("drain_forwarding", "expected");
    const std::optional<DrainForwarding> parsedForwarding = valueOf(drainForwardingNames, drainForwarding);
    if (!parsedForwarding) {
        reader.addError("drain_forwarding", fmt::format("'{}' is neither 'expected' nor 'certain'", drainForwarding));
    }
    settings.drainForwarding = parsedForwarding.value_or(DrainForwarding::Expected);
    settings.directoryLifetime = duration("directory_lifetime_ms", defaultDirectoryLifetimeMs);
    settings.directoryLifetimeUnreachable = duration("directory_lifetime_dark_ms", defaultLifetimeUnreachableMs);
    settings.nearEntriesMin = static_cast<std::size_t>(reader.integer("near_entries_min", 0, 0, maxNearEntries));
    settings.listInterval = duration("list_interval_ms", defaultListIntervalMs);
    settings.revocationTime = duration("revocation_ms", defaultRevocationMs);
    settings.failsClosed = reader.boolean("fail_closed", false);
    settings.limitTolerance.window = std::chrono::duration_cast<Milliseconds>(
        std::chrono::duration<double>(reader.number("limit_window_s", 0, 0, maxLimitWindowSeconds)));
    settings.limitTolerance.excessShare = reader.number("limit_over_share", 0, 0, 1);
    settings.limitTolerance.excessRequests = reader.number("limit_over_requests", 0, 0, maxExcessRequests);
    settings.placement.usesServiceRates = reader.boolean("place_by_service_rate", false);
    settings.placement.sharesByAccount = reader.boolean("share_by_account", false);
    settings.placement.refusesHopelessPrograms = reader.boolean("refuse_hopeless_programs", false);
    settings.placement.namesPromptSources = reader.boolean("fetch_prompts", false);
    settings.placement.prefersNearEngines = reader.boolean("prefer_near_engines", false);
    settings.logFile = reader.text("log_file", "-");
    settings.logLevel = reader.text("log_level", "info");
    // Keys of the other role are accepted, so that one template serves both.
    for (const std::string_view key : {"front", "ready", "control", "directory", "backend_list", "data_folder"}) {
        static_cast<void>(reader.text(key));
    }
    reader.finish();
}

} // namespace

std::vector<VmName> GatewaySettings::seedPeers() const
{
    std::vector<VmName> peers;
    for (const Address &seed : seeds) {
        peers.push_back(Address {seed.host, seedPort != 0 ? seedPort : seed.port}.toString());
    }
    return peers;
}

GatewaySettingsResult parseGatewaySettings(std::string_view text)
{
    GatewaySettingsResult result;
    const IniDocument document = IniDocument::parse(text);
    result.errors = document.errors();
    bool hasGateway = false;
    for (const IniSection &section : document.sections()) {
        if (section.kind == "gateway") {
            hasGateway = true;
            readGatewaySection(section, result);
        } else if (section.kind == "seed") {
            SectionReader reader(section, result.errors);
            result.settings.seeds.push_back(reader.address("address"));
            reader.finish();
        } else {
            result.errors.push_back(
                {section.line, section.header(), {}, fmt::format("'{}' is not a kind of section", section.kind)});
        }
    }
    if (!hasGateway) {
        result.errors.push_back({0, "gateway", {}, "the section is missing"});
    }
    if (result.settings.seeds.empty()) {
        result.errors.push_back({0, "seed", {}, "at least one [seed NAME] section is required"});
    }
    return result;
}

} // namespace cardamompost
