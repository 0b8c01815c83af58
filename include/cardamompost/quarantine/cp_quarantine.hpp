#ifndef CARDAMOMPOST_CP_QUARANTINE_HPP_INCLUDED
#define CARDAMOMPOST_CP_QUARANTINE_HPP_INCLUDED

#include <cardamompost/quarantine/cp_suspect_list.hpp>

#include <string>
#include <unordered_map>

namespace cardamompost
{

//! A backend server ended while it ran a request.
struct BackendEnd {
    RequestFingerprint request = 0;
    //! The server, and its start if it is known.
    std::string backend;
    std::uint64_t incarnation = 0;
    std::string softwareVersion;

    friend bool operator==(const BackendEnd &, const BackendEnd &) = default;
};

//! A server of a software version has answered a request under which servers had ended.
struct SuspectClearance {
    RequestFingerprint request = 0;
    std::string softwareVersion;
};

//! Counts the backend servers that have ended under each request, and decides which requests are sent to no more of
//! them. Part of the ledger's replicated state: time comes from the commands.
//!
//! All requests that a server ran when it ended are counted, since it is not known which one ended it. One that did not
//! is answered at a later attempt, which clears it. Thread-safety: none.
class Quarantine
{
public:
    //! Servers that may end under a request until it is quarantined.
    static constexpr std::size_t maxEnds = 3;
    //! How long ends are remembered.
    static constexpr std::int64_t retentionMs = 600'000;
    //! After this time, servers of a software version that has not ended under the request may run it once. A version
    //! that is only being released says nothing about the request.
    static constexpr std::int64_t newVersionDelayMs = 30'000;
    //! Beyond this number, the requests with the earliest last end are forgotten.
    static constexpr std::size_t maxRequests = 8192;

    //! \param index  log index of the command, which becomes the version of the suspect list
    void recordEnd(const BackendEnd &end, std::int64_t nowMs, std::uint64_t index);
    void clear(const SuspectClearance &clearance, std::uint64_t index);
    void expire(std::int64_t nowMs, std::uint64_t index);

    //! The number of servers that have ended under a request.
    [[nodiscard]] std::size_t ends(RequestFingerprint request) const;
    //! True if servers of the software version have ended under a request.
    [[nodiscard]] bool hasEnded(RequestFingerprint request, const std::string &softwareVersion) const;
    //! True if a request may be sent to a server of the software version.
    [[nodiscard]] bool mayRun(RequestFingerprint request, const std::string &softwareVersion, std::int64_t nowMs) const;
    [[nodiscard]] const SuspectList &suspects() const
    {
        return suspects_;
    }

    struct Record {
        //! Ends of different servers, in the order of their reports.
        std::vector<BackendEnd> ends;
        std::int64_t lastEndMs = 0;
    };
    using Records = std::unordered_map<RequestFingerprint, Record>;
    [[nodiscard]] const Records &records() const
    {
        return records_;
    }
    //! Restores the state of a snapshot.
    //! \param version  of the suspect list when the snapshot was made
    void restore(Records records, std::uint64_t version);

private:
    void removeOldest(std::uint64_t index);

    Records records_;
    SuspectList suspects_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_QUARANTINE_HPP_INCLUDED
