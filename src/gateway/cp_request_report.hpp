#ifndef CARDAMOMPOST_CP_REQUEST_REPORT_HPP_INCLUDED
#define CARDAMOMPOST_CP_REQUEST_REPORT_HPP_INCLUDED

#include "cp_forwarded_request.hpp"

#include <cardamompost/observe/cp_event_log.hpp>

namespace cardamompost
{

//! Reports how each request ended: one log line, and the counters and latencies of its route.
class RequestReport
{
public:
    struct Parts {
        const BackendPool &pool;
        const LedgerClient &ledger;
        EventLog &log;
        MetricRegistry &metrics;
    };

    explicit RequestReport(Parts parts);

    //! Called once per request, after its final response.
    void end(const ForwardedRequest &request) const;
    //! Called instead of end() for a request that is in flight when the process ends.
    void unfinished(const ForwardedRequest &request) const;

private:
    Parts parts_;
    Counter &onStaleUpdates_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_REQUEST_REPORT_HPP_INCLUDED
