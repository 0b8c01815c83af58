#ifndef CARDAMOMPOST_CP_GATEWAY_SETTINGS_HPP_INCLUDED
#define CARDAMOMPOST_CP_GATEWAY_SETTINGS_HPP_INCLUDED

#include <cardamompost/config/cp_section_reader.hpp>
#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/core/cp_name_table.hpp>
#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/limits/cp_request_limiter.hpp>

namespace cardamompost
{

//! What a process of the gateway does.
enum class GatewayRole {
    //! Takes callers' requests and sends them to backend servers.
    Entry,
    //! Holds the ledger, answers operators and the directory.
    Ledger,
};

inline constexpr std::array gatewayRoleNames {
    Named {GatewayRole::Entry, "entry"},
    Named {GatewayRole::Ledger, "ledger"},
};

//! What a process of the gateway learns before it meets any other.
struct GatewaySettings {
    VmName vm;
    std::string failureDomain;
    GatewayRole role = GatewayRole::Entry;
    //! Where the system's other processes connect.
    Address peer;
    //! Where it listens for them, if that is another address, as behind a forwarder.
    Address peerListen;
    //! Entry: where callers connect, and where the platform asks whether it is ready.
    Address front;
    Address ready;
    //! Ledger: where operators connect, and where callers ask for entries.
    Address control;
    Address directory;
    //! Where the list of backend servers is read.
    Address backendList;
    Milliseconds listInterval {0};
    std::string dataFolder;
    //! What the process may take before its VM ends it.
    std::size_t memoryBytes = 0;
    //! True only when the whole system starts for the first time.
    bool isFirstStart = false;
    //! Ledger VMs that may be lost at once.
    unsigned lossesToBear = 1;
    //! From SIGTERM until the process is killed.
    Milliseconds grace {0};
    //! How long callers may keep an answer of the directory.
    Milliseconds directoryLifetime {0};
    //! The same while a directory near those callers is dark.
    Milliseconds directoryLifetimeDark {0};
    //! An entry that has not heard of the ledger for so long takes no request with a key, if it fails closed.
    Milliseconds revocationTime {0};
    bool failsClosed = false;
    //! How exactly accounts' limits are kept.
    LimitTolerance limitPrecision;
    //! "-" for standard output.
    std::string logFile = "-";
    std::string logLevel;
    //! Ledger VMs to ask first.
    std::vector<Address> seeds;
    //! Stands in for the seeds' own ports where those are not the ones for peers; 0 for none.
    std::uint16_t seedPort = 0;

    //! Room for what turns said lately; all of it is on disk too.
    [[nodiscard]] std::size_t textCacheBytes() const
    {
        return memoryBytes / shareForTexts;
    }
    static constexpr std::size_t shareForTexts = 8;

    //! Seeds' names in the ledger's group.
    [[nodiscard]] std::vector<VmName> seedPeers() const;
};

struct GatewaySettingsResult {
    GatewaySettings settings;
    std::vector<ConfigFault> faults;
};

//! Settings, or all faults of the text at once.
[[nodiscard]] GatewaySettingsResult parseGatewaySettings(std::string_view text);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_GATEWAY_SETTINGS_HPP_INCLUDED
