#ifndef CARDAMOMPOST_CP_SETTINGS_HPP_INCLUDED
#define CARDAMOMPOST_CP_SETTINGS_HPP_INCLUDED

#include <cardamompost/config/cp_section_reader.hpp>
#include <cardamompost/core/cp_ids.hpp>

#include <map>

namespace cardamompost
{

//! A VM that stores the system's durable state, as configured on every VM.
struct KeeperPeer {
    VmName name;
    Address address;
    std::string failureDomain;
};

//! Settings of one process.
struct Settings {
    VmName vm;
    std::string failureDomain;
    //! Listening address for callers and operators.
    Address http;
    //! Listening address for other processes of the system.
    Address peer;
    bool isKeeper = false;
    std::string dataFolder;
    std::string logFile;
    std::string logLevel;
    int workers = 0;
    //! Time for which callers may cache a directory answer, and for which a draining VM serves them.
    std::int64_t directoryTtlMs = 0;
    //! PEM files for TLS between processes; all empty without TLS.
    std::string tlsCertificate;
    std::string tlsKey;
    std::string tlsAuthority;
    //! Number of partitions. Never changes: the first configuration in the control log records it.
    std::uint32_t partitions = 0;
    //! SHA-256 of the operator key that is valid until the configuration has an operator.
    std::string bootstrapKeyHash;
    std::vector<KeeperPeer> keepers;
    //! False skips syncing to disk, for benchmarks only.
    bool syncWrites = true;
};

//! Parsed settings with all errors; usable only without errors.
struct SettingsResult {
    Settings settings;
    std::vector<ConfigError> errors;
};

[[nodiscard]] SettingsResult parseSettings(std::string_view text);

//! The valid keys of each kind of section.
[[nodiscard]] const std::map<std::string, std::vector<std::string>, std::less<>> &settingsKeys();

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_SETTINGS_HPP_INCLUDED
