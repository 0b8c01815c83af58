#ifndef CARDAMOMPOST_CP_HTTP_ANSWER_HPP_INCLUDED
#define CARDAMOMPOST_CP_HTTP_ANSWER_HPP_INCLUDED

#include <cardamompost/net/cp_api_message.hpp>
#include <cardamompost/net/cp_http_server.hpp>

namespace cardamompost
{

//! Writes the pieces of an answer to a caller: whole, or as an event stream.
class HttpAnswer
{
public:
    HttpAnswer(const ApiRequest &request, IHttpResponder &responder);

    //! A piece without a body shows that the call goes on. False: the caller is gone.
    boost::asio::awaitable<bool> deliver(ApiChunk chunk);

private:
    boost::asio::awaitable<bool> deliverComplete(ApiChunk chunk);
    [[nodiscard]] HttpHeaders streamHeaders() const;

    ProgramId program_;
    bool isStream_;
    bool hasBegun_ = false;
    IHttpResponder &responder_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_HTTP_ANSWER_HPP_INCLUDED
