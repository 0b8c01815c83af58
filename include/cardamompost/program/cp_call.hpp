#ifndef CARDAMOMPOST_CP_CALL_HPP_INCLUDED
#define CARDAMOMPOST_CP_CALL_HPP_INCLUDED

#include <cardamompost/program/cp_call_machine.hpp>
#include <cardamompost/program/cp_journal_record.hpp>

#include <vector>

namespace cardamompost
{

//! One call of a program, built from its journal records.
struct Call {
    CallAccepted accepted;
    std::int64_t acceptedMs = 0;
    CallMachine machine;
    std::vector<CallIntent> attempts;
    //! Set when the call has its final answer.
    std::optional<CallResult> result;

    [[nodiscard]] bool isFinal() const
    {
        return result.has_value();
    }
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CALL_HPP_INCLUDED
