#ifndef CARDAMOMPOST_CP_HTTP_ANSWER_HPP_INCLUDED
#define CARDAMOMPOST_CP_HTTP_ANSWER_HPP_INCLUDED

#include <cardamompost/net/cp_api_message.hpp>
#include <cardamompost/net/cp_http_server.hpp>

namespace cardamompost
{

//! Writes an answer's chunks to a caller, as one response or as an event stream.
class HttpAnswer
{
public:
    HttpAnswer(const ApiRequest &request, IHttpResponder &responder);

    //! A chunk without a body is a keep-alive. Returns false if the caller has disconnected.
    boost::asio::awaitable<bool> deliver(ApiChunk chunk);

private:
    boost::asio::awaitable<bool> deliverComplete(ApiChunk chunk);
    [[nodiscard]] HttpHeaders streamHeaders() const;

    ProgramId program_;
    bool isStream_;
    bool hasStarted_ = false;
    IHttpResponder &responder_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_HTTP_ANSWER_HPP_INCLUDED
