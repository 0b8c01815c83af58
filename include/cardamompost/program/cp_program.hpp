#ifndef CARDAMOMPOST_CP_PROGRAM_HPP_INCLUDED
#define CARDAMOMPOST_CP_PROGRAM_HPP_INCLUDED

#include <cardamompost/program/cp_call.hpp>

#include <map>
#include <set>

namespace cardamompost
{

//! The token budget of a program.
struct BudgetUse {
    std::int64_t limit = 0;
    std::int64_t spent = 0;
    //! Reserved for open calls and running sub-agents.
    std::int64_t reserved = 0;

    [[nodiscard]] std::int64_t remaining() const
    {
        return limit - spent - reserved;
    }
};

//! State of a program, replayed from its journal records: the same records give the same state on any VM.
//! Thread-safety: none; guarded by the lock of its partition.
class Program
{
public:
    Program(ProgramId id, ProgramCreated created, std::int64_t wallMs);

    //! Applies the record at a journal index.
    void apply(const JournalRecord &record, LogIndex index);

    [[nodiscard]] const ProgramId &id() const
    {
        return id_;
    }
    [[nodiscard]] const ProgramCreated &created() const
    {
        return created_;
    }
    [[nodiscard]] std::int64_t createdMs() const
    {
        return createdMs_;
    }
    [[nodiscard]] std::int64_t lastUseMs() const
    {
        return lastUseMs_;
    }
    [[nodiscard]] const BudgetUse &budget() const
    {
        return budget_;
    }
    [[nodiscard]] bool hasEnded() const
    {
        return hasEnded_;
    }
    [[nodiscard]] const std::string &endReason() const
    {
        return endReason_;
    }
    [[nodiscard]] const std::map<std::uint32_t, Call> &calls() const
    {
        return calls_;
    }
    [[nodiscard]] const Call *findCall(std::uint32_t sequence) const;
    [[nodiscard]] std::optional<std::uint32_t> sequenceOfKey(const std::string &idempotencyKey) const;
    //! The refusal recorded for a key; null for none.
    [[nodiscard]] const CallRefused *refusalOf(const std::string &idempotencyKey) const;
    //! The sequence number required of the next call. Numbers of trailing calls that were not run are reused.
    [[nodiscard]] std::uint32_t nextSequence() const;
    //! The first call without a final answer; empty if there is none.
    [[nodiscard]] std::optional<std::uint32_t> firstOpenCall() const;
    //! Tokens of the history, as counted by the engine.
    [[nodiscard]] std::int64_t historyTokens() const
    {
        return historyTokens_;
    }
    //! Tokens that engines computed for the program, used for fairness between programs.
    [[nodiscard]] std::int64_t attainedTokens() const
    {
        return attainedTokens_;
    }
    //! Replicas that may hold resources of the program and have not confirmed their release.
    [[nodiscard]] const std::set<std::string> &unreleasedBackends() const
    {
        return unreleasedBackends_;
    }
    //! The replica of the last attempt; empty before the first attempt.
    [[nodiscard]] const std::string &lastBackend() const
    {
        return lastBackend_;
    }
    //! Journal indexes of the program's records.
    [[nodiscard]] const std::vector<LogIndex> &indexes() const
    {
        return indexes_;
    }
    //! Bytes of requests and answers kept in memory.
    [[nodiscard]] std::size_t textBytes() const
    {
        return textBytes_;
    }

    //! Reserves the budget of a sub-agent's program.
    void reserveForChild(std::int64_t tokens);
    //! Replaces the reservation of a sub-agent's program by the tokens it spent.
    void settleChild(std::int64_t reserved, std::int64_t spent);

private:
    void applyAccepted(const CallAccepted &accepted, std::int64_t wallMs);
    void applyIntent(const CallIntent &intent);
    void applyResult(const CallResult &result);
    void settle(const Call &call, const CallResult &result);

    ProgramId id_;
    ProgramCreated created_;
    std::int64_t createdMs_;
    std::int64_t lastUseMs_;
    BudgetUse budget_;
    bool hasEnded_ = false;
    std::string endReason_;
    std::map<std::uint32_t, Call> calls_;
    std::map<std::string, std::uint32_t> sequenceByKey_;
    std::map<std::string, CallRefused> refusals_;
    std::vector<std::string> refusalOrder_;
    std::int64_t historyTokens_ = 0;
    std::int64_t attainedTokens_ = 0;
    std::set<std::string> unreleasedBackends_;
    std::string lastBackend_;
    std::vector<LogIndex> indexes_;
    std::size_t textBytes_ = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_PROGRAM_HPP_INCLUDED
