#ifndef CARDAMOMPOST_CP_QUARANTINE_CHECK_HPP_INCLUDED
#define CARDAMOMPOST_CP_QUARANTINE_CHECK_HPP_INCLUDED

#include "cp_forwarded_request.hpp"

#include <cardamompost/quarantine/cp_recent_answers.hpp>
#include <cardamompost/quarantine/cp_suspect_list.hpp>

#include <deque>

namespace cardamompost
{

//! Whether a request may be sent to a server.
enum class QuarantineVerdict {
    Send,
    //! Another server has to be chosen, not of a version that is excluded by now, possibly the same one again.
    ChooseAgain,
    //! The ledger does not respond, or other suspects have run for too long.
    Unavailable,
};

//! An entry's part in the quarantine: notices that a server has ended, reports the requests that it ran to the ledger,
//! and asks the ledger before it sends one of these again.
//!
//! A lost connection alone is no end. It is one if nothing listens at the server's address any more, or once the list
//! names the server no longer, or another incarnation, without having named it as leaving. Thread-safety: none.
class QuarantineCheck
{
public:
    struct Parts {
        boost::asio::io_context &io;
        BackendPool &pool;
        LedgerClient &ledger;
        EventLog &log;
        MetricRegistry &metrics;
    };

    explicit QuarantineCheck(Parts parts);

    //! Sets the list of suspects, which must outlive this object's last use.
    void setSuspects(const SuspectList &suspects)
    {
        suspects_ = &suspects;
    }

    //! To be called before a request is sent; the run has to be ended by afterAttempt() or release().
    boost::asio::awaitable<QuarantineVerdict> admit(ForwardedRequest &request, const BackendState &backend);
    //! To be called after an attempt. Waits until an end of the server is recorded.
    boost::asio::awaitable<void> afterAttempt(ForwardedRequest &request, std::shared_ptr<BackendState> backend,
                                              ExchangeEnd end);
    //! Ends a run that was not sent.
    void release(ForwardedRequest &request, const BackendState &backend);
    //! To be called before the pool takes the changes.
    void onListChange(const BackendChanges &changes);
    //! The final response to a request that no server may run.
    [[nodiscard]] LocalResponse quarantinedResponse();

private:
    //! A request whose run at a server ended without a complete response.
    struct LostRun {
        //! As ForwardedRequest::suspectRun.
        std::uint64_t run = 0;
        BackendEnd end;
        std::string requestId;
        TimePoint at {};
    };
    struct RecordedEnd {
        std::string backend;
        std::uint64_t incarnation = 0;
        TimePoint at {};
    };

    [[nodiscard]] bool hasSuspects() const;
    [[nodiscard]] bool isSuspect(RequestFingerprint request) const;
    //! Whether the end of a server counts against a request that it ran.
    [[nodiscard]] bool counts(const BackendEnd &end) const;
    [[nodiscard]] static BackendEnd endOf(const ForwardedRequest &request, const BackendServer &server);
    [[nodiscard]] SuspectRequest makeRequest(SuspectAction action, const ForwardedRequest &request,
                                             const BackendServer &server) const;
    //! Sends a message to the ledger in the background.
    void notify(SuspectRequest message);
    boost::asio::awaitable<void> onLostRun(ForwardedRequest &request, std::shared_ptr<BackendState> backend);
    //! Reports an end, and waits until it is recorded or the request can't wait any longer.
    boost::asio::awaitable<void> report(ForwardedRequest &request, const BackendServer &server);
    //! Records a run without a complete response at a server that may have ended.
    void rememberLostRun(ForwardedRequest &request, const BackendServer &server);
    void reportLostRun(const LostRun &run);
    void releaseLater(SuspectRequest message);
    [[nodiscard]] bool isEndRecorded(const BackendServer &server) const;
    void recordEnd(const BackendServer &server, std::string_view evidence);
    //! Reports the runs that a server lost shortly before its end was noticed.
    void reportEarlierRuns(const BackendServer &server, Milliseconds maxAge);
    void removeExpired();

    Parts parts_;
    const SuspectList *suspects_ = nullptr;
    //! Requests that this entry has reported, until the list of suspects can be expected to name them.
    std::unordered_map<RequestFingerprint, TimePoint> reported_;
    RecentAnswers answers_;
    std::deque<LostRun> lostRuns_;
    std::deque<RecordedEnd> recordedEnds_;
    Counter &refused_;
    Counter &waits_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_QUARANTINE_CHECK_HPP_INCLUDED
