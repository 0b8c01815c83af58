#ifndef CARDAMOMPOST_CP_OPERATOR_API_HPP_INCLUDED
#define CARDAMOMPOST_CP_OPERATOR_API_HPP_INCLUDED

#include "cp_control_client.hpp"
#include "cp_dispatcher.hpp"
#include "cp_partition_table.hpp"

#include <cardamompost/net/cp_http_message.hpp>

namespace cardamompost
{

//! The operator API: reads and changes the configuration, reports the system's status, and drains VMs.
class OperatorApi
{
public:
    struct Parts {
        const Settings &settings;
        ControlReplica &replica;
        ControlClient &control;
        PartitionTable &table;
        Dispatcher &dispatcher;
        EventLog &log;
    };

    explicit OperatorApi(Parts parts);

    boost::asio::awaitable<HttpResponse> handle(const HttpRequest &request);

private:
    //! Returns the name of the operator that the request's key belongs to. Errors: Unauthenticated, Forbidden.
    [[nodiscard]] Result<std::string> authenticate(const HttpRequest &request) const;
    boost::asio::awaitable<HttpResponse> getConfiguration();
    boost::asio::awaitable<HttpResponse> putConfiguration(const HttpRequest &request, std::string author);
    boost::asio::awaitable<HttpResponse> answerVersion(const HttpRequest &request, std::uint64_t version);
    boost::asio::awaitable<HttpResponse> drain(VmName name);
    boost::asio::awaitable<HttpResponse> status();
    [[nodiscard]] HttpResponse conflictResponse(const ControlState &state, std::uint64_t base,
                                                const std::string &submitted) const;

    Parts parts_;
};

//! Builds a complete HTTP response for an error.
[[nodiscard]] HttpResponse errorResponse(const Error &error);

//! Returns the key of "Authorization: Bearer KEY"; empty when there is none.
[[nodiscard]] std::string_view bearerKey(const HttpRequest &request);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_OPERATOR_API_HPP_INCLUDED
