#ifndef CARDAMOMPOST_CP_STANDIN_SERVER_HPP_INCLUDED
#define CARDAMOMPOST_CP_STANDIN_SERVER_HPP_INCLUDED

#include "cp_engine_model.hpp"

#include <cardamompost/net/cp_http_server.hpp>

#include <boost/json/object.hpp>

#include <mutex>

namespace cardamompost::standin
{

//! Serves a simulated model engine over HTTP.
class EngineServer
{
public:
    EngineServer(boost::asio::any_io_executor executor, EngineSettings settings, std::uint64_t seed);

    Result<void> listen(const Address &address)
    {
        return server_.listen(address);
    }

private:
    boost::asio::awaitable<void> handle(HttpRequest &request, IHttpResponder &responder);
    boost::asio::awaitable<void> handleCompletion(const HttpRequest &request, IHttpResponder &responder);
    boost::asio::awaitable<void> sendStream(std::string id, std::size_t lastEventId, IHttpResponder &responder);
    boost::asio::awaitable<void> sendWholeResponse(std::string id, IHttpResponder &responder);
    [[nodiscard]] HttpResponse answer(const HttpRequest &request);
    [[nodiscard]] HttpResponse handleCacheRequest(const HttpRequest &request, const boost::json::object &body);
    [[nodiscard]] boost::json::object loadBody();
    [[nodiscard]] boost::json::object statsBody();
    void setFaults(const boost::json::object &body);

    std::mutex mutex_;
    EngineModel model_;
    HttpServer server_;
};

//! An HTTP service that counts the executions per idempotency key.
class ServiceServer
{
public:
    explicit ServiceServer(boost::asio::any_io_executor executor);

    Result<void> listen(const Address &address)
    {
        return server_.listen(address);
    }

private:
    boost::asio::awaitable<void> handle(HttpRequest &request, IHttpResponder &responder);

    std::mutex mutex_;
    std::map<std::string, std::uint64_t> executions_;
    Milliseconds delay_ {0};
    //! Number of requests still to be executed but answered by closing the connection.
    int answersToDrop_ = 0;
    HttpServer server_;
};

} // namespace cardamompost::standin

#endif // CARDAMOMPOST_CP_STANDIN_SERVER_HPP_INCLUDED
