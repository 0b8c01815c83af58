#ifndef CARDAMOMPOST_CP_LOG_ENTRY_HPP_INCLUDED
#define CARDAMOMPOST_CP_LOG_ENTRY_HPP_INCLUDED

#include <cardamompost/core/cp_ids.hpp>

namespace cardamompost
{

//! Purpose of a replicated entry.
enum class EntryKind : std::uint8_t {
    //! A command of the state machine.
    Command = 0,
    //! A new set of voters and learners.
    Membership = 1,
    //! Empty entry of a new leader or journal owner; committing it commits all earlier entries.
    Barrier = 2,
};

//! One entry of a replicated log.
struct LogEntry {
    LogIndex index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::Command;
    std::string payload;

    friend bool operator==(const LogEntry &, const LogEntry &) = default;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LOG_ENTRY_HPP_INCLUDED
