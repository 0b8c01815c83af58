#ifndef CARDAMOMPOST_CP_STREAM_VERSION_RECORD_HPP_INCLUDED
#define CARDAMOMPOST_CP_STREAM_VERSION_RECORD_HPP_INCLUDED

#include "cp_ledger_client.hpp"

namespace cardamompost
{

//! Records at the ledger which software version runs a stream, so that any entry can resume it there.
//!
//! Each attempt to begin the stream may propose another version; the last one counts. Copies of a proposal that arrive
//! late don't replace a later one. Thread-safety: none.
class StreamVersionRecord
{
public:
    //! Notes the version that the ledger has recorded with the turn's begin.
    void setRecorded(const ServerVersion &version)
    {
        recorded_ = version;
    }
    //! Starts to record a version in the background, unless it is recorded or being recorded.
    //! \param stream  its attempt is set by this function
    void propose(boost::asio::io_context &io, LedgerClient &ledger, StreamVersion stream, TimePoint deadline);
    //! Waits until the proposed version is recorded. A stream whose version isn't recorded can't be resumed; it must
    //! not be relayed if another version may be recorded. \returns whether the stream may be relayed
    boost::asio::awaitable<bool> wait();
    //! Ends wait(), as when the caller has disconnected.
    void stopWaiting();

private:
    struct Proposal {
        explicit Proposal(boost::asio::io_context &io)
            : ended(io, boost::asio::steady_timer::time_point::max())
        {
        }

        boost::asio::steady_timer ended;
        ServerVersion version;
        TimePoint startedAt {};
        TimePoint deadline {};
        bool hasEnded = false;
        bool isDurable = false;
    };
    static boost::asio::awaitable<void> record(LedgerClient &ledger, StreamVersion stream,
                                               std::shared_ptr<Proposal> proposal);

    ServerVersion recorded_;
    std::shared_ptr<Proposal> proposal_;
    std::uint32_t attempts_ = 0;
    //! The ledger may hold a version other than the one proposed last.
    bool mustReplace_ = false;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_STREAM_VERSION_RECORD_HPP_INCLUDED
