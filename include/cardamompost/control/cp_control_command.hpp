#ifndef CARDAMOMPOST_CP_CONTROL_COMMAND_HPP_INCLUDED
#define CARDAMOMPOST_CP_CONTROL_COMMAND_HPP_INCLUDED

#include <cardamompost/config/cp_section_document.hpp>
#include <cardamompost/config/cp_section_reader.hpp>
#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/core/cp_name_table.hpp>

#include <variant>

namespace cardamompost
{

enum class VmState : std::uint8_t {
    Live,
    //! Draining: takes no new work and hands over its partitions.
    Leaving,
    //! Its lease has expired.
    Lost,
};

inline constexpr std::array vmStateNames {
    Named {VmState::Live, "live"},
    Named {VmState::Leaving, "leaving"},
    Named {VmState::Lost, "lost"},
};

//! Registration of a VM in the control log.
struct VmRecord {
    VmName name;
    //! Unique to each start of the process; tells a restarted VM from its previous run.
    std::uint64_t bootId = 0;
    Address http;
    Address peer;
    std::string failureDomain;
    bool isKeeper = false;
    VmState state = VmState::Live;

    friend bool operator==(const VmRecord &, const VmRecord &) = default;
};

//! A change of the configuration document, submitted by an operator.
struct ConfigurationChange {
    //! Idempotency key: the same for each retry of a submission.
    std::string requestId;
    std::uint64_t baseVersion = 0;
    std::string author;
    //! Hash of the whole submitted document. Identifies a retry, whose delta may differ from that of the first attempt.
    std::uint64_t documentHash = 0;
    DocumentDelta delta;
};

//! A change of a partition's owner or keepers; ignored unless the partition is at the expected epoch.
struct PartitionMove {
    PartitionId partition = 0;
    Epoch expectedEpoch = 0;
    VmName owner;
    //! Empty leaves the keepers unchanged.
    std::vector<VmName> keepers;

    friend bool operator==(const PartitionMove &, const PartitionMove &) = default;
};

using ControlCommand = std::variant<ConfigurationChange, VmRecord, std::vector<PartitionMove>>;

[[nodiscard]] std::string encodeCommand(const ControlCommand &command);

//! Errors: InvalidRequest for bytes that are no encoded command.
[[nodiscard]] Result<ControlCommand> decodeCommand(std::string_view bytes);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CONTROL_COMMAND_HPP_INCLUDED
