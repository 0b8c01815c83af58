#ifndef CARDAMOMPOST_CP_LOCAL_RESPONSES_HPP_INCLUDED
#define CARDAMOMPOST_CP_LOCAL_RESPONSES_HPP_INCLUDED

#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/net/cp_http_message.hpp>

#include <fmt/format.h>

namespace cardamompost
{

// Status codes and responses shared by the gateway's own HTTP interfaces.

inline constexpr unsigned statusOk = 200;
inline constexpr unsigned statusNotFound = 404;

inline HttpResponse jsonResponse(unsigned status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = std::move(body);
    return response;
}

inline HttpResponse failureResponse(unsigned status, std::string_view message)
{
    return jsonResponse(status, fmt::format("{{\"error\":\"{}\"}}", message));
}

inline constexpr unsigned statusUnavailable = 503;

//! A response to a request that can be retried shortly.
inline HttpResponse unavailableResponse(std::string_view message)
{
    HttpResponse response = failureResponse(statusUnavailable, message);
    response.headers["Retry-After"] = "0.3";
    return response;
}

inline HttpResponse errorResponse(const Error &error)
{
    const unsigned status = answerFor(error.kind).status;
    return status == statusUnavailable ? unavailableResponse(error.message) : failureResponse(status, error.message);
}

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LOCAL_RESPONSES_HPP_INCLUDED
