#include <cardamompost/config/cp_settings.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace cardamompost
{

namespace
{

constexpr std::int64_t defaultPartitions = 1024;
constexpr std::int64_t maxPartitions = 65536;
constexpr std::int64_t defaultWorkers = 4;
constexpr std::int64_t maxWorkers = 256;
constexpr std::int64_t defaultTtlMs = 10'000;
constexpr std::int64_t maxTtlMs = 600'000;

void readVm(const IniSection &section, SettingsResult &result)
{
    SectionReader reader(section, result.errors);
    Settings &settings = result.settings;
    settings.vm = reader.requiredText("name");
    settings.failureDomain = reader.requiredText("failure_domain");
    settings.http = reader.address("http");
    settings.peer = reader.address("peer");
    settings.isKeeper = reader.boolean("keeper", false);
    settings.dataFolder = reader.text("data_folder");
    settings.logFile = reader.text("log_file");
    settings.logLevel = reader.text("log_level", "info");
    settings.workers = static_cast<int>(reader.integer("workers", defaultWorkers, 1, maxWorkers));
    settings.directoryTtlMs = reader.integer("directory_ttl_ms", defaultTtlMs, 100, maxTtlMs);
    settings.tlsCertificate = reader.text("tls_certificate");
    settings.tlsKey = reader.text("tls_key");
    settings.tlsAuthority = reader.text("tls_authority");
    if (settings.tlsCertificate.empty() != settings.tlsKey.empty()
        || settings.tlsKey.empty() != settings.tlsAuthority.empty()) {
        reader.addError("tls_certificate", "'tls_certificate', 'tls_key' and 'tls_authority' must be given together");
    }
    settings.syncWrites = reader.boolean("sync_writes", true);
    if (settings.isKeeper && settings.dataFolder.empty()) {
        reader.addError("data_folder", "a keeper needs a data folder");
    }
    reader.finish();
}

void readSystem(const IniSection &section, SettingsResult &result)
{
    SectionReader reader(section, result.errors);
    result.settings.partitions
        = static_cast<std::uint32_t>(reader.integer("partitions", defaultPartitions, 1, maxPartitions));
    result.settings.bootstrapKeyHash = reader.text("bootstrap_key_sha256");
    reader.finish();
}

void readKeeper(const IniSection &section, SettingsResult &result)
{
    SectionReader reader(section, result.errors);
    KeeperPeer keeper {section.name, reader.address("peer"), reader.requiredText("failure_domain")};
    if (keeper.name.empty()) {
        reader.addError("", "the section needs the keeper's VM name, as in [keeper vm-1]");
    }
    result.settings.keepers.push_back(std::move(keeper));
    reader.finish();
}

void checkSettings(SettingsResult &result)
{
    const Settings &settings = result.settings;
    const auto isSelf = [&](const KeeperPeer &keeper) { return keeper.name == settings.vm; };
    const bool isListed = std::any_of(settings.keepers.begin(), settings.keepers.end(), isSelf);
    if (settings.keepers.empty()) {
        result.errors.push_back({0, "keeper", {}, "at least one [keeper NAME] section is required"});
    }
    if (settings.isKeeper && !isListed && !settings.keepers.empty()) {
        result.errors.push_back({0, "vm", "keeper", "this VM is a keeper but has no [keeper] section"});
    }
}

} // namespace

const std::map<std::string, std::vector<std::string>, std::less<>> &settingsKeys()
{
    static const std::map<std::string, std::vector<std::string>, std::less<>> keys {
        {"vm",
         {"name", "failure_domain", "http", "peer", "keeper", "data_folder", "log_file", "log_level", "workers",
          "directory_ttl_ms", "tls_certificate", "tls_key", "tls_authority", "sync_writes"}},
        {"system", {"partitions", "bootstrap_key_sha256"}},
        {"keeper", {"peer", "failure_domain"}},
    };
    return keys;
}

SettingsResult parseSettings(std::string_view text)
{
    SettingsResult result;
    result.settings.partitions = static_cast<std::uint32_t>(defaultPartitions);
    const IniDocument document = IniDocument::parse(text);
    result.errors = document.errors();
    bool hasVm = false;
    for (const IniSection &section : document.sections()) {
        if (section.kind == "vm") {
            hasVm = true;
            readVm(section, result);
        } else if (section.kind == "system") {
            readSystem(section, result);
        } else if (section.kind == "keeper") {
            readKeeper(section, result);
        } else {
            result.errors.push_back(
                {section.line, section.header(), {}, fmt::format("'{}' is not a kind of section", section.kind)});
        }
    }
    if (!hasVm) {
        result.errors.push_back({0, "vm", {}, "the section is missing"});
    }
    checkSettings(result);
    return result;
}

} // namespace cardamompost
