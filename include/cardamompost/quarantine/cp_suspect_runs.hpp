#ifndef CARDAMOMPOST_CP_SUSPECT_RUNS_HPP_INCLUDED
#define CARDAMOMPOST_CP_SUSPECT_RUNS_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/quarantine/cp_request_fingerprint.hpp>

#include <string>
#include <unordered_map>

namespace cardamompost
{

//! An attempt to run a request under which servers have ended.
struct SuspectRun {
    //! Chosen at random by the entry.
    std::uint64_t id = 0;
    RequestFingerprint request = 0;
    std::string backend;
    //! Servers that have ended under the request.
    std::size_t ends = 0;
    //! The entry reports the end of the run before this time unless it is lost.
    TimePoint until {};
};

//! The suspects that run now, as known to the ledger's leader. Keeps suspects apart, so that the next end of a server
//! tells which of them has ended it, and bounds the servers that can end before the first end is known.
//! Thread-safety: none.
class SuspectRuns
{
public:
    //! Requests with at least this many ends don't share a server with another suspect.
    static constexpr std::size_t endsUntilIsolation = 2;

    //! Starts a run, unless it has to wait. A repeated start of a run replaces it.
    //! \param maxAtOnce  runs of the request that may be in progress together
    //! \returns false if it has to wait
    [[nodiscard]] bool start(SuspectRun run, std::size_t maxAtOnce, TimePoint now);
    void end(std::uint64_t id)
    {
        runs_.erase(id);
    }
    void clear()
    {
        runs_.clear();
    }

private:
    std::unordered_map<std::uint64_t, SuspectRun> runs_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_SUSPECT_RUNS_HPP_INCLUDED
