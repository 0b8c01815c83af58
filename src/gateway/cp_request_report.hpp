#ifndef CARDAMOMPOST_CP_REQUEST_REPORT_HPP_INCLUDED
#define CARDAMOMPOST_CP_REQUEST_REPORT_HPP_INCLUDED

#include "cp_forwarded_request.hpp"

#include <cardamompost/observe/cp_event_log.hpp>

namespace cardamompost
{

//! Says how each request ended: one line in the log, and the counters and latencies of its route.
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

    //! To be called once for a request, after its final answer.
    void end(const ForwardedRequest &request) const;

private:
    Parts parts_;
    Counter &onStaleUpdates_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_REQUEST_REPORT_HPP_INCLUDED
