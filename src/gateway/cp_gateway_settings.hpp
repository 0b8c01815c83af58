#ifndef CARDAMOMPOST_CP_GATEWAY_SETTINGS_HPP_INCLUDED
#define CARDAMOMPOST_CP_GATEWAY_SETTINGS_HPP_INCLUDED

#include <cardamompost/config/cp_section_reader.hpp>
#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/core/cp_name_table.hpp>
#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/limits/cp_request_limiter.hpp>
#include <cardamompost/policy/cp_placement_options.hpp>

namespace cardamompost
{

//! Role of a gateway process.
enum class GatewayRole {
    //! Forwards callers' requests to backend servers.
    Entry,
    //! Replicates the ledger; serves the operators' interface and the directory.
    Ledger,
};

inline constexpr std::array gatewayRoleNames {
    Named {GatewayRole::Entry, "entry"},
    Named {GatewayRole::Ledger, "ledger"},
};

//! Which requests an entry that is told to stop still forwards.
enum class DrainForwarding {
    //! Those that usually end in time, by the times of recent requests.
    Expected,
    //! Those whose deadline passes in time.
    Certain,
};

inline constexpr std::array drainForwardingNames {
    Named {DrainForwarding::Expected, "expected"},
    Named {DrainForwarding::Certain, "certain"},
};

//! Local settings of a gateway process.
struct GatewaySettings {
    VmName vm;
    std::string failureDomain;
    GatewayRole role = GatewayRole::Entry;
    //! Address at which other gateway processes connect.
    Address peer;
    //! Address to listen on for them, if different, as behind a port forwarder.
    Address peerListen;
    //! Entry: addresses for callers and for the platform's readiness checks.
    Address front;
    Address ready;
    //! Ledger: addresses of the operators' interface and of the directory.
    Address control;
    Address directory;
    //! Ledger: address from which the list of backend servers is read, and the interval between reads.
    Address backendList;
    Milliseconds listInterval {0};
    std::string dataFolder;
    //! Memory limit of the process; 0 for the default.
    std::size_t memoryBytes = 0;
    static constexpr std::size_t minMemoryBytes = 32U << 20U;
    static constexpr std::size_t defaultMemoryBytes = 128U << 20U;
    //! Number of descriptors that the process may open for connections.
    std::size_t descriptors = defaultDescriptors;
    static constexpr std::size_t defaultDescriptors = 1'000'000;
    //! Share of a processor that the process may use; above 1 for several.
    double processorShare = 1;
    //! True only for the first start of the whole system, which creates the ledger.
    bool isFirstStart = false;
    //! Number of simultaneous losses of ledger VMs to tolerate.
    unsigned toleratedLosses = 1;
    //! Time from SIGTERM until the process is killed.
    Milliseconds grace {0};
    DrainForwarding drainForwarding = DrainForwarding::Expected;
    //! Minimum number of entries that callers are told of; beyond it they are told of those in their failure domain,
    //! and of others by load. 0 to tell all.
    std::size_t nearEntriesMin = 0;
    //! How long callers may cache a directory response.
    Milliseconds directoryLifetime {0};
    //! The same if all directories of the caller's failure domain are unreachable.
    Milliseconds directoryLifetimeUnreachable {0};
    //! Time without updates from the ledger after which an entry that fails closed rejects requests with a key.
    Milliseconds revocationTime {0};
    bool failsClosed = false;
    //! Tolerance for exceeding accounts' limits.
    LimitTolerance limitTolerance;
    //! Ledger: how turns are placed.
    PlacementOptions placement;
    //! "-" for standard output.
    std::string logFile = "-";
    std::string logLevel;
    //! Ledger VMs to contact first.
    std::vector<Address> seeds;
    //! Replaces the seeds' ports if those are not the peer ports; 0 for no replacement.
    std::uint16_t seedPort = 0;

    //! The memory limit, but at least what a process needs.
    [[nodiscard]] std::size_t usableMemoryBytes() const
    {
        return memoryBytes == 0 ? defaultMemoryBytes : std::max(memoryBytes, minMemoryBytes);
    }
    //! Size of the cache for texts of recent turns, which are stored on disk too.
    [[nodiscard]] std::size_t textCacheBytes() const
    {
        return memoryBytes / textCacheMemoryDivisor;
    }
    static constexpr std::size_t textCacheMemoryDivisor = 8;

    //! The seeds' names as peers.
    [[nodiscard]] std::vector<VmName> seedPeers() const;
};

struct GatewaySettingsResult {
    GatewaySettings settings;
    std::vector<ConfigError> errors;
};

//! Parses the settings and collects all errors of the text.
[[nodiscard]] GatewaySettingsResult parseGatewaySettings(std::string_view text);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_GATEWAY_SETTINGS_HPP_INCLUDED
