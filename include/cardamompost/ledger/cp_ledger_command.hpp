#ifndef CARDAMOMPOST_CP_LEDGER_COMMAND_HPP_INCLUDED
#define CARDAMOMPOST_CP_LEDGER_COMMAND_HPP_INCLUDED

#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/ledger/cp_ledger_message.hpp>
#include <cardamompost/limits/cp_usage_log.hpp>

#include <variant>

namespace cardamompost
{

//! Puts a route document in force, unless one of the same or a higher version is.
struct RouteDocumentPut {
    std::uint64_t version = 0;
    //! As the operator sent it.
    std::string bytes;
};

//! Records a VM that can be a member of the ledger, or that it is to be emptied.
struct LedgerVm {
    VmName vm;
    //! Its address, which is its name in the group.
    std::string peer;
    bool isRetiring = false;

    friend bool operator==(const LedgerVm &, const LedgerVm &) = default;
};

//! What accounts with a limit have used since the leader's last report.
struct UsageReport {
    std::vector<AccountUsage> usage;
};

//! One entry of the ledger's log.
struct LedgerCommand {
    using Action = std::variant<RouteDocumentPut, TurnBegin, TurnFinish, LedgerVm, UsageReport>;

    //! The ledger's time at the leader that proposed it, see LedgerClock; what expires goes by it on all members alike.
    std::int64_t nowMs = 0;
    Action action;
};

[[nodiscard]] std::string encodeLedgerCommand(const LedgerCommand &command);
//! Errors: InvalidRequest for anything that encodeLedgerCommand() did not make.
[[nodiscard]] Result<LedgerCommand> decodeLedgerCommand(const std::string &bytes);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LEDGER_COMMAND_HPP_INCLUDED
