#ifndef CARDAMOMPOST_CP_LIST_READER_HPP_INCLUDED
#define CARDAMOMPOST_CP_LIST_READER_HPP_INCLUDED

#include "cp_ledger_service.hpp"
#include "cp_paged_list.hpp"

#include <cardamompost/net/cp_http_client.hpp>

namespace cardamompost
{

//! Polls the platform's list of backend servers while this VM is the ledger's leader, and passes it to the ledger
//! service.
class ListReader
{
public:
    struct Parts {
        boost::asio::io_context &io;
        const GatewaySettings &settings;
        const IPlatformAdapter &adapter;
        LedgerService &service;
        EventLog &log;
        MetricRegistry &metrics;
    };

    explicit ListReader(Parts parts);

    void start();
    void stop()
    {
        isStopped_ = true;
    }

private:
    boost::asio::awaitable<void> run();
    //! Fetches a page. Errors: those of the HTTP client and of the adapter; BackendFailed for an error status.
    boost::asio::awaitable<Result<BackendPage>> fetch(std::string failureDomain, std::string page);
    //! Counts list entries that could not be parsed, and logs when their number changes.
    void reportSkipped(std::size_t skipped, const std::string &reason);
    //! Counts a failure, and logs when reading starts to fail or recovers.
    void recordResult(const Result<PagedList::Content> &read);

    Parts parts_;
    HttpClient client_;
    PagedList list_;
    Counter &calls_;
    Counter &skipped_;
    Counter &failures_;
    bool isStopped_ = false;
    bool isFailing_ = false;
    std::size_t lastSkipped_ = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LIST_READER_HPP_INCLUDED
