#ifndef CARDAMOMPOST_CP_LEDGER_COMMAND_HPP_INCLUDED
#define CARDAMOMPOST_CP_LEDGER_COMMAND_HPP_INCLUDED

#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/ledger/cp_ledger_message.hpp>
#include <cardamompost/limits/cp_usage_log.hpp>

#include <variant>

namespace cardamompost
{

//! Replaces the route document, unless the current version is equal or higher.
struct RouteDocumentPut {
    std::uint64_t version = 0;
    //! Unmodified bytes from the operator.
    std::string bytes;
};

//! Registers a VM that can become a member of the consensus group, or marks it as retiring.
struct LedgerVm {
    VmName vm;
    //! Address of the VM, which is also its name in the consensus group.
    std::string peer;
    bool isRetiring = false;
    std::string failureDomain {};

    friend bool operator==(const LedgerVm &, const LedgerVm &) = default;
};

//! Usage of limited accounts since the leader's last report.
struct UsageReport {
    std::vector<AccountUsage> usage;
};

//! Payload of a log entry.
struct LedgerCommand {
    using Action = std::variant<RouteDocumentPut, TurnBegin, TurnFinish, LedgerVm, UsageReport, StreamVersion,
                                BackendEnd, SuspectClearance>;

    //! LedgerClock time of the leader that proposed the command.
    std::int64_t nowMs = 0;
    Action action;
};

[[nodiscard]] std::string encodeLedgerCommand(const LedgerCommand &command);
//! Errors: InvalidRequest if the bytes are not an encoded command.
[[nodiscard]] Result<LedgerCommand> decodeLedgerCommand(const std::string &bytes);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LEDGER_COMMAND_HPP_INCLUDED
