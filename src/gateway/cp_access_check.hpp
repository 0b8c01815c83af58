#ifndef CARDAMOMPOST_CP_ACCESS_CHECK_HPP_INCLUDED
#define CARDAMOMPOST_CP_ACCESS_CHECK_HPP_INCLUDED

#include "cp_forwarded_request.hpp"
#include "cp_gateway_settings.hpp"
#include "cp_ledger_client.hpp"

namespace cardamompost
{

//! Decides which client account a request belongs to, and whether it may be sent.
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

    //! Notes the request's account. \returns the refusal; nothing when it may go on
    [[nodiscard]] std::optional<LocalResponse> identify(ForwardedRequest &request);
    //! Checks a request that has waited against a newer document. \returns the refusal; nothing when it may go on
    [[nodiscard]] std::optional<LocalResponse> recheck(const ForwardedRequest &request, const RouteTable &newest);
    //! Waits until the account's limit allows the request, unless its turn's begin asks for that.
    //! \returns the refusal; nothing when it may go on
    boost::asio::awaitable<std::optional<LocalResponse>> admit(ForwardedRequest &request);
    //! The answer to a request beyond the limit.
    [[nodiscard]] LocalResponse limited(Milliseconds retryAfter);

private:
    [[nodiscard]] LocalResponse unknownKey();
    [[nodiscard]] bool isCutOff() const;

    Parts parts_;
    Counter &unknownKeys_;
    Counter &unsure_;
    Counter &limited_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ACCESS_CHECK_HPP_INCLUDED
