#ifndef CARDAMOMPOST_CP_CONTROL_STATE_HPP_INCLUDED
#define CARDAMOMPOST_CP_CONTROL_STATE_HPP_INCLUDED

#include <cardamompost/control/cp_control_command.hpp>

#include <deque>
#include <map>

namespace cardamompost
{

//! Outcome of applying a command.
enum class ApplyKind : std::uint8_t {
    Applied,
    //! A retry of a request that has been applied.
    Duplicate,
    VersionConflict,
    //! The request id was used for a different change.
    IdempotencyConflict,
    //! No part of the command applies to the current state.
    Stale,
};

struct ApplyResult {
    ApplyKind kind = ApplyKind::Applied;
    //! Configuration version after the command; for a known request id, the version that its first use created.
    std::uint64_t version = 0;
};

//! An accepted change of the configuration, kept to recognize retries.
struct RequestRecord {
    //! Configuration version that the change created.
    std::uint64_t version = 0;
    //! Hash of the submitted document.
    std::uint64_t hash = 0;
};

//! Owner of a partition and keepers of its journal.
struct PartitionRecord {
    Epoch epoch = 0;
    VmName owner;
    std::vector<VmName> keepers;
};

//! The replicated state machine of the control log; apply() is deterministic.
class ControlState
{
public:
    explicit ControlState(std::uint32_t partitionCount);

    ApplyResult apply(const ControlCommand &command);

    //! Incremented by each accepted change.
    [[nodiscard]] std::uint64_t configurationVersion() const
    {
        return version_;
    }
    [[nodiscard]] const SectionDocument &document() const
    {
        return document_;
    }
    [[nodiscard]] const std::map<VmName, VmRecord> &vms() const
    {
        return vms_;
    }
    [[nodiscard]] const std::vector<PartitionRecord> &partitions() const
    {
        return partitions_;
    }
    [[nodiscard]] const VmRecord *findVm(const VmName &name) const;
    //! Returns nullopt for an unknown request id.
    [[nodiscard]] std::optional<RequestRecord> findRequest(const std::string &requestId) const;

    [[nodiscard]] std::string encode() const;
    //! Errors: StorageCorrupt for bytes that are no encoded state.
    [[nodiscard]] static Result<ControlState> decode(std::string_view bytes);

private:
    ApplyResult applyConfiguration(const ConfigurationChange &change);
    ApplyResult applyVm(const VmRecord &vm);
    ApplyResult applyMoves(const std::vector<PartitionMove> &moves);
    void revokeOwnership(const VmName &name);
    void recordRequest(const std::string &id, RequestRecord record);

    std::uint64_t version_ = 0;
    SectionDocument document_;
    std::map<std::string, RequestRecord> requests_;
    std::deque<std::string> requestOrder_;
    std::map<VmName, VmRecord> vms_;
    std::vector<PartitionRecord> partitions_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CONTROL_STATE_HPP_INCLUDED
