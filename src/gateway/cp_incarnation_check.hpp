#ifndef CARDAMOMPOST_CP_INCARNATION_CHECK_HPP_INCLUDED
#define CARDAMOMPOST_CP_INCARNATION_CHECK_HPP_INCLUDED

#include "cp_forwarded_request.hpp"

namespace cardamompost
{

//! Checks that a backend server has not restarted since the list was read, before a stream is resumed there. A server
//! may restart under its id with other software, and a request names only the id.
class IncarnationCheck
{
public:
    struct Parts {
        const IPlatformAdapter &adapter;
        BackendPool &pool;
        EventLog &log;
        MetricRegistry &metrics;
    };

    explicit IncarnationCheck(Parts parts);

    //! Asks the server on the request's connection for its incarnation. The connection may be replaced by a new one; a
    //! restart of the server ends it, so what is sent on it next reaches the incarnation that answered.
    //! \returns true if the stream may be resumed on the connection, also if the list names no incarnation
    boost::asio::awaitable<bool> confirm(ForwardedRequest &request, std::shared_ptr<BackendState> backend);

private:
    //! Asks once. Errors: BackendFailed, also for a report that can't be read and a connection that the server closes.
    boost::asio::awaitable<Result<std::uint64_t>> ask(std::shared_ptr<BackendConnection> connection,
                                                      std::shared_ptr<BackendState> backend, TimePoint deadline);
    void logDifference(const ForwardedRequest &request, const BackendState &backend, std::uint64_t reported);
    void logFailure(const ForwardedRequest &request, const BackendState &backend, const Error &error);

    Parts parts_;
    Counter &confirmed_;
    Counter &restarted_;
    Counter &failed_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_INCARNATION_CHECK_HPP_INCLUDED
