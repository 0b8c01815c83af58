#ifndef CARDAMOMPOST_CP_ACCESS_CHECK_HPP_INCLUDED
#define CARDAMOMPOST_CP_ACCESS_CHECK_HPP_INCLUDED

#include "cp_forwarded_request.hpp"
#include "cp_gateway_settings.hpp"
#include "cp_ledger_client.hpp"

namespace cardamompost
{

//! Authenticates requests by their keys and applies the limits of client accounts.
class AccessCheck
{
public:
    struct Parts {
        const IPlatformAdapter &adapter;
        const GatewaySettings &settings;
        LedgerClient &ledger;
        MetricRegistry &metrics;
    };

    explicit AccessCheck(Parts parts);

    //! Sets the request's account. \returns the refusal; nothing if the request may proceed
    [[nodiscard]] std::optional<LocalResponse> identify(ForwardedRequest &request);
    //! Checks a request that has waited against a newer document. \returns the refusal; nothing if it may proceed
    [[nodiscard]] std::optional<LocalResponse> recheck(const ForwardedRequest &request, const RouteTable &newest);
    //! Waits for admission under the account's limit. A turn is admitted with its TurnBegin instead.
    //! \returns the refusal; nothing if the request may proceed
    boost::asio::awaitable<std::optional<LocalResponse>> admit(ForwardedRequest &request);
    //! The response to a request over the account's limit.
    [[nodiscard]] LocalResponse overLimitResponse(Milliseconds retryAfter);

private:
    [[nodiscard]] LocalResponse unknownKeyResponse();
    //! True if this entry fails closed and has had no update from the ledger for longer than the revocation time.
    [[nodiscard]] bool mustFailClosed() const;

    Parts parts_;
    Counter &unknownKeys_;
    Counter &staleDocuments_;
    Counter &limited_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ACCESS_CHECK_HPP_INCLUDED
